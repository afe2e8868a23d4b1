//! Waits of the least urgent class at its node during an overload, and their ends.

use peridotdeck_core::dispatch::{
    Dispatcher,
    attempt::{Assignment, Delay, End, Placement, WaitCause},
    config::{Config, Kind, Route},
    flight::Flight,
    registry::{Area, Fact},
};

use crate::dispatch::{
    admit, config, decoded_request, dispatcher, endpoint, ms, prompt, report, route,
};

/// Requests that the batch of the only endpoint holds.
const BATCH_SLOTS: usize = 64;

/// Returns a node with one endpoint and the given routes, the most urgent first.
fn dispatcher_with_routes(names: &[&str]) -> Dispatcher {
    let mut node = dispatcher(1, "muenchen", &[endpoint("a", "text", "muenchen")]);
    let routes = names.iter().enumerate().map(|(priority, name)| {
        Route {
            priority: priority as u8,
            ..route(name, Kind::Stream, 1)
        }
        .into()
    });
    let config = Config {
        routes: routes.collect(),
        ..config(2)
    };
    let facts = vec![Fact::Config(config.indexed())];
    node.apply_report(report(Area::Policy, 2, false, facts), ms(0));
    node
}

fn admit_request(node: &mut Dispatcher, route: &str, tokens: u32, at_ms: u64) -> Flight {
    let mut request = decoded_request(route);
    request.prompt = prompt(at_ms, 10, tokens);
    admit(node, request, ms(at_ms))
}

/// Admits twice as many requests as a batch holds; returns those that are sent at once.
fn send_burst(node: &mut Dispatcher, route: &str, tokens: u32) -> Vec<(Flight, Assignment)> {
    let mut sent = Vec::new();
    for _ in 0..2 * BATCH_SLOTS {
        let mut flight = admit_request(node, route, tokens, 0);
        if let Placement::Send(assignment) = node.place(&mut flight, ms(0)) {
            sent.push((flight, assignment));
        }
    }
    sent
}

fn expect_wait(placement: Placement) -> Delay {
    match placement {
        Placement::Wait(delay) => delay,
        other => panic!("expected a wait, got {other:?}"),
    }
}

fn is_sent(placement: &Placement) -> bool {
    matches!(placement, Placement::Send(_))
}

#[test]
fn least_urgent_class_leaves_slots_free_for_others() {
    let mut node = dispatcher_with_routes(&["chat", "bulk"]);
    let sent = send_burst(&mut node, "bulk", 10);
    assert!(
        (50..BATCH_SLOTS).contains(&sent.len()),
        "{} sent",
        sent.len()
    );
    let mut bulk = admit_request(&mut node, "bulk", 10, 1);
    assert_eq!(
        expect_wait(node.place(&mut bulk, ms(1))).cause,
        WaitCause::Full,
        "more urgent requests would displace it"
    );
    let mut chat = admit_request(&mut node, "chat", 10, 1);
    assert!(is_sent(&node.place(&mut chat, ms(1))));
}

#[test]
fn free_slots_end_the_wait() {
    let mut node = dispatcher_with_routes(&["chat", "bulk"]);
    let sent = send_burst(&mut node, "bulk", 10);
    let mut bulk = admit_request(&mut node, "bulk", 10, 1);
    expect_wait(node.place(&mut bulk, ms(1)));
    for (flight, assignment) in &sent[..BATCH_SLOTS / 4] {
        let mut attempt = assignment.attempt.clone();
        node.record_answer_start(&mut attempt, false, flight, ms(50));
        node.finish(&attempt, End::Finished, flight, ms(90));
    }
    assert!(is_sent(&node.place(&mut bulk, ms(100))));
}

#[test]
fn request_that_would_miss_its_target_waits() {
    let mut node = dispatcher_with_routes(&["chat", "bulk"]);
    send_burst(&mut node, "bulk", 20_000);
    let mut bulk = admit_request(&mut node, "bulk", 20_000, 1);
    let delay = expect_wait(node.place(&mut bulk, ms(1)));
    assert_eq!(delay.cause, WaitCause::Late);
    assert!(delay.expected > bulk.route.target);
}

#[test]
fn wait_is_bounded() {
    let mut node = dispatcher_with_routes(&["chat", "bulk"]);
    send_burst(&mut node, "bulk", 10);
    let mut bulk = admit_request(&mut node, "bulk", 10, 1);
    let target = bulk.route.target;
    expect_wait(node.place(&mut bulk, ms(1)));
    assert!(is_sent(&node.place(&mut bulk, ms(1) + 2 * target)));
}

#[test]
fn leaving_node_sends_at_once() {
    let mut node = dispatcher_with_routes(&["chat", "bulk"]);
    send_burst(&mut node, "bulk", 10);
    node.leave(ms(60_000));
    let mut bulk = admit_request(&mut node, "bulk", 10, 1);
    assert!(is_sent(&node.place(&mut bulk, ms(1))));
}

#[test]
fn only_the_least_urgent_of_several_classes_waits() {
    for (names, name) in [
        (&["bulk"][..], "bulk"),
        (&["chat", "bulk"], "chat"),
        (&["chat", "tag", "bulk"], "tag"),
    ] {
        let mut node = dispatcher_with_routes(names);
        assert_eq!(
            send_burst(&mut node, name, 10).len(),
            2 * BATCH_SLOTS,
            "{name}"
        );
    }
}
