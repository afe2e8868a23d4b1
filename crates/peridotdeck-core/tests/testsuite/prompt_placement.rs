//! Placement of prompts: cached prefixes, load, failures, and excluded endpoints.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher,
    attempt::{Assignment, End, Placement},
    config::Kind,
    flight::Flight,
    registry::{Area, Fact},
};

use crate::dispatch::{
    admit, config, decoded_request, dispatcher, endpoint, expect_sent, ms, prompt, publish, report,
    route,
};

/// Admits a request with a shared prefix of 5000 tokens and expects it to be sent.
fn admit_and_place(
    dispatcher: &mut Dispatcher,
    route: &str,
    subject: u64,
    own: u32,
    now: Duration,
) -> (Flight, Assignment) {
    let mut request = decoded_request(route);
    request.prompt = prompt(subject, 4_500, own);
    let mut flight = admit(dispatcher, request, now);
    let assignment = expect_sent(dispatcher.place(&mut flight, now));
    (flight, assignment)
}

/// Records the first response of an attempt, which ends its prefill, and its success.
fn finish_after_prefill(
    dispatcher: &mut Dispatcher,
    flight: &Flight,
    assignment: &mut Assignment,
    now: Duration,
) {
    dispatcher.record_answer_start(&mut assignment.attempt, false, flight, now);
    dispatcher.finish(&assignment.attempt, End::Finished, flight, now);
}

fn three_endpoints() -> Dispatcher {
    let endpoints = ["a", "b", "c"].map(|id| endpoint(id, "text", "muenchen"));
    dispatcher(1, "muenchen", &endpoints)
}

#[test]
fn prompt_goes_to_the_endpoint_with_its_cached_prefix() {
    let mut node = three_endpoints();
    let (flight, mut assignment) = admit_and_place(&mut node, "bulk", 9, 1_000, ms(0));
    let cached_at = assignment.instance.clone();
    finish_after_prefill(&mut node, &flight, &mut assignment, ms(150));
    for subject in [20, 21, 22, 23] {
        let (flight, mut assignment) = admit_and_place(&mut node, "bulk", subject, 1_000, ms(400));
        finish_after_prefill(&mut node, &flight, &mut assignment, ms(500));
    }
    let (_, again) = admit_and_place(&mut node, "bulk", 9, 1_000, ms(1_000));
    assert_eq!(again.instance, cached_at);
    assert_eq!(again.estimate.cached, 5_000);
}

#[test]
fn cached_prefix_is_fetched_from_a_busy_endpoint() {
    let mut node = three_endpoints();
    let (flight, mut assignment) = admit_and_place(&mut node, "bulk", 9, 1_000, ms(0));
    let cached_at = assignment.address;
    finish_after_prefill(&mut node, &flight, &mut assignment, ms(150));
    let mut elsewhere = None;
    for _ in 0..30 {
        let (_, assignment) = admit_and_place(&mut node, "bulk", 9, 9_000, ms(1_000));
        if assignment.address != cached_at {
            elsewhere = Some(assignment);
            break;
        }
    }
    let assignment = elsewhere.expect("the endpoint with the cached prefix fills up");
    assert_eq!(assignment.source, Some(cached_at));
}

#[test]
fn prefix_is_not_fetched_before_its_prefill_ends() {
    let mut node = three_endpoints();
    let (_, first) = admit_and_place(&mut node, "bulk", 9, 60_000, ms(0));
    let (_, second) = admit_and_place(&mut node, "bulk", 9, 1_000, ms(10));
    if second.address != first.address {
        assert_eq!(second.source, None);
    }
}

#[test]
fn stale_prefix_is_computed_again_instead_of_fetched() {
    let mut node = three_endpoints();
    let (flight, mut assignment) = admit_and_place(&mut node, "bulk", 9, 1_000, ms(0));
    finish_after_prefill(&mut node, &flight, &mut assignment, ms(150));
    let gone = Fact::Endpoint(peridotdeck_core::dispatch::registry::Endpoint {
        draining: true,
        ..endpoint(&assignment.instance, "text", "muenchen")
    });
    publish(&mut node, 2, gone, ms(200));
    let mut late = decoded_request("bulk");
    late.prompt = prompt(9, 400, 200);
    let mut flight = admit(&mut node, late, ms(15_000));
    let assignment = expect_sent(node.place(&mut flight, ms(15_000)));
    assert_eq!(
        assignment.source, None,
        "the prefix is unused for longer than the reuse window"
    );
}

#[test]
fn urgent_stream_avoids_long_prompts() {
    let mut node = three_endpoints();
    let mut bulk = Vec::new();
    for subject in [11, 12] {
        bulk.push(
            admit_and_place(&mut node, "bulk", subject, 50_000, ms(0))
                .1
                .instance,
        );
    }
    let mut urgent = decoded_request("urgent");
    urgent.prompt = prompt(30, 100, 400);
    let mut flight = admit(&mut node, urgent, ms(10));
    let assignment = expect_sent(node.place(&mut flight, ms(10)));
    assert!(
        !bulk.contains(&assignment.instance),
        "{bulk:?} {}",
        assignment.instance
    );
}

#[test]
fn burst_of_long_prompts_spreads_over_the_region() {
    let mut node = three_endpoints();
    let mut counts = [0; 3];
    for subject in 100..130 {
        let (_, assignment) = admit_and_place(&mut node, "bulk", subject, 6_000, ms(0));
        let index = ["a", "b", "c"]
            .iter()
            .position(|id| *id == assignment.instance);
        counts[index.expect("one of three")] += 1;
    }
    assert!(
        counts.iter().all(|count| (8..=12).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn region_is_left_only_when_the_target_is_at_risk() {
    let endpoints = [
        endpoint("near", "text", "muenchen"),
        endpoint("far", "text", "nuernberg"),
    ];
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let (_, first) = admit_and_place(&mut node, "bulk", 9, 2_000, ms(0));
    assert_eq!(first.instance, "near");
    let mut left = false;
    for subject in 100..160 {
        left |= admit_and_place(&mut node, "bulk", subject, 9_000, ms(1))
            .1
            .instance
            == "far";
    }
    assert!(left, "an overloaded region sends requests to another one");
}

#[test]
fn failing_endpoint_loses_its_share() {
    let endpoints = ["a", "b"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut failed = 0;
    for step in 0..40 {
        let now = ms(step * 50);
        let mut flight = admit(&mut node, decoded_request("booking"), now);
        let assignment = expect_sent(node.place(&mut flight, now));
        let fails = assignment.instance == "a";
        failed += u32::from(fails);
        let end = if fails { End::Garbled } else { End::Finished };
        node.finish(&assignment.attempt, end, &flight, now + ms(30));
    }
    assert!((1..=4).contains(&failed), "{failed} of 40");
}

#[test]
fn closed_data_centre_and_draining_endpoint_get_nothing() {
    let endpoints = [
        endpoint("near", "text", "muenchen"),
        endpoint("far", "text", "nuernberg"),
    ];
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let close = vec![Fact::Closed("muenchen".into())];
    node.apply_report(report(Area::Policy, 2, false, close), ms(1));
    assert_eq!(
        admit_and_place(&mut node, "bulk", 9, 10, ms(2)).1.instance,
        "far"
    );
    let mut leaving = endpoint("far", "text", "nuernberg");
    leaving.draining = true;
    publish(&mut node, 2, Fact::Endpoint(leaving), ms(3));
    let mut flight = admit(&mut node, decoded_request("bulk"), ms(4));
    assert!(matches!(node.place(&mut flight, ms(4)), Placement::Wait(_)));
    let late = ms(4) + flight.route.target;
    assert!(matches!(
        node.place(&mut flight, late),
        Placement::Refuse(..)
    ));
}

#[test]
fn region_that_the_route_excludes_is_never_used() {
    let endpoints = [
        endpoint("near", "text", "muenchen"),
        endpoint("far", "text", "nuernberg"),
    ];
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut restricted = config(2);
    let mut bulk = route("home", Kind::Stream, 1);
    bulk.regions = vec!["franken".into()];
    restricted.routes.push(bulk.into());
    let facts = vec![Fact::Config(restricted.indexed())];
    node.apply_report(report(Area::Policy, 2, false, facts), ms(1));
    for step in 2..12 {
        let (_, assignment) = admit_and_place(&mut node, "home", 9, 1_000, ms(step));
        assert_eq!(assignment.instance, "far");
    }
}
