//! Nodes that lost their paths to all endpoints, in fleets of any size.
//!
//! Callers, the publisher and the other nodes still reach them, and the others reach the endpoints.

use std::time::Duration;

use crate::{
    dispatch::ms,
    world::{Cut, World},
};

/// Time after which the callers of a cut node must be served as the others are.
const NOTICED: Duration = ms(4_000);

/// Share of the others' requests that must be served.
const SERVED: f64 = 0.95;

/// Plays a cut of some nodes for 10 s, and asserts that callers notice little and no endpoint or request is blamed.
fn play(nodes: usize, cut: &[usize], way: Cut, seed: u64) -> World {
    let endpoints = (nodes / 2).clamp(9, 60);
    let mut world = World::new(nodes, endpoints, seed);
    world.run(ms(2_000));
    let begun = world.now;
    for node in cut {
        world.cut(*node, way);
    }
    world.run(ms(10_000));
    let what = format!("{nodes} nodes, {} cut, {way:?}", cut.len());
    let is_cut = |node: usize| cut.contains(&node);
    let (from, to) = (begun + NOTICED, world.now.saturating_sub(ms(1_000)));
    let before = world.served(Duration::ZERO, begun.saturating_sub(ms(1_000)), |_| true);
    let others = world.served(from, to, |node| !is_cut(node));
    let own = world.served(from, to, is_cut);
    assert!(own >= SERVED * others, "{what}: {own} of {others}");
    assert!(others >= SERVED * before, "{what}: {others} of {before}");
    for node in world.alive() {
        assert_eq!(node.quarantines(world.now).count(), 0, "{what}");
    }
    world
}

/// Asserts that all nodes soon use their own paths again, and that endpoints do not count as cold.
fn assert_return(world: &mut World) {
    world.heal();
    world.run(ms(3_000));
    let now = world.now;
    for node in world.alive() {
        let (all, lost, detours) = node.path_counts();
        assert_eq!((lost, detours), (0, 0), "of {all}");
        assert!(node.states().iter().all(|state| !state.is_cold(now)));
    }
    let from = world.now;
    world.run(ms(2_000));
    let served = world.served(from, world.now.saturating_sub(ms(1_000)), |_| true);
    assert!(served >= 0.99, "{served} after the cut");
}

/// Callers of a cut node were refused, at any size of the fleet.
#[test]
fn callers_are_served_at_any_size() {
    for way in [Cut::Reset, Cut::Silent] {
        for (nodes, every) in [(7, 2), (30, 2), (300, 3)] {
            let cut: Vec<usize> = (0..nodes).filter(|node| node % every == 0).collect();
            let mut world = play(nodes, &cut, way, 31);
            assert_return(&mut world);
        }
    }
}

/// The nodes of a data centre asked each other, and its endpoints were not used.
#[test]
fn callers_of_a_cut_data_centre_are_served() {
    for way in [Cut::Reset, Cut::Silent] {
        for nodes in [7, 30, 300] {
            let cut: Vec<usize> = (0..nodes).filter(|node| node % 3 == 1).collect();
            let mut world = play(nodes, &cut, way, 32);
            assert_return(&mut world);
        }
    }
}

/// A few nodes carried the requests of all that had lost their paths.
#[test]
fn others_share_the_load_out() {
    let cut: Vec<usize> = (0..30).filter(|node| node % 2 == 0).collect();
    let world = play(30, &cut, Cut::Reset, 33);
    let passed: usize = world.passed.iter().sum();
    let mean = passed as f64 / 15.0;
    let most = world.passed.iter().max().copied().unwrap_or(0);
    assert!(most as f64 <= 2.5 * mean, "{:?}", world.passed);
}

/// Where no node reached an endpoint, requests went round, waited long, or were said to have run.
#[test]
fn refusals_come_soon_where_nobody_reaches_anything() {
    for nodes in [1, 7, 30] {
        for way in [Cut::Reset, Cut::Silent] {
            let mut world = World::new(nodes, 9, 34);
            let begun = world.now;
            for node in 0..nodes {
                world.cut(node, way);
            }
            world.run(ms(8_000));
            let (from, sent) = (begun + NOTICED, world.counts.sent);
            let late = world.outcomes.iter().filter(|one| one.arrived >= from);
            for outcome in late.clone() {
                assert!(!outcome.served);
                let time = outcome.ended.saturating_sub(outcome.arrived);
                assert!(time <= ms(500), "{nodes} nodes, {way:?}: {time:?}");
            }
            assert!(late.count() > 0 && sent > 0);
            for node in world.alive() {
                assert_eq!(node.quarantines(world.now).count(), 0);
            }
            world.heal();
            world.run(ms(6_000));
            let end = world.now;
            let served = world.served(
                end.saturating_sub(ms(2_000)),
                end.saturating_sub(ms(1_000)),
                |_| true,
            );
            assert!(served >= SERVED, "{nodes} nodes, {way:?}: {served}");
        }
    }
}

/// Each lost path was probed by itself, so that a cut cost as many connections as there are endpoints.
#[test]
fn few_connections_look_for_the_end_of_the_cut() {
    let mut world = World::new(7, 60, 35);
    world.cut(0, Cut::Reset);
    // A check covers a part of the endpoints; the others are found lost when they are used.
    world.run(ms(15_000));
    let before = world.probes;
    world.run(ms(10_000));
    assert!(
        world.probes - before <= 60,
        "{} probes",
        world.probes - before
    );
    assert_return(&mut world);
}
