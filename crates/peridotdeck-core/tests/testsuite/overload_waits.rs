//! A burst of the least urgent class: who waits at its node, and until when.

use peridotdeck_core::dispatch::{
    Dispatcher,
    attempt::{Assignment, Delay, End, Placement, WaitCause},
    config::{Config, Kind, Route},
    flight::Flight,
    registry::{Area, Fact},
};

use crate::dispatch::{admit, ask, config, dispatcher, endpoint, ms, prompt, report, route};

/// Batch of the one endpoint.
const SLOTS: usize = 64;

/// A node with one endpoint and the given routes, in the order of their urgency.
fn site(names: &[&str]) -> Dispatcher {
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

fn request(node: &mut Dispatcher, route: &str, tokens: u32, at: u64) -> Flight {
    let mut ask = ask(route);
    ask.prompt = prompt(at, 10, tokens);
    admit(node, ask, ms(at))
}

/// Sends what the node lets go at once, up to twice a batch, and returns it.
fn fill(node: &mut Dispatcher, route: &str, tokens: u32) -> Vec<(Flight, Assignment)> {
    let mut sent = Vec::new();
    for _ in 0..2 * SLOTS {
        let mut flight = request(node, route, tokens, 0);
        if let Placement::Send(order) = node.place(&mut flight, ms(0)) {
            sent.push((flight, order));
        }
    }
    sent
}

fn delay(placement: Placement) -> Delay {
    match placement {
        Placement::Wait(delay) => delay,
        other => panic!("{other:?} in place of a wait"),
    }
}

fn is_sent(placement: &Placement) -> bool {
    matches!(placement, Placement::Send(_))
}

#[test]
fn least_urgent_class_leaves_room_in_the_batch() {
    let mut node = site(&["chat", "bulk"]);
    let sent = fill(&mut node, "bulk", 10);
    assert!((50..SLOTS).contains(&sent.len()), "{} sent", sent.len());
    let mut bulk = request(&mut node, "bulk", 10, 1);
    assert_eq!(
        delay(node.place(&mut bulk, ms(1))).cause,
        WaitCause::Full,
        "others would displace it"
    );
    let mut chat = request(&mut node, "chat", 10, 1);
    assert!(is_sent(&node.place(&mut chat, ms(1))));
}

#[test]
fn room_ends_the_wait() {
    let mut node = site(&["chat", "bulk"]);
    let sent = fill(&mut node, "bulk", 10);
    let mut bulk = request(&mut node, "bulk", 10, 1);
    delay(node.place(&mut bulk, ms(1)));
    for (flight, order) in &sent[..SLOTS / 4] {
        let mut attempt = order.attempt.clone();
        node.record_answer_start(&mut attempt, false, flight, ms(50));
        node.finish(&attempt, End::Finished, flight, ms(90));
    }
    assert!(is_sent(&node.place(&mut bulk, ms(100))));
}

#[test]
fn what_would_be_late_waits_for_what_would_not() {
    let mut node = site(&["chat", "bulk"]);
    fill(&mut node, "bulk", 20_000);
    let mut bulk = request(&mut node, "bulk", 20_000, 1);
    let delay = delay(node.place(&mut bulk, ms(1)));
    assert_eq!(delay.cause, WaitCause::Late);
    assert!(delay.expected > bulk.route.target);
}

#[test]
fn wait_is_bounded() {
    let mut node = site(&["chat", "bulk"]);
    fill(&mut node, "bulk", 10);
    let mut bulk = request(&mut node, "bulk", 10, 1);
    let target = bulk.route.target;
    delay(node.place(&mut bulk, ms(1)));
    assert!(is_sent(&node.place(&mut bulk, ms(1) + 2 * target)));
}

#[test]
fn node_that_leaves_sends_at_once() {
    let mut node = site(&["chat", "bulk"]);
    fill(&mut node, "bulk", 10);
    node.leave();
    let mut bulk = request(&mut node, "bulk", 10, 1);
    assert!(is_sent(&node.place(&mut bulk, ms(1))));
}

#[test]
fn only_the_least_urgent_of_several_classes_waits() {
    for (names, name) in [
        (&["bulk"][..], "bulk"),
        (&["chat", "bulk"], "chat"),
        (&["chat", "tag", "bulk"], "tag"),
    ] {
        let mut node = site(names);
        assert_eq!(fill(&mut node, name, 10).len(), 2 * SLOTS, "{name}");
    }
}
