//! Endpoints that say that they are brittle: they fall over if they reject too much in a second.

use std::time::Duration;

use crate::{dispatch::ms, world::World};

/// Time after the endpoints said so from which they let fewer wait.
const IN_FORCE: Duration = ms(4_000);

/// Requests that an endpoint can answer in a second: 64 at once, each in half a second.
const CAPACITY: f64 = 128.0;

/// Plays a fleet before endpoints of which all are brittle; `load` is a multiple of what they answer.
fn play(nodes: usize, endpoints: usize, load: f64, seed: u64) -> World {
    let mut world = World::new(nodes, endpoints, seed);
    world.urgent_share = 0.3;
    world.callers.1 = load * CAPACITY * endpoints as f64 / nodes as f64;
    for endpoint in &mut world.endpoints {
        endpoint.brittle = Some(3);
    }
    world.run(IN_FORCE);
    for endpoint in &mut world.endpoints {
        endpoint.queue = 1;
    }
    world
}

fn assert_kept(world: &World, endpoints: usize, from: Duration, what: &str) {
    let falls = world.falls(from);
    assert!(10 * falls <= 20 + endpoints, "{what}: {falls} falls");
}

/// Each node sent what it believed there was room for, and the sum made the endpoints fall.
#[test]
fn sum_of_all_nodes_keeps_the_room() {
    for (nodes, endpoints) in [(7, 6), (30, 6), (300, 9)] {
        let mut world = play(nodes, endpoints, 1.3, 41);
        let (from, before) = (world.now, world.counts);
        world.run(ms(6_000));
        let what = format!("{nodes} nodes");
        assert_kept(&world, endpoints, from, &what);
        let sent: usize = (0..endpoints)
            .map(|endpoint| world.count(endpoint, from, world.now))
            .sum();
        let due = CAPACITY * 6.0 * endpoints as f64;
        assert!(sent as f64 >= 0.8 * due, "{what}: {sent} of {due} used");
        let urgent = world.counts.refused_urgent - before.refused_urgent;
        let refused = world.counts.refused - before.refused;
        assert!(10 * urgent <= refused, "{what}: {urgent} of {refused}");
    }
}

/// Where there was room for all, requests waited for places or were refused.
#[test]
fn nothing_is_refused_while_there_is_room() {
    for nodes in [1, 7, 30] {
        let mut world = play(nodes, 6, 0.5, 42);
        let before = world.counts;
        world.run(ms(6_000));
        let after = world.counts;
        let sent = after.sent - before.sent;
        let refused = after.refused - before.refused;
        assert!(100 * refused <= sent, "{nodes} nodes: {refused} of {sent}");
        assert!(world.falls(Duration::ZERO) == 0);
    }
}

/// Nodes that were cut off, ended or started made the endpoints fall, as no node knew what they held.
#[test]
fn room_is_kept_while_nodes_come_and_go() {
    let mut world = play(12, 6, 1.2, 43);
    let from = world.now;
    for turn in 0..4 {
        world.kill(turn);
        world.run(ms(700));
        world.start(turn);
        world.run(ms(700));
        world.groups = (0..12).map(|node| usize::from(node % 4 == turn)).collect();
        world.run(ms(4_000));
        world.groups = vec![0; 12];
        world.run(ms(1_500));
    }
    assert_kept(&world, 6, from, "restarts and cuts");
}
