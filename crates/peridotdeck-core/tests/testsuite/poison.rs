//! A request that crashes endpoints stops before the third.

use peridotdeck_core::{
    Verdict,
    quarantine::{CRASH_LIMIT, List},
    request::Cause,
};

use crate::simulation::{Ending, World, call};

#[test]
fn two_strikes() {
    let mut list = List::default();
    let now = std::time::Duration::ZERO;
    assert!(list.record_crash(7, 1, now));
    assert!(
        !list.record_crash(7, 1, now),
        "the same endpoint counts once"
    );
    assert!(!list.is_quarantined(7));
    assert!(list.record_crash(7, 2, now));
    assert!(list.is_quarantined(7));
    assert_eq!(list.crashes(7), CRASH_LIMIT);
}

#[test]
fn innocent_cleared() {
    let mut list = List::default();
    list.record_crash(7, 1, std::time::Duration::ZERO);
    list.clear(7);
    assert_eq!(list.crashes(7), 0);
}

#[test]
fn third_endpoint_spared() {
    let mut world = World::settled(&[("a", 2), ("b", 2), ("c", 2)], 1);
    let deadly = call("draft", "matrah", 666);
    let mut crashed = Vec::new();
    // The caller sends the request to every node, again and again; each endpoint that gets it dies.
    for round in 0..12 {
        world.send(round % 6, deadly.clone());
        for _ in 0..40 {
            world.run(25);
            let hit: Vec<u32> = (0..6)
                .flat_map(|seat| world.node(seat).request_table().flights())
                .filter_map(|flight| match &flight.stage {
                    peridotdeck_core::flight::Stage::Running(running) => Some(running.endpoint),
                    _ => None,
                })
                .collect();
            for endpoint in hit {
                crashed.push(endpoint);
                world.crash(endpoint);
            }
        }
    }
    crashed.sort_unstable();
    crashed.dedup();
    assert_eq!(crashed.len(), 2, "endpoints {crashed:?} died");
    let refused = world.endings.values().filter(
        |ending| matches!(ending, Ending::Refused(refusal) if refusal.cause == Cause::Quarantined),
    );
    assert_eq!(refused.count(), 12, "every copy is told why");
    let told: Vec<Verdict> = world
        .endings
        .values()
        .filter_map(|ending| match ending {
            Ending::Refused(refusal) => Some(refusal.verdict),
            _ => None,
        })
        .collect();
    assert_eq!(
        told.iter()
            .filter(|&&verdict| verdict == Verdict::MayHaveRun)
            .count(),
        1
    );
}
