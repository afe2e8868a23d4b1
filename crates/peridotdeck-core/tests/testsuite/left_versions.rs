//! Versions that have left before all nodes start again: their streams are refused, the others go on.
//!
//! The endpoints that stay have read sessions whose streams began elsewhere. A node that trusts such a cache
//! joins events of two versions, and one that trusts none refuses sound streams.

use crate::{
    dispatch::ms,
    software_versions::endpoints,
    taken_streams::{begin, take_up},
    world::World,
};

const OLD: [(usize, &str); 3] = [(0, "v1"), (1, "v1"), (2, "v1")];
const NEW: [(usize, &str); 3] = [(0, "v2"), (1, "v2"), (2, "v2")];

fn world(nodes: usize, seed: u64) -> World {
    World::beside(nodes, endpoints(&OLD), seed, ms(25_000))
}

/// Ends all nodes and starts them again, after some of the endpoints have left.
fn restart(world: &mut World, left: &[(usize, &str)]) {
    world.publish(endpoints(left));
    world.run(ms(500));
    world.restart_all();
    world.run(ms(500));
}

/// Guards against streams of a version that was taken back which go on at the one that had read their sessions.
#[test]
fn session_of_a_version_taken_back_is_refused_and_the_others_go_on() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 1);
        begin(&mut world, "read");
        world.publish(endpoints(&[OLD, NEW].concat()));
        world.run(ms(1_500));
        let versions = begin(&mut world, "begun");
        restart(&mut world, &OLD);
        let new = take_up(&mut world, &versions, "v2");
        let old = take_up(&mut world, &versions, "v1");
        assert!(new.begun > 5 && new.going == 0, "{nodes} nodes, {new:?}");
        assert!(10 * old.going >= 9 * old.begun, "{nodes} nodes, {old:?}");
        assert_eq!(old.mixed, 0, "{nodes} nodes, {old:?}");
    }
}

/// Guards against the same where the publisher's history does not name the version of what has left.
#[test]
fn session_of_an_unknown_version_is_refused() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 2);
        begin(&mut world, "read");
        world.publish(endpoints(&[OLD, NEW].concat()));
        world.run(ms(25_000));
        let versions = begin(&mut world, "begun");
        restart(&mut world, &OLD);
        let new = take_up(&mut world, &versions, "v2");
        assert!(new.begun > 5 && new.mixed == 0, "{nodes} nodes, {new:?}");
    }
}

/// Guards against refusals of the new version's streams, because the old one left unlisted while the nodes started.
#[test]
fn streams_of_a_rollout_go_on_after_a_restart() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 3);
        world.publish(endpoints(&[OLD, NEW].concat()));
        world.run(ms(1_500));
        let versions = begin(&mut world, "begun");
        world.unlisted = vec!["v1"];
        world.restart_all();
        world.run(ms(200));
        let both = endpoints(&[OLD, NEW].concat());
        world.publish(both[OLD.len()..].to_vec());
        world.run(ms(500));
        let new = take_up(&mut world, &versions, "v2");
        assert!(new.begun > 5, "{nodes} nodes, {new:?}");
        assert!(10 * new.going >= 9 * new.begun, "{nodes} nodes, {new:?}");
        let old = take_up(&mut world, &versions, "v1");
        assert_eq!(old.mixed, 0, "{nodes} nodes, {old:?}");
    }
}

/// Guards against refusals because of what left in an earlier rollout, before the version that stays was there.
#[test]
fn streams_go_on_beside_an_earlier_rollout() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 4);
        world.publish(endpoints(&NEW));
        world.run(ms(2_000));
        let newest = NEW.map(|(data_centre, _)| (data_centre, "v3"));
        world.publish(endpoints(&[NEW, newest].concat()));
        world.run(ms(1_500));
        let versions = begin(&mut world, "begun");
        restart(&mut world, &[NEW, newest].concat());
        for version in ["v2", "v3"] {
            let counts = take_up(&mut world, &versions, version);
            assert!(counts.begun > 5, "{nodes} nodes, {version}, {counts:?}");
            // What left is known by its removal alone, so a part of the sessions stays in doubt.
            assert!(
                2 * counts.going >= counts.begun && counts.mixed == 0,
                "{nodes} nodes, {version}, {counts:?}"
            );
        }
    }
}

/// Guards against refusals of sound streams, because endpoints of other regions take a while to list their caches.
#[test]
fn streams_wait_for_lists_that_take_a_while() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 5);
        world.publish(endpoints(&[OLD, NEW].concat()));
        world.run(ms(1_500));
        let versions = begin(&mut world, "begun");
        world.listing_time = ms(300);
        world.restart_all();
        world.run(ms(500));
        for version in ["v1", "v2"] {
            let counts = take_up(&mut world, &versions, version);
            assert!(
                10 * counts.going >= 9 * counts.begun && counts.mixed == 0,
                "{nodes} nodes, {version}, {counts:?}"
            );
        }
    }
}
