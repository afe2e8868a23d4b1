//! What may name the software version of a stream that its caller takes up.

use crate::{dispatch::ms, software_versions::endpoints, world::World};

const OLD: [(usize, &str); 3] = [(0, "v1"), (1, "v1"), (2, "v1")];
const NEW: [(usize, &str); 3] = [(0, "v2"), (1, "v2"), (2, "v2")];

fn world(nodes: usize, seed: u64) -> World {
    World::beside(nodes, endpoints(&OLD), seed, ms(31_000))
}

/// Guards against a read of the publisher that is older than the stream, and than its version.
#[test]
fn unnamed_stream_of_a_version_that_joined_after_the_last_read_keeps_it() {
    for (nodes, after) in [(7, 0), (7, 200), (7, 800), (60, 0), (60, 200)] {
        let mut world = world(nodes, 1);
        assert!(
            world.stream(0, "before", Some("")).is_some(),
            "a read shows one version"
        );
        world.deaf = vec![0];
        world.groups[0] = 1;
        world.publish(endpoints(&[OLD, NEW].concat()));
        world.run(ms(after));
        let mut mixed = 0;
        let mut begun = 0;
        for at in 0..20 {
            let version = world.stream(1 + at % (nodes - 1), &format!("a{at}"), None);
            if version.as_deref() == Some("v2") {
                begun += 1;
                let went_on = world.stream(0, &format!("b{at}"), Some(""));
                mixed += usize::from(went_on.as_deref() == Some("v1"));
            }
        }
        assert_eq!(
            mixed, 0,
            "{nodes} nodes, {after} ms after: {mixed} of {begun}"
        );
    }
}

/// Guards against nodes that forget a stream which goes on beyond the deadline of its first request.
#[test]
fn stream_is_known_until_the_deadline_of_its_last_request() {
    for versions in [&OLD[..], &[OLD, NEW].concat()] {
        let mut world = world(7, 2);
        world.publish(endpoints(versions));
        world.run(ms(1_000));
        let version = world.stream(0, "a", None);
        assert!(version.is_some());
        for at in 1..4 {
            world.run(ms(9_500));
            let went_on = world.stream(at, &format!("b{at}"), Some("a"));
            assert_eq!(
                went_on,
                version,
                "{} endpoints, take-up {at}",
                versions.len()
            );
        }
    }
}

/// Begins a stream of each of 40 sessions, which the old version has read; returns those of the new one.
fn begin_moved(world: &mut World, old: &[(usize, &str)], both: &[(usize, &str)]) -> Vec<u64> {
    world.publish(endpoints(old));
    world.run(ms(500));
    let nodes = world.nodes.len();
    for session in 0..40 {
        world.stream_of(
            session as usize % nodes,
            &format!("r{session}"),
            None,
            Some(session),
        );
    }
    world.publish(endpoints(both));
    world.run(ms(1_500));
    let mut new = Vec::new();
    for session in 0..40 {
        let id = format!("a{session}");
        let version = world.stream_of(session as usize % nodes, &id, None, Some(session));
        new.extend((version.as_deref() == Some("v2")).then_some(session));
    }
    world.run(ms(500));
    new
}

/// Returns how many of the streams go on at the old version.
fn count_mixed(world: &mut World, streams: &[u64]) -> (usize, usize) {
    let (mut mixed, mut going) = (0, 0);
    for session in streams {
        let id = format!("a{session}");
        let went_on = world.stream_of(1, &format!("b{session}"), Some(&id), Some(*session));
        going += usize::from(went_on.is_some());
        mixed += usize::from(went_on.as_deref() == Some("v1"));
    }
    (mixed, going)
}

/// Guards against a version that has read a prompt, where the endpoint that ran the stream has gone, and
/// others of its version stay.
#[test]
fn session_keeps_its_version_without_the_endpoint_that_ran_it() {
    for nodes in [7, 60] {
        let both = [OLD, NEW].concat();
        let mut world = world(nodes, 3);
        let streams = begin_moved(&mut world, &OLD, &both);
        let mut left = endpoints(&both);
        left.remove(3);
        world.restart_all();
        world.publish(left);
        world.run(ms(1_000));
        let (mixed, going) = count_mixed(&mut world, &streams);
        assert_eq!(
            mixed,
            0,
            "{nodes} nodes: {going} of {} go on",
            streams.len()
        );
    }
}

/// Guards against a version that has read a prompt, where there are more endpoints than a node lists.
#[test]
fn session_keeps_its_version_beside_many_endpoints() {
    for nodes in [7, 60] {
        let old: Vec<_> = (0..12).map(|at| (at % 3, "v1")).collect();
        let new: Vec<_> = (0..12).map(|at| (at % 3, "v2")).collect();
        let both = [&old[..], &new].concat();
        let mut world = world(nodes, 4);
        let streams = begin_moved(&mut world, &old, &both);
        world.unlisted = vec!["v2"];
        world.restart_all();
        world.run(ms(6_000));
        let (mixed, going) = count_mixed(&mut world, &streams);
        assert_eq!(
            mixed,
            0,
            "{nodes} nodes: {going} of {} go on",
            streams.len()
        );
    }
}

/// Guards against a version that has read a prompt, where the endpoint that ran the stream lists its cache
/// and leaves; the other streams go on.
#[test]
fn session_keeps_its_version_after_the_endpoint_that_listed_it_has_left() {
    for nodes in [7, 60] {
        let both = [OLD, NEW].concat();
        let mut world = world(nodes, 5);
        let moved = begin_moved(&mut world, &OLD, &both);
        let mut untried = Vec::new();
        for session in 100..140 {
            let id = format!("a{session}");
            let version = world.stream_of(session as usize % nodes, &id, None, Some(session));
            untried.extend((version.as_deref() == Some("v2")).then_some(session));
        }
        world.restart_all();
        world.run(ms(500));
        let mut left = endpoints(&both);
        left.remove(3);
        world.publish(left);
        world.run(ms(500));
        let (mixed, _) = count_mixed(&mut world, &moved);
        assert_eq!(mixed, 0, "{nodes} nodes: of {}", moved.len());
        let (mixed, going) = count_mixed(&mut world, &untried);
        assert_eq!(mixed, 0, "{nodes} nodes: of {}", untried.len());
        assert_eq!(going, untried.len(), "{nodes} nodes");
    }
}
