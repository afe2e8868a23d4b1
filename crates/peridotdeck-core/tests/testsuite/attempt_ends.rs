//! The step after a failed attempt: a retry, or a refusal with a true verdict.

use peridotdeck_core::{
    Verdict,
    dispatch::{
        attempt::{End, Next, Placement},
        refusal::Cause,
    },
};

use crate::dispatch::{admit, decoded_request, dispatcher, endpoint, expect_sent, ms};

fn next_step_after(route: &str, end: End) -> Next {
    let endpoints = ["a", "b", "c"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut flight = admit(&mut node, decoded_request(route), ms(0));
    let assignment = expect_sent(node.place(&mut flight, ms(0)));
    node.finish(&assignment.attempt, end, &flight, ms(10));
    node.next_step(&mut flight, end, ms(10))
}

#[test]
fn booking_that_may_have_run_is_not_retried() {
    for end in [End::Failed, End::Broken, End::Garbled, End::TimedOut] {
        let Next::GiveUp(refusal) = next_step_after("booking", end) else {
            panic!("{end} must not lead to a second attempt");
        };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{end}");
    }
}

#[test]
fn booking_that_did_not_run_is_retried() {
    for end in [
        End::Unreachable,
        End::Rejected,
        End::Misdirected,
        End::Replaced,
    ] {
        assert_eq!(next_step_after("booking", end), Next::Retry, "{end}");
    }
}

#[test]
fn lookup_is_retried_up_to_its_attempts() {
    let endpoints = ["a", "b", "c"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut flight = admit(&mut node, decoded_request("lookup"), ms(0));
    let first = expect_sent(node.place(&mut flight, ms(0)));
    node.finish(&first.attempt, End::Broken, &flight, ms(5));
    assert_eq!(node.next_step(&mut flight, End::Broken, ms(5)), Next::Retry);
    let second = expect_sent(node.place(&mut flight, ms(5)));
    assert_ne!(first.instance, second.instance);
    node.finish(&second.attempt, End::Failed, &flight, ms(9));
    let next = node.next_step(&mut flight, End::Failed, ms(9));
    assert!(matches!(next, Next::GiveUp(refusal) if refusal.verdict == Verdict::MayHaveRun));
}

#[test]
fn refusal_without_an_attempt_says_not_run_and_when_to_retry() {
    let mut node = dispatcher(1, "muenchen", &[]);
    let mut flight = admit(&mut node, decoded_request("booking"), ms(0));
    let Placement::Refuse(refusal, _) = (0..200)
        .map(|step| node.place(&mut flight, ms(step * 20)))
        .find(|placement| matches!(placement, Placement::Refuse(..)))
        .expect("the wait is bounded")
    else {
        unreachable!("found above");
    };
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.cause, Cause::NoEndpoint);
    let wait = refusal.retry_after.expect("the time after which to retry");
    assert!(
        wait <= flight.route.timeout / 3,
        "callers ignore longer waits"
    );
}

#[test]
fn request_is_refused_after_its_timeout() {
    let endpoints = [endpoint("a", "desk", "muenchen")];
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut flight = admit(&mut node, decoded_request("lookup"), ms(0));
    let Placement::Refuse(refusal, _) = node.place(&mut flight, ms(10_001)) else {
        panic!("expected a refusal after the timeout");
    };
    assert_eq!(refusal.cause, Cause::TimedOut);
}

#[test]
fn request_that_crashes_endpoints_is_quarantined() {
    let endpoints = ["a", "b", "c", "d"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    for round in 0..3 {
        let now = ms(round * 100);
        let mut flight = admit(&mut node, decoded_request("booking"), now);
        let assignment = expect_sent(node.place(&mut flight, now));
        node.finish(&assignment.attempt, End::Broken, &flight, now);
        node.record_probe(assignment.attempt.key(), false, now + ms(5));
    }
    let refusal = node
        .admit(decoded_request("booking"), 7, ms(400))
        .expect_err("refused");
    assert_eq!(refusal.cause, Cause::Quarantined);
    assert!(
        node.admit(decoded_request("booking"), 8, ms(400)).is_ok(),
        "other requests are served"
    );
}

#[test]
fn lost_response_of_a_live_endpoint_is_not_a_crash() {
    let endpoints = ["a", "b", "c", "d"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    for round in 0..4 {
        let now = ms(round * 100);
        let mut flight = admit(&mut node, decoded_request("booking"), now);
        let assignment = expect_sent(node.place(&mut flight, now));
        node.finish(&assignment.attempt, End::Broken, &flight, now);
        node.record_probe(assignment.attempt.key(), true, now + ms(5));
    }
    assert!(node.admit(decoded_request("booking"), 7, ms(500)).is_ok());
}
