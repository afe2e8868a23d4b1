//! A node that leaves sends a request only if it can end before the node does.

use std::time::Duration;

use peridotdeck_core::{
    Verdict,
    dispatch::{
        Dispatcher,
        attempt::{End, Next, Placement},
        flight::Flight,
        refusal::{Cause, Refusal},
    },
};

use crate::dispatch::{admit, decoded_request, dispatcher, endpoint, expect_sent, ms};

/// Time at which the nodes of these tests cut their requests.
const END: Duration = ms(20_000);

/// Returns the time so many milliseconds before the requests are cut.
fn before_end(left: u64) -> Duration {
    END.saturating_sub(ms(left))
}

fn node() -> Dispatcher {
    let endpoints = ["a", "b"].map(|id| endpoint(id, "desk", "muenchen"));
    dispatcher(1, "muenchen", &endpoints)
}

fn admit_at(node: &mut Dispatcher, now: Duration) -> Flight {
    admit(node, decoded_request("lookup"), now)
}

fn refusal(placement: Placement) -> Refusal {
    match placement {
        Placement::Refuse(refusal, _) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against requests that are sent although the node ends before their deadlines.
#[test]
fn request_of_unknown_length_needs_its_whole_time() {
    let mut node = node();
    node.leave(END);
    // The route's timeout is 10 s.
    let mut early = admit_at(&mut node, before_end(10_000));
    expect_sent(node.place(&mut early, before_end(10_000)));
    let mut late = admit_at(&mut node, before_end(9_999));
    let refusal = refusal(node.place(&mut late, before_end(9_999)));
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::NotRun, Cause::Leaving)
    );
    assert!(refusal.retry_after.is_some());
}

/// Guards against refusals of requests that end in time by all that is known of their route.
#[test]
fn request_of_known_length_needs_no_more_than_others_took() {
    let mut node = node();
    for start in (0..4_000).step_by(200) {
        let mut flight = admit_at(&mut node, ms(start));
        let sent = expect_sent(node.place(&mut flight, ms(start)));
        node.finish(&sent.attempt, End::Finished, &flight, ms(start + 100));
    }
    node.leave(END);
    for (left, is_sent) in [(1_000, true), (200, true), (50, false), (0, false)] {
        let now = before_end(left);
        let mut flight = admit_at(&mut node, now);
        let placement = node.place(&mut flight, now);
        assert_eq!(matches!(placement, Placement::Send(_)), is_sent, "{left}");
    }
}

/// Guards against attempts that are given up or repeated where the next one could not end.
#[test]
fn attempt_without_time_for_another_is_not_given_up() {
    let mut node = node();
    let start = before_end(10_000);
    node.leave(END);
    let mut flight = admit_at(&mut node, start);
    let sent = expect_sent(node.place(&mut flight, start));
    node.leave(before_end(1));
    assert!(!node.try_hedge(&flight, start));
    node.finish(&sent.attempt, End::Broken, &flight, start);
    let Next::GiveUp(refusal) = node.next_step(&mut flight, End::Broken, start) else {
        panic!("a retry could not end");
    };
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}
