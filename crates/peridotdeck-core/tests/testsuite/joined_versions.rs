//! Events of two software versions in one stream, while nodes do not know of each other's endpoints.
//!
//! In each case both are counted: streams that went on at another version, and those that went on.

use std::ops::Range;

use peridotdeck_core::dispatch::{attempt::Placement, registry::Endpoint};

use crate::{
    dispatch::{decoded_request, ms},
    software_versions::endpoints,
    world::World,
};

const OLD: [(usize, &str); 3] = [(0, "v1"), (1, "v1"), (2, "v1")];
const NEW: [(usize, &str); 3] = [(0, "v2"), (1, "v2"), (2, "v2")];

fn both_versions() -> Vec<Endpoint> {
    endpoints(&[OLD, NEW].concat())
}

/// Returns nodes before three endpoints of one version, which have run for a while.
fn world(nodes: usize, seed: u64) -> World {
    World::beside(nodes, endpoints(&OLD), seed, ms(3_000))
}

/// Begins streams at nodes in turn, and returns the id and the version of each.
fn begin(world: &mut World, nodes: &[usize]) -> Vec<(String, String)> {
    let now = world.now.as_millis();
    let mut begun = Vec::new();
    for at in 0..40 {
        let id = format!("a{now}-{at}");
        let version = world.stream(nodes[at % nodes.len()], &id, None);
        begun.extend(version.map(|version| (id, version)));
    }
    begun
}

/// Takes streams up at nodes in turn; returns how many went on at another version, and how many did.
fn take_up(
    world: &mut World,
    streams: &[(String, String)],
    nodes: &[usize],
    what: &str,
) -> (usize, usize) {
    let (mut mixed, mut going) = (0, 0);
    for (at, (id, version)) in streams.iter().enumerate() {
        let again = format!("{what}-{id}");
        let went_on = world.stream(nodes[at % nodes.len()], &again, Some(id));
        going += usize::from(went_on.is_some());
        mixed += usize::from(went_on.is_some_and(|other| other != *version));
    }
    (mixed, going)
}

fn of(nodes: usize, data_centre: usize) -> Vec<usize> {
    (data_centre..nodes).step_by(3).collect()
}

fn all_but(nodes: usize, without: Range<usize>) -> Vec<usize> {
    (0..nodes).filter(|node| !without.contains(node)).collect()
}

/// Guards against a stream of a version that is a moment old, at a node which has not heard of it.
#[test]
fn stream_of_a_version_in_its_first_second_keeps_it() {
    for nodes in [3, 7, 60, 300] {
        let mut world = world(nodes, 1);
        world.deaf = vec![0];
        world.publish(both_versions());
        let begun = begin(&mut world, &all_but(nodes, 0..1));
        world.run(ms(50));
        world.kill(1);
        let (mixed, going) = take_up(&mut world, &begun, &[0], "b");
        assert_eq!(mixed, 0, "{nodes} nodes, {going} of {} go on", begun.len());
        assert!(2 * going >= begun.len(), "{nodes} nodes, {going} go on");
    }
}

/// Guards against a version that only nodes know which others do not hear, or which end at once.
#[test]
fn stream_of_a_version_that_few_know_keeps_it() {
    for (nodes, cut_for, is_killed) in [(7, 200, false), (7, 700, false), (60, 900, false)]
        .into_iter()
        .chain([(7, 0, true), (60, 0, true)])
    {
        let mut world = world(nodes, 6);
        world.deaf = all_but(nodes, 1..2);
        world.groups[1] = 1;
        world.run(ms(cut_for));
        world.publish(both_versions());
        let begun = begin(&mut world, &[1]);
        if is_killed {
            world.kill(1);
        }
        let (mixed, _) = take_up(&mut world, &begun[..10], &[0, 2], "b");
        assert_eq!(mixed, 0, "{nodes} nodes, {cut_for} ms, {is_killed}");
    }
}

/// Guards against a data centre that is cut off with all its nodes and confirms its own list.
#[test]
fn stream_at_a_data_centre_that_is_cut_off_keeps_its_version() {
    for (nodes, after) in [(6, 300), (60, 300), (60, 1_200), (300, 1_200), (300, 4_000)] {
        let mut world = world(nodes, 2);
        let cut = of(nodes, 0);
        for node in &cut {
            world.groups[*node] = 1;
        }
        world.deaf.clone_from(&cut);
        world.publish(both_versions());
        world.run(ms(after));
        let others: Vec<usize> = (0..nodes).filter(|node| node % 3 != 0).collect();
        let begun = begin(&mut world, &others);
        let (mixed, _) = take_up(&mut world, &begun, &cut, "b");
        assert_eq!(mixed, 0, "{nodes} nodes, {after} ms");
        let (mixed, going) = take_up(&mut world, &begun, &others, "c");
        assert_eq!(mixed, 0, "{nodes} nodes, {after} ms");
        assert!(2 * going >= begun.len(), "{nodes} nodes, {going} go on");
    }
}

/// Guards against a majority that believes its list, while only a minority reaches the publisher.
#[test]
fn stream_at_a_majority_without_the_publisher_keeps_its_version() {
    for nodes in [3, 7, 60] {
        let mut world = world(nodes, 3);
        let most = nodes / 2 + 1;
        for node in 0..most {
            world.groups[node] = 1;
        }
        world.deaf = (0..most).collect();
        world.publish(both_versions());
        world.run(ms(2_000));
        let begun = begin(&mut world, &all_but(nodes, 0..most));
        let (mixed, _) = take_up(&mut world, &begun[..8], &[0, 1], "b");
        assert_eq!(mixed, 0, "{nodes} nodes, cut off");
        world.groups.fill(0);
        world.deaf.clear();
        world.run(ms(8_000));
        let (mixed, going) = take_up(&mut world, &begun, &[0, 1], "c");
        assert_eq!(mixed, 0, "{nodes} nodes, joined again");
        assert!(2 * going >= begun.len(), "{nodes} nodes, {going} go on");
    }
}

/// Guards against a node that hears its peers, but is not heard, or the other way round.
#[test]
fn stream_at_a_node_behind_a_one_way_cut_keeps_its_version() {
    for (nodes, is_heard) in [(3, true), (7, true), (7, false), (60, true), (60, false)] {
        let mut world = world(nodes, 4);
        let pair = |node| if is_heard { (node, 0) } else { (0, node) };
        world.lost = (1..nodes).map(pair).collect();
        world.deaf = vec![0];
        world.publish(both_versions());
        for after in [100, 900, 3_000] {
            world.run(ms(after));
            let begun = begin(&mut world, &all_but(nodes, 0..1));
            world.run(ms(50));
            let what = format!("{nodes} nodes, heard={is_heard}, {after} ms");
            let (mixed, _) = take_up(&mut world, &begun, &[0], &what);
            assert_eq!(mixed, 0, "{what}");
        }
    }
}

/// Guards against the loss of streams with one version only, where their nodes or data centres end.
#[test]
fn streams_of_an_only_version_go_on_without_their_nodes() {
    for (nodes, is_late) in [(6, false), (7, true), (60, false), (300, false)] {
        let mut world = world(nodes, 5);
        world.run(ms(31_000));
        world.deaf = (0..nodes).collect();
        world.late = ms(if is_late { 400 } else { 0 });
        let begun = begin(&mut world, &[0, 3]);
        world.run(ms(1_000));
        for node in of(nodes, 0) {
            world.kill(node);
        }
        world.late = ms(0);
        let (_, going) = take_up(&mut world, &begun, &[1, 2], "b");
        assert!(going >= 36, "{nodes} nodes, data centre: {going} of 40");
        for node in of(nodes, 0) {
            world.start(node);
        }
        world.run(ms(2_000));
        let begun = begin(&mut world, &[1, 5]);
        world.run(ms(50));
        world.kill(1);
        world.kill(5);
        let (_, going) = take_up(&mut world, &begun, &[0, 2, 4], "c");
        assert!(going >= 30, "{nodes} nodes, two killed: {going} of 40");
    }
}

/// Guards against events that are passed on after more was learnt than when their endpoint was chosen.
#[test]
fn events_of_another_version_are_not_joined() {
    for began in ["", "a"] {
        let mut world = world(3, 7);
        if !began.is_empty() {
            world.stream(1, began, None).expect("begun");
        }
        world.run(ms(100));
        let mut request = decoded_request("urgent");
        request.resumes = Some(began.to_owned());
        let now = world.now;
        let node = world.nodes[0].as_mut().expect("running");
        let mut flight = node.admit(request, 1, now).expect("admitted");
        // An unnamed stream waits for a read of the publisher.
        node.place(&mut flight, now);
        world.run(ms(100));
        let node = world.nodes[0].as_mut().expect("running");
        let Placement::Send(assignment) = node.place(&mut flight, world.now) else {
            panic!("not placed");
        };
        assert!(node.may_join(&assignment.attempt, &flight, world.now));
        world.publish(both_versions());
        let node = world.nodes[0].as_ref().expect("running");
        let may_join = node.may_join(&assignment.attempt, &flight, world.now);
        assert_eq!(may_join, !began.is_empty(), "began={began}");
        flight.software = Some(0);
        assert!(!node.may_join(&assignment.attempt, &flight, world.now));
    }
}

/// Guards against more bytes for streams than nodes may spend, with one version and with two.
#[test]
fn telling_of_streams_keeps_to_the_budget() {
    /// Most bytes a second of a node, for all control.
    const BUDGET: usize = 15_000;
    for (nodes, rounds, is_mixed) in [(7, 54, false), (7, 54, true), (300, 28, false)] {
        let mut world = world(nodes, 8);
        if is_mixed {
            world.publish(both_versions());
            world.run(ms(1_000));
        }
        world.told_bytes = [0; 2];
        let begun = world.now;
        // Each node begins 27 streams a second.
        for round in 0..rounds {
            for node in 0..nodes {
                world.stream(node, &format!("a{node}-{round}"), None);
            }
            if round % 2 == 0 {
                world.run(ms(75));
            }
        }
        let time = world.now.saturating_sub(begun).as_millis() as usize;
        let [near, far] = world.told_bytes.map(|bytes| bytes * 1_000 / nodes / time);
        println!("{nodes} nodes, mixed={is_mixed}: {near} B/s here, {far} B/s to others");
        assert!(near + far <= BUDGET, "{nodes} nodes: {near} and {far} B/s");
    }
}
