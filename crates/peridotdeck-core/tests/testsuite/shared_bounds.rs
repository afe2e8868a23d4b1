//! Bounds on the sum over all nodes: retries, and requests sent to cold endpoints.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher,
    attempt::{End, Placement},
    budget::{Bound, Budget},
    registry::{Endpoint, Fact},
};

use crate::dispatch::{
    admit, copies, decoded_request, dispatcher, endpoint, expect_sent, ms, node, publish,
};

const RETRY_BOUND: Bound = Bound {
    ratio: 0.2,
    fixed: 50.0,
    window: Duration::from_secs(10),
};

#[test]
fn retries_of_all_nodes_stay_within_the_bound() {
    for nodes in [1_usize, 3, 7] {
        let mut budgets = vec![Budget::new(RETRY_BOUND); nodes];
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for step in 0..1_000_u64 {
            for budget in &mut budgets {
                budget.count_request("desk", ms(step * 10));
                requests += 1;
                while budget.take_retry("desk", nodes, ms(step * 10)) {
                    retries += 1;
                }
            }
        }
        let bound = RETRY_BOUND.ratio * f64::from(requests) + RETRY_BOUND.fixed;
        assert!(f64::from(retries) <= bound, "{nodes}: {retries} > {bound}");
        assert!(
            f64::from(retries) > bound / 2.0,
            "{nodes}: the budget is used"
        );
    }
}

#[test]
fn retry_budget_is_refilled_after_its_window() {
    let mut budget = Budget::new(RETRY_BOUND);
    while budget.take_retry("desk", 1, ms(0)) {}
    assert!(!budget.take_retry("desk", 1, ms(9_000)));
    assert!(budget.take_retry("desk", 1, ms(11_500)));
}

/// Returns how many of 200 requests at each node are sent to a cold endpoint within a second.
fn count_cold_sends(nodes: &mut [Dispatcher], start_ms: u64) -> u32 {
    let mut sends = 0;
    for step in 0..200 {
        let now = ms(start_ms + step * 5);
        for dispatcher in nodes.iter_mut() {
            let mut flight = admit(dispatcher, decoded_request("bulk"), now);
            if let Placement::Send(assignment) = dispatcher.place(&mut flight, now) {
                sends += 1;
                dispatcher.finish(&assignment.attempt, End::Finished, &flight, now);
            }
        }
    }
    sends
}

fn two_nodes_with_a_cold_endpoint() -> Vec<Dispatcher> {
    let mut cold = endpoint("cold", "text", "muenchen");
    cold.cold = Duration::from_secs(60);
    vec![
        dispatcher(1, "muenchen", &[cold.clone()]),
        dispatcher(2, "muenchen", &[cold]),
    ]
}

fn exchange_heartbeats(nodes: &mut [Dispatcher], now: Duration) {
    for from in 0..nodes.len() {
        for (to, heartbeat) in copies(nodes[from].tick(now).heartbeats) {
            let to = (0..nodes.len()).find(|index| node(*index as u8 + 1) == to);
            let Some(to) = to else { continue };
            for response in nodes[to].receive(&heartbeat, now).0 {
                nodes[from].receive(&response, now);
            }
        }
    }
}

#[test]
fn cold_endpoint_gets_at_most_its_rate() {
    let mut nodes = two_nodes_with_a_cold_endpoint();
    for step in 0..40 {
        exchange_heartbeats(&mut nodes, ms(step * 25));
    }
    let sends = count_cold_sends(&mut nodes, 1_000);
    // A cold endpoint of this service bears 10 requests a second; at least half must be used.
    assert!((5..=10).contains(&sends), "{sends}");
}

#[test]
fn nodes_without_heartbeats_stay_within_the_cold_bound() {
    let mut nodes = two_nodes_with_a_cold_endpoint();
    let sends = count_cold_sends(&mut nodes, 1_000);
    // The platform allows one and a half times the rate, and five more.
    assert!(sends <= 20, "{sends}");
}

/// Two of five nodes stop receiving heartbeats. They could send to a cold endpoint in addition to
/// the other three, beyond its bound.
#[test]
fn minority_cut_off_from_its_data_centre_sends_nothing_to_a_cold_endpoint() {
    let mut cold = endpoint("cold", "text", "muenchen");
    cold.cold = Duration::from_secs(60);
    let mut nodes: Vec<Dispatcher> = (1..=5)
        .map(|number| dispatcher(number, "muenchen", &[cold.clone()]))
        .collect();
    for step in 0..40 {
        exchange_heartbeats(&mut nodes, ms(step * 25));
    }
    let mut minority = nodes.split_off(3);
    for step in 40..160 {
        exchange_heartbeats(&mut nodes, ms(step * 25));
        for dispatcher in &mut minority {
            dispatcher.tick(ms(step * 25));
        }
    }
    assert_eq!(count_cold_sends(&mut minority, 4_000), 0);
    let sends = count_cold_sends(&mut nodes, 4_000);
    assert!((5..=20).contains(&sends), "{sends}");
}

/// Nodes learn of a restart at different times. The nodes that still know the earlier process must
/// not send in addition to those that know the later one.
#[test]
fn restarted_cold_endpoint_keeps_its_senders() {
    let mut processes = [1, 2].map(|born| Endpoint {
        born,
        cold: Duration::from_secs(60),
        ..endpoint("cold", "text", "muenchen")
    });
    let mut nodes: Vec<Dispatcher> = (1..=12)
        .map(|number| {
            processes.rotate_left(1);
            dispatcher(number, "muenchen", &processes[..1])
        })
        .collect();
    for step in 0..40 {
        exchange_heartbeats(&mut nodes, ms(step * 25));
    }
    let senders = nodes
        .iter_mut()
        .filter_map(|node| (count_cold_sends(std::slice::from_mut(node), 1_000) > 0).then_some(()));
    // Four nodes send to an endpoint that bears 10 requests a second.
    assert_eq!(senders.count(), 4);
}

/// An endpoint that answers a probe after a failed connection may have restarted, thus be cold.
#[test]
fn endpoint_that_was_unreachable_counts_as_cold() {
    let mut node = dispatcher(1, "muenchen", &[endpoint("e", "text", "muenchen")]);
    let mut flight = admit(&mut node, decoded_request("bulk"), ms(0));
    let Placement::Send(assignment) = node.place(&mut flight, ms(0)) else {
        panic!("the endpoint is warm and idle");
    };
    node.finish(&assignment.attempt, End::Unreachable, &flight, ms(1));
    node.record_probe(assignment.attempt.key(), true, ms(300));
    let sends = count_cold_sends(std::slice::from_mut(&mut node), 700);
    assert!((5..=10).contains(&sends), "{sends}");
    // The new entry of the endpoint list says that the endpoint is warm.
    let mut warm = endpoint("e", "text", "muenchen");
    warm.born = 2;
    publish(&mut node, 2, Fact::Endpoint(warm), ms(1_800));
    let sends = count_cold_sends(std::slice::from_mut(&mut node), 1_900);
    assert_eq!(sends, 200);
}

/// An endpoint that had been silent for a second counted as restarted, and got few requests for seconds.
#[test]
fn endpoint_that_goes_on_answering_is_not_cold() {
    let mut node = dispatcher(1, "muenchen", &[endpoint("e", "text", "muenchen")]);
    let mut flight = admit(&mut node, decoded_request("urgent"), ms(0));
    let mut attempt = expect_sent(node.place(&mut flight, ms(0))).attempt;
    let key = attempt.key();
    node.record_probe(key, false, ms(400));
    node.tick(ms(425));
    node.record_probe(key, true, ms(1_200));
    assert!(node.states()[0].is_cold(ms(1_200)));
    node.record_answer_start(&mut attempt, false, &flight, ms(1_210));
    assert!(!node.states()[0].is_cold(ms(1_210)));
}
