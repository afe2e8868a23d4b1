//! Endpoints whose lists of cached parts are shared out, since there are more than one node lists.
//!
//! A stream that only caches know goes on once every endpoint of another version is known to be listed by
//! somebody. One that is forgotten holds up all of them.

use crate::{
    dispatch::ms,
    software_versions::endpoints,
    taken_streams::{Counts, begin, take_up},
    world::World,
};

/// Endpoints of the old version, more than one node lists.
const OLD: [(usize, &str); 36] = in_turn("v1");

/// Returns entries of a version in each data centre by turns.
const fn in_turn<const COUNT: usize>(version: &str) -> [(usize, &str); COUNT] {
    let mut entries = [(0, version); COUNT];
    let mut index = 0;
    while index < COUNT {
        entries[index].0 = index % 3;
        index += 1;
    }
    entries
}

/// Returns nodes beside such endpoints, which have known their versions for long.
fn world(nodes: usize, listed: &[(usize, &str)], seed: u64) -> World {
    World::beside(nodes, endpoints(listed), seed, ms(32_000))
}

/// Checks that nearly all streams go on, each at its version.
fn check(nodes: usize, counts: Counts) {
    assert!(
        counts.begun > 5 && 10 * counts.going >= 9 * counts.begun && counts.mixed == 0,
        "{nodes} nodes, {counts:?}"
    );
}

/// Guards against refusals of all streams, because nobody lists an endpoint that joins after the start.
#[test]
fn streams_go_on_beside_an_endpoint_that_joins_after_the_start() {
    for nodes in [7, 60] {
        let mut world = world(nodes, &OLD, 1);
        let versions = begin(&mut world, "begun");
        world.restart_all();
        world.run(ms(700));
        world.publish(endpoints(&[&OLD[..], &[(0, "v2")]].concat()));
        world.run(ms(2_500));
        check(nodes, take_up(&mut world, &versions, "v1"));
    }
}

/// Guards against refusals of all streams, because nobody calls an endpoint again that did not answer at the start.
#[test]
fn streams_go_on_beside_an_endpoint_that_answers_later() {
    for nodes in [7, 60] {
        let mut world = world(nodes, &[&OLD[..], &in_turn::<3>("v2")].concat(), 2);
        let versions = begin(&mut world, "begun");
        world.unlisted = vec!["v2"];
        world.restart_all();
        world.run(ms(1_000));
        world.unlisted.clear();
        world.run(ms(3_000));
        check(nodes, take_up(&mut world, &versions, "v1"));
    }
}

/// Guards against refusals of what comes right after the start, because nodes tell late of what they have listed.
#[test]
fn streams_go_on_right_after_the_start() {
    for nodes in [7, 60] {
        let mut world = world(nodes, &[&OLD[..], &in_turn::<3>("v2")].concat(), 3);
        world.listing_time = ms(50);
        let versions = begin(&mut world, "begun");
        let mut counts = Counts::default();
        for (session, version) in versions.iter().enumerate().take(20) {
            world.restart_all();
            counts.take_up(&mut world, session, version);
        }
        println!("{nodes} nodes: {counts:?}");
        check(nodes, counts);
    }
}

/// Guards against streams of a version that was taken back which go on at the one that had read their sessions.
#[test]
fn session_of_a_version_taken_back_is_refused_beside_many_endpoints() {
    for nodes in [7, 60] {
        let mut world = world(nodes, &OLD, 4);
        begin(&mut world, "read");
        world.publish(endpoints(&[OLD, in_turn("v2")].concat()));
        world.run(ms(1_500));
        let versions = begin(&mut world, "begun");
        world.publish(endpoints(&OLD));
        world.run(ms(500));
        world.restart_all();
        let new = take_up(&mut world, &versions, "v2");
        assert!(new.begun > 5 && new.mixed == 0, "{nodes} nodes, {new:?}");
        check(nodes, take_up(&mut world, &versions, "v1"));
    }
}

/// Guards against streams that go on at the wrong version, because a node is told that an endpoint is listed before it is told of the parts.
#[test]
fn session_at_both_versions_is_refused_while_large_lists_are_told() {
    for nodes in [7, 20] {
        let mut world = world(nodes, &OLD, 5);
        begin(&mut world, "read");
        world.publish(endpoints(&[OLD, in_turn("v2")].concat()));
        world.run(ms(1_500));
        let versions = begin(&mut world, "begun");
        world.fill_caches(500);
        let mut counts = Counts::default();
        for (session, version) in versions.iter().enumerate() {
            if version == "v2" {
                world.restart_all();
                counts.take_up(&mut world, session, version);
            }
        }
        println!("{nodes} nodes: {counts:?}");
        assert!(
            counts.begun > 5 && counts.mixed == 0,
            "{nodes} nodes, {counts:?}"
        );
    }
}
