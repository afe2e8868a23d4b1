//! Interactive work displaces bulk, and never the other way round.

use crate::simulation::{Ending, SLOTS, World, call};

#[test]
fn bulk_gives_way() {
    let mut world = World::warmed(&[("a", 1)], 1);
    world.service_time = std::time::Duration::from_secs(60);
    for serial in 0..20 {
        world.send(0, call("draft", "matrah", serial));
    }
    world.run(100);
    let full = 2 * SLOTS as usize;
    assert_eq!(world.running("draft"), full, "bulk may use idle slots");
    for serial in 0..4 {
        world.send(0, call("counter", "barka", 100 + serial));
    }
    world.run(100);
    assert_eq!(world.running("counter"), 4);
    assert_eq!(world.running("draft"), full - 4);
}

#[test]
fn share_is_kept() {
    let mut world = World::warmed(&[("a", 1)], 2);
    world.service_time = std::time::Duration::from_secs(60);
    for serial in 0..20 {
        world.send(0, call("draft", "matrah", serial));
    }
    world.run(100);
    for serial in 0..20 {
        world.send(0, call("counter", "barka", 100 + serial));
    }
    world.run(100);
    assert_eq!(world.running("draft"), 1, "10 % of 8 slots, at least one");
}

#[test]
fn interactive_stays() {
    let mut world = World::warmed(&[("a", 1)], 3);
    world.service_time = std::time::Duration::from_secs(5);
    let requests: Vec<u64> = (0..8)
        .filter_map(|serial| world.send(0, call("counter", "barka", serial)))
        .collect();
    world.run(100);
    for serial in 0..50 {
        world.send(0, call("draft", "matrah", 100 + serial));
    }
    world.run(6_000);
    assert!(
        requests
            .iter()
            .all(|request| world.endings[request] == Ending::Finished)
    );
}

#[test]
fn late_work_refused() {
    let mut world = World::warmed(&[("a", 1)], 4);
    world.service_time = std::time::Duration::from_secs(20);
    let requests: Vec<u64> = (0..30)
        .filter_map(|serial| world.send(0, call("counter", "barka", serial)))
        .collect();
    world.run(1_000);
    let refused = requests.iter().filter(|request| {
        matches!(world.endings.get(request), Some(Ending::Refused(refusal))
            if refusal.verdict == peridotdeck_core::Verdict::NotRun && refusal.retry_after.is_some())
    });
    assert_eq!(
        refused.count(),
        22,
        "8 run; the rest is told early when to come back"
    );
}

#[test]
fn displaced_may_have_run() {
    let mut world = World::warmed(&[("a", 1)], 5);
    world.service_time = std::time::Duration::from_secs(60);
    let drafts: Vec<u64> = (0..8)
        .filter_map(|serial| world.send(0, call("draft", "matrah", serial)))
        .collect();
    world.run(100);
    for serial in 0..7 {
        world.send(0, call("counter", "barka", 100 + serial));
    }
    world.run(100);
    // Operators take the only place out, so what waits is refused in the end.
    world.config.places[0].out = true;
    world.publish();
    world.run(70_000);
    let told: Vec<_> = drafts
        .iter()
        .filter_map(|draft| world.endings.get(draft))
        .collect();
    assert!(
        told.iter()
            .all(|ending| !matches!(ending, Ending::Refused(refusal)
            if refusal.verdict == peridotdeck_core::Verdict::NotRun)),
        "a displaced draft ran in part: {told:?}"
    );
}
