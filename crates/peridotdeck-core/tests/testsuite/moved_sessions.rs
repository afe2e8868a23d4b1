//! Sessions that one software version has read, and that go on at another one.
//!
//! A node that starts lists what endpoints have cached. That a version has read the last part of a
//! prompt does not show that it began the stream.

use crate::{dispatch::ms, software_versions::endpoints, world::World};

const OLD: [(usize, &str); 3] = [(0, "v1"), (1, "v1"), (2, "v1")];
const NEW: [(usize, &str); 3] = [(0, "v2"), (1, "v2"), (2, "v2")];

/// Begins a stream of each session at nodes other than the first, and returns those of the new version.
fn begin(world: &mut World, name: &str) -> Vec<u64> {
    let mut new = Vec::new();
    for session in 0..40 {
        let node = 1 + session as usize % (world.nodes.len() - 1);
        let id = format!("{name}{session}");
        let version = world.stream_of(node, &id, None, Some(session));
        new.extend((version.as_deref() == Some("v2")).then_some(session));
    }
    new
}

/// Returns nodes before two versions, of which the old one has read all sessions.
fn world(nodes: usize, seed: u64) -> World {
    let mut world = World::beside(nodes, endpoints(&OLD), seed, ms(2_000));
    begin(&mut world, "read");
    world.publish(endpoints(&[OLD, NEW].concat()));
    world.run(ms(1_500));
    world
}

/// Asserts that no stream of the new version goes on at the old one.
fn assert_kept(world: &mut World, what: &str, node: usize, streams: &[u64]) {
    assert!(streams.len() > 5, "{what}: {} streams", streams.len());
    let mut wrong = 0;
    for session in streams {
        let (id, began) = (format!("taken{session}"), format!("begun{session}"));
        let went_on = world.stream_of(node, &id, Some(&began), Some(*session));
        wrong += usize::from(went_on.as_deref() == Some("v1"));
    }
    assert_eq!(
        wrong,
        0,
        "{what}: of {} at the other version",
        streams.len()
    );
}

/// Guards against a list of caches that names the version which read a session before.
#[test]
fn session_that_moved_on_keeps_its_version_at_a_node_that_listed_caches() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 1);
        world.kill(0);
        world.start(0);
        world.list_caches(0);
        world.run(ms(10_000));
        world.groups[0] = 1;
        world.deaf = vec![0];
        let streams = begin(&mut world, "begun");
        world.run(ms(3_000));
        assert_kept(&mut world, &format!("{nodes} nodes"), 0, &streams);
    }
}

/// Guards against a list that is older than the stream, where all that were told of it have ended.
#[test]
fn session_that_moved_on_is_not_at_the_version_of_an_old_list() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 3);
        world.kill(0);
        world.start(0);
        world.run(ms(1_500));
        let streams = begin(&mut world, "begun");
        for node in 1..nodes {
            world.kill(node);
        }
        assert_kept(&mut world, &format!("{nodes} nodes"), 0, &streams);
    }
}

/// Guards against a list that one version gives and the other one does not, after all nodes have ended.
#[test]
fn session_that_moved_on_is_refused_where_its_version_lists_nothing() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 4);
        let streams = begin(&mut world, "begun");
        world.unlisted = vec!["v2"];
        world.restart_all();
        world.run(ms(500));
        assert_kept(&mut world, &format!("{nodes} nodes"), 1, &streams);
    }
}

/// Guards against the same where the version of the stream has left, and all nodes have started again.
#[test]
fn session_whose_version_left_is_refused_after_a_restart() {
    for nodes in [7, 60] {
        let mut world = world(nodes, 2);
        let streams = begin(&mut world, "begun");
        world.publish(endpoints(&OLD));
        world.run(ms(500));
        world.restart_all();
        for node in 0..nodes {
            world.list_caches(node);
        }
        world.run(ms(500));
        assert_kept(&mut world, &format!("{nodes} nodes"), 1, &streams);
    }
}
