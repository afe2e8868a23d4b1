//! What follows an attempt that failed: another one, or the truth.

use peridotdeck_core::{
    Verdict,
    dispatch::{
        attempt::{End, Next, Placement},
        refusal::Cause,
    },
};

use crate::dispatch::{admit, ask, dispatcher, endpoint, ms, sent};

fn after(route: &str, end: End) -> Next {
    let endpoints = ["a", "b", "c"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut flight = admit(&mut node, ask(route), ms(0));
    let order = sent(node.place(&mut flight, ms(0)));
    node.finish(&order.attempt, end, &flight, ms(10));
    node.next_step(&mut flight, end, ms(10))
}

#[test]
fn booking_that_may_have_run_is_never_sent_again() {
    for end in [End::Failed, End::Broken, End::Garbled, End::TimedOut] {
        let Next::GiveUp(refusal) = after("booking", end) else {
            panic!("{end} must not lead to a second run");
        };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{end}");
    }
}

#[test]
fn booking_that_provably_did_not_run_goes_elsewhere() {
    for end in [End::Unreachable, End::Rejected, End::Misdirected] {
        assert_eq!(after("booking", end), Next::Retry, "{end}");
    }
}

#[test]
fn lookup_is_repeated_within_its_attempts() {
    let endpoints = ["a", "b", "c"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut flight = admit(&mut node, ask("lookup"), ms(0));
    let first = sent(node.place(&mut flight, ms(0)));
    node.finish(&first.attempt, End::Broken, &flight, ms(5));
    assert_eq!(node.next_step(&mut flight, End::Broken, ms(5)), Next::Retry);
    let second = sent(node.place(&mut flight, ms(5)));
    assert_ne!(first.instance, second.instance);
    node.finish(&second.attempt, End::Failed, &flight, ms(9));
    let next = node.next_step(&mut flight, End::Failed, ms(9));
    assert!(matches!(next, Next::GiveUp(refusal) if refusal.verdict == Verdict::MayHaveRun));
}

#[test]
fn refusal_without_an_attempt_says_not_run_and_when_to_return() {
    let mut node = dispatcher(1, "muenchen", &[]);
    let mut flight = admit(&mut node, ask("booking"), ms(0));
    let Placement::Refuse(refusal, _) = (0..200)
        .map(|at| node.place(&mut flight, ms(at * 20)))
        .find(|placement| matches!(placement, Placement::Refuse(..)))
        .expect("it does not wait forever")
    else {
        unreachable!("found above");
    };
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.cause, Cause::NoEndpoint);
    let wait = refusal.retry_after.expect("when to return");
    assert!(
        wait <= flight.route.timeout / 3,
        "callers ignore longer ones"
    );
}

#[test]
fn time_that_is_over_ends_a_request() {
    let endpoints = [endpoint("a", "desk", "muenchen")];
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut flight = admit(&mut node, ask("lookup"), ms(0));
    let Placement::Refuse(refusal, _) = node.place(&mut flight, ms(10_001)) else {
        panic!("nothing is sent after the time is over");
    };
    assert_eq!(refusal.cause, Cause::TimedOut);
}

#[test]
fn request_that_crashes_endpoints_is_quarantined() {
    let endpoints = ["a", "b", "c", "d"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    for round in 0..3 {
        let now = ms(round * 100);
        let mut flight = admit(&mut node, ask("booking"), now);
        let order = sent(node.place(&mut flight, now));
        node.finish(&order.attempt, End::Broken, &flight, now);
        node.record_probe(order.attempt.key(), false, now + ms(5));
    }
    let refusal = node.admit(ask("booking"), 7, ms(400)).expect_err("refused");
    assert_eq!(refusal.cause, Cause::Quarantined);
    assert!(
        node.admit(ask("booking"), 8, ms(400)).is_ok(),
        "others are served"
    );
}

#[test]
fn lost_answer_is_no_crash() {
    let endpoints = ["a", "b", "c", "d"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    for round in 0..4 {
        let now = ms(round * 100);
        let mut flight = admit(&mut node, ask("booking"), now);
        let order = sent(node.place(&mut flight, now));
        node.finish(&order.attempt, End::Broken, &flight, now);
        node.record_probe(order.attempt.key(), true, now + ms(5));
    }
    assert!(node.admit(ask("booking"), 7, ms(500)).is_ok());
}
