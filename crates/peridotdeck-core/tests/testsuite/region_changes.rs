//! Requests whose regions change while they wait, or between two attempts.
//!
//! A request kept the regions of the version under which it was admitted, and was sent by them for as
//! long as its route allows, although a later version was in force at the node.

use std::{sync::Arc, time::Duration};

use peridotdeck_core::{
    Verdict,
    dispatch::{
        Dispatcher,
        attempt::{End, Next, Placement},
        config::{Config, Kind, Route},
        flight::Flight,
        placement::Exclusion,
        refusal::Refusal,
        region::Denial,
        registry::{Area, Fact},
    },
};

use crate::dispatch::{
    admit, config, decoded_request, dispatcher, endpoint, expect_sent, ms, publish, report, route,
};

/// Returns the regions with these names.
fn regions(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Returns a configuration whose route `home` and organisation allow these regions.
fn bound(version: u64, of_route: &[&str], of_organisation: &[&str]) -> Config {
    let mut config = config(version);
    let home = Route {
        regions: regions(of_route),
        resumable: true,
        ..route("home", Kind::Stream, 2)
    };
    config.routes.push(home.into());
    let organisations = config.organisations.iter_mut();
    organisations.for_each(|owner| Arc::make_mut(owner).regions = regions(of_organisation));
    config.indexed()
}

fn adopt(node: &mut Dispatcher, config: Config, now: Duration) {
    let revision = config.version;
    let facts = vec![Fact::Config(config)];
    node.apply_report(report(Area::Policy, revision, false, facts), now);
}

/// Returns a node in oberbayern with two endpoints there and two in franken.
fn node() -> Dispatcher {
    let endpoints = [
        endpoint("near", "text", "muenchen"),
        endpoint("next", "text", "muenchen"),
        endpoint("far", "text", "nuernberg"),
        endpoint("away", "text", "nuernberg"),
    ];
    dispatcher(1, "muenchen", &endpoints)
}

/// Fails the first attempt of a request, and returns whether it may be placed again.
fn fail(node: &mut Dispatcher, flight: &mut Flight, end: End, now: Duration) -> Next {
    let assignment = expect_sent(node.place(flight, now));
    node.finish(&assignment.attempt, end, flight, now);
    node.next_step(flight, end, now)
}

#[track_caller]
fn expect_refused(placement: Placement) -> (Refusal, Vec<Exclusion>) {
    match placement {
        Placement::Refuse(refusal, exclusions) => (refusal, exclusions),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a second try in a region that a version adopted meanwhile forbids.
#[test]
fn next_attempt_keeps_to_the_regions_in_force() {
    for (before, after) in [
        (bound(2, &["oberbayern"], &[]), bound(3, &["franken"], &[])),
        (bound(2, &[], &["oberbayern"]), bound(3, &[], &["franken"])),
        (bound(2, &[], &[]), bound(3, &["schwaben"], &[])),
    ] {
        let mut node = node();
        adopt(&mut node, before, ms(1));
        let mut flight = admit(&mut node, decoded_request("home"), ms(2));
        let next = fail(&mut node, &mut flight, End::Unreachable, ms(3));
        assert_eq!(next, Next::Retry);
        adopt(&mut node, after, ms(4));
        let (refusal, exclusions) = expect_refused(node.place(&mut flight, ms(5)));
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after.is_some());
        assert!(exclusions.contains(&Exclusion::Region), "{exclusions:?}");
    }
}

/// Guards against a resumed stream that leaves its regions, and a refusal that denies its run.
#[test]
fn resumed_stream_keeps_to_the_regions_in_force() {
    let mut node = node();
    adopt(&mut node, bound(2, &[], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    assert_eq!(
        fail(&mut node, &mut flight, End::Broken, ms(3)),
        Next::Retry
    );
    adopt(&mut node, bound(3, &["schwaben"], &[]), ms(4));
    let (refusal, _) = expect_refused(node.place(&mut flight, ms(5)));
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// Guards against a request that waits, and then goes where only an earlier version allowed it.
#[test]
fn waiting_request_keeps_to_the_regions_in_force() {
    let mut node = dispatcher(1, "muenchen", &[endpoint("away", "text", "augsburg")]);
    adopt(&mut node, bound(2, &["oberbayern", "franken"], &[]), ms(1));
    let mut gone = endpoint("near", "text", "muenchen");
    gone.draining = true;
    publish(&mut node, 2, Fact::Endpoint(gone), ms(2));
    let mut flight = admit(&mut node, decoded_request("home"), ms(3));
    assert!(matches!(node.place(&mut flight, ms(3)), Placement::Wait(_)));
    adopt(&mut node, bound(3, &["franken"], &[]), ms(4));
    for (revision, id, place) in [(3, "next", "muenchen"), (4, "far", "nuernberg")] {
        let fact = Fact::Endpoint(endpoint(id, "text", place));
        publish(&mut node, revision, fact, ms(5));
    }
    let assignment = expect_sent(node.place(&mut flight, ms(6)));
    assert_eq!(assignment.instance, "far");
}

/// Guards against a wider later version that lets data leave the regions in which it was sent.
#[test]
fn wider_regions_hold_for_later_requests() {
    let mut node = node();
    adopt(&mut node, bound(2, &["franken"], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    adopt(&mut node, bound(3, &[], &[]), ms(3));
    for step in 4..12 {
        let assignment = expect_sent(node.place(&mut flight, ms(step)));
        assert!(["far", "away"].contains(&assignment.instance.as_str()));
        node.finish(&assignment.attempt, End::Unsent, &flight, ms(step));
        flight.tried.clear();
    }
}

/// Guards against a request that a new route with a longer prefix binds to regions.
#[test]
fn inner_route_binds_requests_that_came_before_it() {
    let mut node = node();
    adopt(&mut node, bound(2, &[], &[]), ms(1));
    let mut request = decoded_request("home");
    request.path = "/home/inner/x".to_owned();
    let mut flight = admit(&mut node, request, ms(2));
    let mut nested = bound(3, &[], &[]);
    let inner = Route {
        prefix: "/home/inner/".to_owned(),
        regions: regions(&["franken"]),
        ..route("inner", Kind::Stream, 2)
    };
    nested.routes.push(inner.into());
    adopt(&mut node, nested.indexed(), ms(3));
    let assignment = expect_sent(node.place(&mut flight, ms(4)));
    assert!(["far", "away"].contains(&assignment.instance.as_str()));
}

/// Guards against a version that is adopted while the connection to the endpoint is opened.
#[test]
fn placed_request_is_not_written_after_its_regions_change() {
    let mut node = node();
    adopt(&mut node, bound(2, &["oberbayern", "franken"], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    let first = expect_sent(node.place(&mut flight, ms(3)));
    assert!(node.clear(&flight, &first).is_ok());
    adopt(&mut node, bound(3, &["franken"], &[]), ms(4));
    let denial = node
        .clear(&flight, &first)
        .expect_err("the regions are fewer");
    assert_eq!(denial, Denial::Endpoint("oberbayern".to_owned()));
    node.finish(&first.attempt, End::Forbidden, &flight, ms(4));
    let next = node.next_step(&mut flight, End::Forbidden, ms(4));
    assert_eq!((next, flight.runs), (Next::Retry, 0));
    let second = expect_sent(node.place(&mut flight, ms(5)));
    assert!(["far", "away"].contains(&second.instance.as_str()));
    assert!(node.clear(&flight, &second).is_ok());
}

/// Guards against an unknown region that counts as an allowed one.
#[test]
fn request_is_not_written_to_an_endpoint_that_is_gone() {
    let mut node = node();
    adopt(&mut node, bound(2, &["franken"], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    let assignment = expect_sent(node.place(&mut flight, ms(3)));
    publish(&mut node, 2, Fact::Gone(assignment.instance.clone()), ms(4));
    let denial = node.clear(&flight, &assignment).expect_err("it is gone");
    assert_eq!(denial, Denial::Unknown);
}

/// Guards against requests without regions that the check holds up.
#[test]
fn request_of_all_regions_is_always_written() {
    let mut node = node();
    let mut flight = admit(&mut node, decoded_request("bulk"), ms(2));
    let assignment = expect_sent(node.place(&mut flight, ms(3)));
    adopt(&mut node, bound(3, &["franken"], &[]), ms(4));
    publish(&mut node, 2, Fact::Gone(assignment.instance.clone()), ms(4));
    assert!(node.clear(&flight, &assignment).is_ok());
}

/// Guards against an endpoint that counts as in the region of its first entry after it has moved.
#[test]
fn moved_endpoint_is_where_its_last_entry_says() {
    let mut node = dispatcher(1, "muenchen", &[endpoint("moves", "text", "nuernberg")]);
    adopt(&mut node, bound(2, &["franken"], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    let assignment = expect_sent(node.place(&mut flight, ms(3)));
    let moved = Fact::Endpoint(endpoint("moves", "text", "muenchen"));
    publish(&mut node, 2, moved, ms(4));
    let denial = node.clear(&flight, &assignment).expect_err("it has moved");
    assert_eq!(denial, Denial::Endpoint("oberbayern".to_owned()));
    let mut other = admit(&mut node, decoded_request("home"), ms(5));
    let (_, exclusions) = expect_refused(node.place(&mut other, ms(6)));
    assert_eq!(exclusions, [Exclusion::Region]);
}

/// Guards against a key on a public route whose organisation's regions are not looked at.
#[test]
fn key_on_a_public_route_brings_its_regions() {
    let mut node = node();
    let mut config = bound(2, &[], &["franken"]);
    for route in &mut config.routes {
        Arc::make_mut(route).public = true;
    }
    adopt(&mut node, config, ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    assert_eq!(flight.organisation_name(), "");
    let assignment = expect_sent(node.place(&mut flight, ms(3)));
    assert!(["far", "away"].contains(&assignment.instance.as_str()));
    let mut anonymous = decoded_request("home");
    anonymous.key = None;
    let mut flight = admit(&mut node, anonymous, ms(4));
    let assignment = expect_sent(node.place(&mut flight, ms(5)));
    assert!(["near", "next"].contains(&assignment.instance.as_str()));
}

/// Guards against an attempt in progress that is given up for a hedge which has nowhere to go.
#[test]
fn attempt_is_not_hedged_where_no_region_is_left() {
    let mut node = node();
    adopt(&mut node, bound(2, &["oberbayern"], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    let _running = expect_sent(node.place(&mut flight, ms(3)));
    assert!(node.clone().try_hedge(&flight, ms(600)));
    adopt(&mut node, bound(3, &["franken"], &[]), ms(601));
    assert!(!node.try_hedge(&flight, ms(602)));
}

/// Guards against a request that is placed anew although its endpoint's region is still allowed.
#[test]
fn request_is_written_where_fewer_regions_still_allow_it() {
    let mut node = node();
    adopt(&mut node, bound(2, &["oberbayern", "franken"], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    let assignment = expect_sent(node.place(&mut flight, ms(3)));
    assert!(["near", "next"].contains(&assignment.instance.as_str()));
    adopt(&mut node, bound(3, &["oberbayern"], &[]), ms(4));
    assert!(node.clear(&flight, &assignment).is_ok());
}

/// Guards against a request that is written to the former address of an endpoint.
#[test]
fn request_is_not_written_to_a_former_address() {
    let mut node = node();
    adopt(&mut node, bound(2, &["franken"], &[]), ms(1));
    let mut flight = admit(&mut node, decoded_request("home"), ms(2));
    let assignment = expect_sent(node.place(&mut flight, ms(3)));
    let mut moved = endpoint(&assignment.instance, "text", "nuernberg");
    moved.address.set_port(81);
    publish(&mut node, 2, Fact::Endpoint(moved.clone()), ms(4));
    let denial = node.clear(&flight, &assignment).expect_err("it has moved");
    assert_eq!(denial, Denial::Moved(moved.address));
    let key = assignment.attempt.key();
    assert!(node.tick(ms(5)).closed.contains(&key));
}
