//! A node stands still, or is cut off, while endpoints of a new software version join.
//!
//! Streams begin at the new version at other nodes, and their callers take them up at a node that still
//! lists the old one only.

use peridotdeck_core::dispatch::registry::Endpoint;

use crate::{dispatch::ms, software_versions::endpoints, world::World};

const OLD: [(usize, &str); 3] = [(0, "v1"), (1, "v1"), (2, "v1")];

/// Returns nodes before three endpoints of one version.
fn world(nodes: usize, seed: u64) -> World {
    World::beside(nodes, endpoints(&OLD), seed, ms(2_000))
}

fn both_versions() -> Vec<Endpoint> {
    let new = [(0, "v2"), (1, "v2"), (2, "v2")];
    endpoints(&[OLD, new].concat())
}

/// Begins streams at all nodes but the first, and returns those of the new version.
fn begin(world: &mut World) -> Vec<String> {
    let mut begun = Vec::new();
    for at in 0..30 {
        let (node, id) = (1 + at % (world.nodes.len() - 1), format!("a{at}"));
        let version = world.stream(node, &id, None).expect("begun");
        begun.extend((version == "v2").then_some(id));
    }
    assert!(begun.len() > 3, "{begun:?}");
    begun
}

/// Takes streams up at the first node, and returns the version of each that goes on.
fn take_up(world: &mut World, streams: &[String]) -> Vec<Option<String>> {
    let taken = streams
        .iter()
        .map(|began| world.stream(0, &format!("b{began}"), Some(began)));
    taken.collect()
}

fn all_at(versions: &[Option<String>], version: &str) -> bool {
    let mut versions = versions.iter();
    versions.all(|one| one.as_deref() == Some(version))
}

/// Guards against streams of a new version that go on at the old one, at a node that stood still.
#[test]
fn stream_at_a_node_that_stood_still_keeps_its_version() {
    for (nodes, is_deaf) in [(3, false), (7, false), (60, false), (7, true)] {
        let mut world = world(nodes, 1);
        world.stopped = vec![0];
        world.run(ms(1_000));
        world.publish(both_versions());
        world.run(ms(2_000));
        let streams = begin(&mut world);
        world.run(ms(500));
        world.kill(1);
        world.deaf.extend(is_deaf.then_some(0));
        world.stopped.clear();
        let went_on = take_up(&mut world, &streams);
        assert!(all_at(&went_on, "v2"), "{nodes} nodes, {went_on:?}");
    }
}

/// Guards against the same at a node that neither peers nor the publisher reach.
#[test]
fn stream_at_a_node_that_is_cut_off_is_refused() {
    for nodes in [2, 3, 7, 60] {
        let mut world = world(nodes, 2);
        world.groups[0] = 1;
        world.deaf = vec![0];
        world.run(ms(1_500));
        world.publish(both_versions());
        world.run(ms(500));
        let streams = begin(&mut world);
        let went_on = take_up(&mut world, &streams);
        assert!(went_on.iter().all(Option::is_none), "{nodes} nodes");
        assert!(world.stream(0, "c", None).is_some(), "new ones begin");
        world.run(ms(3_000));
        assert_eq!(world.stream(0, "d", Some(&streams[0])), None);
        // What it has begun itself goes on.
        assert_eq!(world.stream(0, "e", Some("c")).as_deref(), Some("v1"));
        world.groups[0] = 0;
        world.deaf.clear();
        world.run(ms(3_000));
        let went_on = take_up(&mut world, &streams);
        assert!(all_at(&went_on, "v2"), "{nodes} nodes, {went_on:?}");
    }
}

/// Guards against refusals of what nobody names, where peers do not reach a node, but the publisher does.
///
/// What others began, it can't know there, nor whether another version began it.
#[test]
fn stream_at_a_node_without_peers_goes_on() {
    let mut world = world(7, 3);
    world.groups[0] = 1;
    world.run(ms(3_000));
    for at in 0..40 {
        let went_on = world.stream(0, &format!("a{at}"), Some(""));
        assert_eq!(went_on.as_deref(), Some("v1"), "a{at}");
        world.run(ms(50));
    }
    // One read shows the list for all streams of a second.
    assert!(world.read_count <= 4, "{} reads", world.read_count);
    assert_eq!(world.stream(0, "b", Some("unknown")), None);
    assert_eq!(world.stream(0, "c", Some("a1")).as_deref(), Some("v1"));
    world.groups[0] = 0;
    world.run(ms(2_000));
    let reads = world.read_count;
    world.stream(1, "d", None).expect("begun");
    world.run(ms(100));
    assert_eq!(world.stream(0, "e", Some("d")).as_deref(), Some("v1"));
    assert_eq!(world.read_count, reads);
}

/// Guards against reads, at any size, while the publisher fails and nobody is out of step.
#[test]
fn stream_of_an_only_version_goes_on_without_the_publisher() {
    for nodes in [2, 7, 60, 300] {
        let mut world = world(nodes, 4);
        world.deaf = (0..nodes).collect();
        world.run(ms(4_000));
        for at in 0..20 {
            world
                .stream(at % nodes, &format!("a{at}"), None)
                .expect("begun");
        }
        world.run(ms(100));
        let before = world.now;
        for at in 0..20 {
            let node = (at * 7 + 1) % nodes;
            let went_on = world.stream(node, &format!("b{at}"), Some(&format!("a{at}")));
            assert_eq!(went_on.as_deref(), Some("v1"), "{nodes} nodes, a{at}");
        }
        assert_eq!(world.read_count, 0, "{nodes} nodes");
        let waited = world.now.saturating_sub(before);
        assert!(
            waited <= ms(20 * 150),
            "{nodes} nodes waited for {waited:?}"
        );
    }
}

/// Guards against a node that has heard of changes which it has not fetched yet.
#[test]
fn stream_at_a_node_that_lacks_a_change_waits_for_it() {
    let mut world = world(7, 5);
    world.deaf = vec![0];
    world.publish(both_versions());
    world.run(ms(600));
    let streams = begin(&mut world);
    let went_on = take_up(&mut world, &streams);
    assert!(all_at(&went_on, "v2"), "{went_on:?}");
}

/// Guards against a version that came and went while a node stood still.
#[test]
fn version_that_came_and_went_is_not_forgotten() {
    let mut world = world(7, 6);
    world.stopped = vec![0];
    world.publish(both_versions());
    world.run(ms(1_000));
    let streams = begin(&mut world);
    world.publish(endpoints(&OLD));
    world.run(ms(1_000));
    world.stopped.clear();
    let went_on = take_up(&mut world, &streams);
    assert!(went_on.iter().all(Option::is_none), "{went_on:?}");
}

/// Guards against refusals after most nodes were killed at once, while the publisher fails.
#[test]
fn stream_goes_on_soon_after_most_nodes_were_killed() {
    for nodes in [3, 7, 60] {
        let mut world = world(nodes, 7);
        world.run(ms(30_000));
        world.deaf = (0..nodes).collect();
        for at in 0..20 {
            world
                .stream(at % nodes, &format!("a{at}"), None)
                .expect("begun");
        }
        world.run(ms(1_000));
        let killed = 0..2 * nodes / 3;
        for node in killed.clone() {
            world.kill(node);
        }
        world.run(ms(700));
        for node in killed {
            world.start(node);
        }
        world.run(ms(2_500));
        let mut going = 0;
        for at in 0..20 {
            let went_on = world.stream(at % nodes, &format!("b{at}"), Some(&format!("a{at}")));
            assert!(went_on.as_deref().is_none_or(|version| version == "v1"));
            going += usize::from(went_on.is_some());
        }
        // The few that know a stream may all be among the killed.
        assert!(going >= 15, "{nodes} nodes: {going} of 20 go on");
        assert_eq!(world.read_count, 0, "{nodes} nodes");
    }
}
