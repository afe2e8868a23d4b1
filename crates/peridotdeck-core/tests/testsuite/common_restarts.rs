//! All nodes end at once and start again; streams from before and after that are taken up.
//!
//! Nobody is left who knows the software versions of before. A node that refuses what it does not know
//! loses streams, and one that guesses joins events of two versions.

use crate::{dispatch::ms, world::World};

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
