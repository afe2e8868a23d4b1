//! Bounds that hold summed over all nodes: repeats, and what cold endpoints bear.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher,
    attempt::{End, Placement},
    budget::{Bound, Budget},
    registry::Fact,
};

use crate::dispatch::{admit, ask, dispatcher, endpoint, ms, node, publish};

const BOUND: Bound = Bound {
    ratio: 0.2,
    fixed: 50.0,
    window: Duration::from_secs(10),
};

#[test]
fn repeats_of_all_nodes_stay_within_the_bound() {
    for nodes in [1_usize, 3, 7] {
        let mut budgets = vec![Budget::new(BOUND); nodes];
        let (mut requests, mut repeats) = (0_u32, 0_u32);
        for at in 0..1_000_u64 {
            for budget in &mut budgets {
                budget.count_request("desk", ms(at * 10));
                requests += 1;
                while budget.take_retry("desk", nodes, ms(at * 10)) {
                    repeats += 1;
                }
            }
        }
        let bound = BOUND.ratio * f64::from(requests) + BOUND.fixed;
        assert!(f64::from(repeats) <= bound, "{nodes}: {repeats} > {bound}");
        assert!(
            f64::from(repeats) > bound / 2.0,
            "{nodes}: the budget is used"
        );
    }
}

#[test]
fn budget_returns_with_time() {
    let mut budget = Budget::new(BOUND);
    while budget.take_retry("desk", 1, ms(0)) {}
    assert!(!budget.take_retry("desk", 1, ms(9_000)));
    assert!(budget.take_retry("desk", 1, ms(11_500)));
}

/// Sends as much as the nodes of one data centre place on a cold endpoint within a second.
fn cold_sends(nodes: &mut [Dispatcher], start: u64) -> u32 {
    let mut sends = 0;
    for at in 0..200 {
        let now = ms(start + at * 5);
        for each in nodes.iter_mut() {
            let mut flight = admit(each, ask("bulk"), now);
            if let Placement::Send(order) = each.place(&mut flight, now) {
                sends += 1;
                each.finish(&order.attempt, End::Finished, &flight, now);
            }
        }
    }
    sends
}

fn cold_pair() -> Vec<Dispatcher> {
    let mut cold = endpoint("cold", "text", "muenchen");
    cold.cold = Duration::from_secs(60);
    vec![
        dispatcher(1, "muenchen", &[cold.clone()]),
        dispatcher(2, "muenchen", &[cold]),
    ]
}

fn exchange(nodes: &mut [Dispatcher], now: Duration) {
    for from in 0..nodes.len() {
        for (to, beat) in nodes[from].tick(now).heartbeats {
            let at = (0..nodes.len()).find(|at| node(*at as u8 + 1) == to);
            let Some(at) = at else { continue };
            let answer = nodes[at].receive(&beat, now).0;
            if let Some(answer) = answer {
                nodes[from].receive(&answer, now);
            }
        }
    }
}

#[test]
fn cold_endpoint_takes_no_more_than_it_bears() {
    let mut nodes = cold_pair();
    for at in 0..40 {
        exchange(&mut nodes, ms(at * 25));
    }
    let sends = cold_sends(&mut nodes, 1_000);
    // The service's endpoints bear 10 a second, and it is to be used.
    assert!((5..=10).contains(&sends), "{sends}");
}

#[test]
fn nodes_that_cannot_hear_each_other_stay_within_the_bound() {
    let mut nodes = cold_pair();
    let sends = cold_sends(&mut nodes, 1_000);
    // Bound of the platform: one and a half times the rate, and five.
    assert!(sends <= 20, "{sends}");
}

#[test]
fn half_of_a_data_centre_that_hears_the_other_no_more_sends_nothing() {
    let mut cold = endpoint("cold", "text", "muenchen");
    cold.cold = Duration::from_secs(60);
    let mut nodes: Vec<Dispatcher> = (1..=5)
        .map(|number| dispatcher(number, "muenchen", &[cold.clone()]))
        .collect();
    for at in 0..40 {
        exchange(&mut nodes, ms(at * 25));
    }
    let mut minority = nodes.split_off(3);
    for at in 40..160 {
        exchange(&mut nodes, ms(at * 25));
        for each in &mut minority {
            each.tick(ms(at * 25));
        }
    }
    assert_eq!(cold_sends(&mut minority, 4_000), 0);
    let sends = cold_sends(&mut nodes, 4_000);
    assert!((5..=20).contains(&sends), "{sends}");
}

#[test]
fn endpoint_that_is_back_is_taken_for_cold() {
    let mut node = dispatcher(1, "muenchen", &[endpoint("e", "text", "muenchen")]);
    let mut flight = admit(&mut node, ask("bulk"), ms(0));
    let Placement::Send(order) = node.place(&mut flight, ms(0)) else {
        panic!("warm and free");
    };
    node.finish(&order.attempt, End::Unreachable, &flight, ms(1));
    node.record_probe(order.attempt.key(), true, ms(300));
    let sends = cold_sends(std::slice::from_mut(&mut node), 700);
    assert!((5..=10).contains(&sends), "{sends}");
    // Its new entry says how long it is cold.
    let mut warm = endpoint("e", "text", "muenchen");
    warm.born = 2;
    publish(&mut node, 2, Fact::Endpoint(warm), ms(1_800));
    let sends = cold_sends(std::slice::from_mut(&mut node), 1_900);
    assert_eq!(sends, 200);
}
