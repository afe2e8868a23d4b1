//! Endpoints that name the rate which they take from all nodes together.
//!
//! A node that keeps the rate for itself alone, or that does not hear of it, makes the sum of all
//! nodes exceed it.

use crate::{
    dispatch::ms,
    world::{Counts, World},
};

/// An endpoint in need got as many requests as before, because no node kept the rate that it named.
#[test]
fn sum_of_all_nodes_keeps_a_named_rate() {
    for (nodes, rate, per_node) in [
        (1, 3.1, 40.0),
        (7, 3.1, 20.0),
        (7, 0.4, 20.0),
        (30, 12.0, 8.0),
    ] {
        let mut world = World::new(nodes, 6, 1);
        world.callers.1 = per_node;
        world.endpoints[0].rate = Some(rate);
        let named = world.now;
        world.run(ms(14_000));
        world.assert_kept(0, named, rate, &format!("{nodes} nodes, rate {rate}"));
        world.assert_used(
            0,
            0.6,
            named + ms(4_000),
            rate,
            &format!("{nodes} nodes, rate {rate}"),
        );
        assert_eq!(
            world.counts.refused, 0,
            "the other endpoints serve the rest"
        );
    }
}

/// With hundreds of nodes even one request from each of them exceeded the rate.
#[test]
fn hundreds_of_nodes_keep_a_named_rate() {
    let mut world = World::new(300, 9, 2);
    world.callers.1 = 2.0;
    world.endpoints[1].rate = Some(3.1);
    let named = world.now;
    world.run(ms(10_000));
    world.assert_kept(1, named, 3.1, "300 nodes");
    world.assert_used(1, 0.5, named + ms(4_000), 3.1, "300 nodes");
}

/// What an endpoint takes was lost where its rate was divided among nodes that no caller reaches.
#[test]
fn rate_is_used_by_the_nodes_that_callers_reach() {
    let mut world = World::new(9, 6, 3);
    // Callers reach two nodes of one data centre, and every endpoint is in need.
    world.callers = (vec![0, 3], 20.0);
    for endpoint in &mut world.endpoints {
        endpoint.rate = Some(2.0);
    }
    let named = world.now;
    world.run(ms(14_000));
    for endpoint in 0..6 {
        world.assert_kept(endpoint, named, 2.0, "few nodes reached");
        world.assert_used(endpoint, 0.6, named + ms(4_000), 2.0, "few nodes reached");
    }
}

/// Two halves of a data centre that cannot reach each other each shared out the whole rate.
#[test]
fn sides_of_a_cut_keep_the_rate_together() {
    for (sides, seed) in [([0, 1], 4), ([0, 0], 5)] {
        let mut world = World::new(12, 3, seed);
        world.callers.1 = 10.0;
        world.endpoints[1].rate = Some(4.0);
        let named = world.now;
        world.run(ms(5_000));
        // Data centres are cut off from each other, and in the first case each one is halved.
        world.groups = (0..12)
            .map(|index| index % 3 + 3 * sides[index / 3 % 2])
            .collect();
        world.run(ms(8_000));
        world.groups = vec![0; 12];
        world.run(ms(5_000));
        world.assert_kept(1, named, 4.0, "cut");
        world.assert_used(1, 0.4, named + ms(5_000), 4.0, "cut");
    }
}

/// The node that shares out a rate ended with it, or two of them granted it at once.
#[test]
fn restarts_of_every_node_keep_the_rate() {
    let mut world = World::new(7, 4, 6);
    world.callers.1 = 20.0;
    world.endpoints[1].rate = Some(3.1);
    let named = world.now;
    world.run(ms(5_000));
    for index in 0..7 {
        world.kill(index);
        world.run(ms(1_000));
        world.start(index);
        world.run(ms(1_000));
    }
    world.assert_kept(1, named, 3.1, "restarts");
    world.assert_used(1, 0.4, named + ms(5_000), 3.1, "restarts");
}

/// A data centre without nodes left its endpoints without anyone to share out their rates.
#[test]
fn endpoint_whose_data_centre_has_no_node_is_still_used() {
    let mut world = World::new(6, 3, 7);
    world.callers.1 = 20.0;
    for endpoint in &mut world.endpoints {
        endpoint.rate = Some(10.0);
    }
    let named = world.now;
    world.run(ms(5_000));
    world.kill(1);
    world.kill(4);
    world.run(ms(8_000));
    world.assert_kept(1, named, 10.0, "no node");
    world.assert_used(1, 0.1, named + ms(8_000), 10.0, "no node");
}

/// A rate that changed was kept as it was first named, or outlived the need.
#[test]
fn rate_follows_what_the_endpoint_says() {
    let mut world = World::new(7, 1, 8);
    world.callers.1 = 20.0;
    let named = world.now;
    for rate in [2.0, 12.0, 1.0] {
        world.endpoints[0].rate = Some(rate);
        let changed = world.now;
        world.run(ms(10_000));
        let from = changed + ms(3_000);
        world.assert_used(0, 0.6, from, rate, &format!("rate {rate}"));
        let count = world.count(0, from, world.now) as f64;
        assert!(count <= 1.2 * rate * 7.0 + 2.0, "rate {rate}: {count}");
    }
    assert!(world.now > named + ms(29_000));
    world.endpoints[0].rate = None;
    world.run(ms(3_000));
    let from = world.now;
    world.run(ms(2_000));
    let count = world.count(0, from, world.now);
    assert!(count >= 200, "{count} of 280 requests after the need ended");
}

/// Overnight work used up what was left of a rate, and urgent requests waited for it.
#[test]
fn urgent_requests_use_a_rate_first() {
    let mut world = World::new(7, 1, 9);
    world.callers.1 = 10.0;
    world.urgent_share = 0.06;
    world.endpoints[0].rate = Some(10.0);
    world.run(ms(4_000));
    let from = world.now;
    world.counts = Counts::default();
    world.run(ms(10_000));
    // Four urgent requests a second fit into the rate, beside 66 others.
    let urgent = world.count_rank(0, 0, from);
    let refused = world.counts.refused_urgent;
    assert!(
        urgent >= 30 && refused * 5 <= urgent,
        "{urgent} sent, {refused} refused"
    );
    let others = world.count_rank(0, 1, from);
    assert!(others >= 25, "{others} others");
}

/// An endpoint that named a rate made requests wait that others would have served at once.
#[test]
fn nothing_waits_for_a_rate_while_others_are_free() {
    let mut world = World::new(7, 6, 10);
    world.callers.1 = 10.0;
    world.endpoints[1].rate = Some(0.5);
    world.endpoints[2].rate = Some(0.5);
    world.counts = Counts::default();
    world.run(ms(8_000));
    assert_eq!((world.counts.waited, world.counts.refused), (0, 0));
}

/// A rate with many decimals differed from what peers reported of it, so each answer was news.
#[test]
fn reported_rate_equals_the_named_one() {
    let mut world = World::new(7, 1, 11);
    world.callers.1 = 10.0;
    for rate in [2.3, 2.857_142, 1e-9] {
        world.endpoints[0].rate = Some(rate);
        world.run(ms(8_000));
        let changes = world.rate_changes;
        world.run(ms(6_000));
        assert_eq!(world.rate_changes, changes, "rate {rate}");
    }
}
