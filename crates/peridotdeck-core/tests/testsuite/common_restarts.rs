//! All nodes end at once and start again; streams from before and after that are taken up.
//!
//! Nobody is left who knows the software versions of before. A node that refuses what it does not know
//! loses streams, and one that guesses joins events of two versions.

use crate::{
    dispatch::ms,
    software_versions::{endpoints, serve_at_both_versions},
    world::World,
};

/// Returns nodes before endpoints of one version, which have all ended and started again.
fn restarted(nodes: usize, endpoints: usize, seed: u64) -> World {
    let mut world = World::new(nodes, endpoints, seed);
    world.callers.0.clear();
    world.run(ms(1_000));
    world.restart_all();
    world.run(ms(1_000));
    world
}

/// Guards against refusals of streams that began after the restart, at nodes that did not begin them.
#[test]
fn stream_from_after_a_restart_goes_on_elsewhere() {
    for nodes in [3, 7, 60] {
        let mut world = restarted(nodes, 6, 1);
        for node in 0..nodes {
            world.list_caches(node);
        }
        world.run(ms(8_000));
        for at in 0..20 {
            let begun = world.stream(0, &format!("a{at}"), None);
            assert!(begun.is_some(), "a{at}");
        }
        world.run(ms(100));
        world.kill(0);
        for at in 0..20 {
            let node = 1 + at % (nodes - 1);
            let went_on = world.stream(node, &format!("b{at}"), Some(&format!("a{at}")));
            assert!(went_on.is_some(), "{nodes} nodes, a{at}");
        }
    }
}

/// Nodes that restart, each time at once, and the time that passes after it.
type Restarts = (&'static str, fn(usize) -> bool, &'static [u64]);

/// Guards against refusals of streams that are taken up twice after a restart of a part of the fleet, or
/// after two restarts.
#[test]
fn stream_from_after_any_restart_goes_on_twice() {
    let all: [Restarts; 4] = [
        ("half", |node| node % 2 == 0, &[6_000]),
        ("a data centre", |node| node % 3 == 0, &[6_000]),
        ("all but one", |node| node != 1, &[6_000]),
        ("all, twice", |_| true, &[9_000, 6_000]),
    ];
    for nodes in [6, 30] {
        for (what, restarts, times) in all {
            let mut world = World::new(nodes, 6, 2);
            world.callers.0.clear();
            world.run(ms(40_000));
            for time in times {
                for node in (0..nodes).filter(|node| restarts(*node)) {
                    world.kill(node);
                }
                for node in (0..nodes).filter(|node| restarts(*node)) {
                    world.start(node);
                }
                for node in (0..nodes).filter(|node| restarts(*node)) {
                    world.list_caches(node);
                }
                world.run(ms(*time));
            }
            for (first, second, third) in [(0, 1, 2), (1, 3, 0)] {
                let id = |name: &str| format!("{name}{first}");
                let begun = world.stream(first, &id("a"), None);
                world.run(ms(100));
                let taken = world.stream(second, &id("b"), Some(&id("a")));
                world.run(ms(100));
                let again = world.stream(third, &id("c"), Some(&id("a")));
                assert!(begun.is_some(), "{what}, {nodes} nodes, at {first}");
                assert_eq!(taken, begun, "{what}, {nodes} nodes, at {second}");
                assert_eq!(again, begun, "{what}, {nodes} nodes, at {third}");
            }
        }
    }
}

/// Publishes a service of many endpoints, of which `old` run the first version and come last.
fn large_service(world: &mut World, old: usize, new: usize) {
    let listed: Vec<(usize, &str)> = (0..new)
        .map(|at| (at % 3, "v2"))
        .chain((0..old).map(|at| (at % 3, "v1")))
        .collect();
    world.publish(endpoints(&listed));
    world.run(ms(500));
}

/// Begins streams, each with a part of its own, and returns the number and the version of each.
fn begin(world: &mut World, streams: usize) -> Vec<(usize, String)> {
    let mut begun = Vec::new();
    for at in 0..streams {
        let node = at % world.nodes.len();
        let version = world.stream_of(node, &format!("a{at}"), None, Some(100 + at as u64));
        begun.push((at, version.expect("begun")));
    }
    begun
}

/// Takes streams up at other nodes, and returns the version at which each goes on, if it does.
fn take_up(world: &mut World, streams: &[(usize, String)]) -> Vec<Option<String>> {
    let nodes = world.nodes.len();
    let mut versions = Vec::new();
    for (at, _) in streams {
        let (id, began) = (format!("b{at}"), format!("a{at}"));
        let own = Some(100 + *at as u64);
        versions.push(world.stream_of((at * 5 + 3) % nodes, &id, Some(&began), own));
    }
    versions
}

/// Guards against streams that go on at another version, where a node cannot list all endpoints.
#[test]
fn stream_of_a_version_that_left_a_large_service_is_refused() {
    for nodes in [3, 7, 60] {
        let mut world = World::new(nodes, 3, 2);
        world.callers.0.clear();
        large_service(&mut world, 3, 24);
        let mut streams = begin(&mut world, 200);
        streams.retain(|(_, version)| version == "v1");
        assert!(streams.len() > 5, "{} streams", streams.len());
        large_service(&mut world, 0, 24);
        world.restart_all();
        world.run(ms(600));
        let went_on = take_up(&mut world, &streams);
        assert!(
            went_on.iter().all(Option::is_none),
            "{nodes} nodes, {went_on:?}"
        );
    }
}

/// Guards against refusals of streams whose endpoint is still there, but listed by other nodes only.
#[test]
fn streams_of_a_large_service_go_on_after_a_restart() {
    for (nodes, old, new) in [(3, 9, 9), (7, 20, 20), (60, 30, 50), (120, 100, 156)] {
        let mut world = World::new(nodes, 3, 3);
        world.callers.0.clear();
        large_service(&mut world, old, new);
        let streams = begin(&mut world, 60);
        world.restart_all();
        world.run(ms(2_000));
        let went_on = take_up(&mut world, &streams);
        let mut going = 0;
        for ((at, version), went_on) in streams.iter().zip(&went_on) {
            let is_wrong = went_on.as_ref().is_some_and(|other| other != version);
            assert!(!is_wrong, "{nodes} nodes, a{at} went on at {went_on:?}");
            going += usize::from(went_on.is_some());
        }
        assert!(going >= 54, "{nodes} nodes, {going} of 60 go on");
    }
}

/// Guards against a version that is told by chance, where two nodes have listed one of two each.
#[test]
fn session_at_both_versions_of_a_large_service_is_refused() {
    let mut world = World::new(7, 3, 4);
    world.callers.0.clear();
    large_service(&mut world, 20, 20);
    let both: Vec<_> = world.endpoints.iter().map(|one| one.info.clone()).collect();
    let moved = serve_at_both_versions(&mut world, &both);
    world.restart_all();
    world.run(ms(2_000));
    for session in moved {
        for node in 0..7 {
            let (id, began) = (format!("b{session}-{node}"), format!("a{session}"));
            let went_on = world.stream_of(node, &id, Some(&began), Some(session));
            assert_eq!(went_on, None, "{id}");
        }
    }
}

/// Guards against a node that trusts the one version it sees, since those who knew better have ended.
#[test]
fn versions_that_a_peer_knew_outlive_it() {
    let mut world = World::new(3, 3, 5);
    world.callers.0.clear();
    large_service(&mut world, 1, 2);
    let streams = begin(&mut world, 40);
    let old = streams
        .iter()
        .filter(|(_, version)| version == "v1")
        .count();
    assert!(old > 0);
    large_service(&mut world, 0, 2);
    world.kill(0);
    world.start(0);
    world.run(ms(1_000));
    for node in [1, 2] {
        world.kill(node);
        world.start(node);
    }
    world.run(ms(6_000));
    for (at, version) in streams {
        let went_on = world.stream(at % 3, &format!("c{at}"), Some(&format!("a{at}")));
        assert!(went_on.is_none_or(|other| other == version), "a{at}");
    }
}
