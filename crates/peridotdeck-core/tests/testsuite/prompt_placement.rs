//! Where prompts go: who has read them, who is busy, who is slow, what is barred.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher,
    attempt::{Assignment, End, Placement},
    config::Kind,
    flight::Flight,
    registry::{Area, Fact},
};

use crate::dispatch::{
    admit, ask, config, dispatcher, endpoint, ms, prompt, publish, report, route, sent,
};

fn place(
    dispatcher: &mut Dispatcher,
    route: &str,
    subject: u64,
    own: u32,
    now: Duration,
) -> (Flight, Assignment) {
    let mut ask = ask(route);
    ask.prompt = prompt(subject, 4_500, own);
    let mut flight = admit(dispatcher, ask, now);
    let order = sent(dispatcher.place(&mut flight, now));
    (flight, order)
}

fn read(dispatcher: &mut Dispatcher, flight: &Flight, order: &mut Assignment, now: Duration) {
    dispatcher.record_answer_start(&mut order.attempt, false, flight, now);
    dispatcher.finish(&order.attempt, End::Finished, flight, now);
}

fn three() -> Dispatcher {
    let endpoints = ["a", "b", "c"].map(|id| endpoint(id, "text", "muenchen"));
    dispatcher(1, "muenchen", &endpoints)
}

#[test]
fn subject_returns_to_the_endpoint_that_read_it() {
    let mut node = three();
    let (flight, mut order) = place(&mut node, "bulk", 9, 1_000, ms(0));
    let home = order.instance.clone();
    read(&mut node, &flight, &mut order, ms(150));
    for subject in [20, 21, 22, 23] {
        let (flight, mut order) = place(&mut node, "bulk", subject, 1_000, ms(400));
        read(&mut node, &flight, &mut order, ms(500));
    }
    let (_, again) = place(&mut node, "bulk", 9, 1_000, ms(1_000));
    assert_eq!(again.instance, home);
    assert_eq!(again.estimate.cached, 5_000);
}

#[test]
fn busy_home_lends_its_memory() {
    let mut node = three();
    let (flight, mut order) = place(&mut node, "bulk", 9, 1_000, ms(0));
    let home = order.address;
    read(&mut node, &flight, &mut order, ms(150));
    let mut elsewhere = None;
    for _ in 0..30 {
        let (_, order) = place(&mut node, "bulk", 9, 9_000, ms(1_000));
        if order.address != home {
            elsewhere = Some(order);
            break;
        }
    }
    let order = elsewhere.expect("the home is full after a while");
    assert_eq!(order.source, Some(home));
}

#[test]
fn part_is_not_fetched_before_it_is_read() {
    let mut node = three();
    let (_, first) = place(&mut node, "bulk", 9, 60_000, ms(0));
    let (_, second) = place(&mut node, "bulk", 9, 1_000, ms(10));
    if second.address != first.address {
        assert_eq!(second.source, None);
    }
}

#[test]
fn stale_part_is_read_again_rather_than_moved() {
    let mut node = three();
    let (flight, mut order) = place(&mut node, "bulk", 9, 1_000, ms(0));
    read(&mut node, &flight, &mut order, ms(150));
    let gone = Fact::Endpoint(peridotdeck_core::dispatch::registry::Endpoint {
        draining: true,
        ..endpoint(&order.instance, "text", "muenchen")
    });
    publish(&mut node, 2, gone, ms(200));
    let mut late = ask("bulk");
    late.prompt = prompt(9, 400, 200);
    let mut flight = admit(&mut node, late, ms(15_000));
    let order = sent(node.place(&mut flight, ms(15_000)));
    assert_eq!(
        order.source, None,
        "nobody has used it for the reuse window"
    );
}

#[test]
fn urgent_stream_avoids_long_prompts() {
    let mut node = three();
    let mut bulk = Vec::new();
    for subject in [11, 12] {
        bulk.push(place(&mut node, "bulk", subject, 50_000, ms(0)).1.instance);
    }
    let mut urgent = ask("urgent");
    urgent.prompt = prompt(30, 100, 400);
    let mut flight = admit(&mut node, urgent, ms(10));
    let order = sent(node.place(&mut flight, ms(10)));
    assert!(
        !bulk.contains(&order.instance),
        "{bulk:?} {}",
        order.instance
    );
}

#[test]
fn burst_of_long_prompts_spreads_over_the_region() {
    let mut node = three();
    let mut counts = [0; 3];
    for subject in 100..130 {
        let (_, order) = place(&mut node, "bulk", subject, 6_000, ms(0));
        let at = ["a", "b", "c"].iter().position(|id| *id == order.instance);
        counts[at.expect("one of three")] += 1;
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
    let (_, first) = place(&mut node, "bulk", 9, 2_000, ms(0));
    assert_eq!(first.instance, "near");
    let mut left = false;
    for subject in 100..160 {
        left |= place(&mut node, "bulk", subject, 9_000, ms(1)).1.instance == "far";
    }
    assert!(left, "an overloaded region sends its work abroad");
}

#[test]
fn failing_endpoint_loses_its_share() {
    let endpoints = ["a", "b"].map(|id| endpoint(id, "desk", "muenchen"));
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let mut failed = 0;
    for at in 0..40 {
        let now = ms(at * 50);
        let mut flight = admit(&mut node, ask("booking"), now);
        let order = sent(node.place(&mut flight, now));
        let fails = order.instance == "a";
        failed += u32::from(fails);
        let end = if fails { End::Garbled } else { End::Finished };
        node.finish(&order.attempt, end, &flight, now + ms(30));
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
    assert_eq!(place(&mut node, "bulk", 9, 10, ms(2)).1.instance, "far");
    let mut leaving = endpoint("far", "text", "nuernberg");
    leaving.draining = true;
    publish(&mut node, 2, Fact::Endpoint(leaving), ms(3));
    let mut flight = admit(&mut node, ask("bulk"), ms(4));
    assert!(matches!(node.place(&mut flight, ms(4)), Placement::Wait(_)));
    let late = ms(4) + flight.route.target;
    assert!(matches!(
        node.place(&mut flight, late),
        Placement::Refuse(..)
    ));
}

#[test]
fn region_that_may_not_serve_is_never_used() {
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
    for at in 2..12 {
        let (_, order) = place(&mut node, "home", 9, 1_000, ms(at));
        assert_eq!(order.instance, "far");
    }
}
