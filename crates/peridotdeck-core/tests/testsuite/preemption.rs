//! Interactive requests preempt bulk requests, but never the other way round.

use crate::simulation::{Ending, SLOTS, Simulation, call};

#[test]
fn bulk_is_preempted() {
    let mut sim = Simulation::warmed(&[("a", 1)], 1);
    sim.service_time = std::time::Duration::from_secs(60);
    for serial in 0..20 {
        sim.send(0, call("draft", "matrah", serial));
    }
    sim.advance_ms(100);
    let full = 2 * SLOTS as usize;
    assert_eq!(sim.count_running("draft"), full, "bulk may use idle slots");
    for serial in 0..4 {
        sim.send(0, call("counter", "barka", 100 + serial));
    }
    sim.advance_ms(100);
    assert_eq!(sim.count_running("counter"), 4);
    assert_eq!(sim.count_running("draft"), full - 4);
}

#[test]
fn bulk_keeps_minimum_share() {
    let mut sim = Simulation::warmed(&[("a", 1)], 2);
    sim.service_time = std::time::Duration::from_secs(60);
    for serial in 0..20 {
        sim.send(0, call("draft", "matrah", serial));
    }
    sim.advance_ms(100);
    for serial in 0..20 {
        sim.send(0, call("counter", "barka", 100 + serial));
    }
    sim.advance_ms(100);
    assert_eq!(
        sim.count_running("draft"),
        1,
        "10 % of 8 slots, at least one"
    );
}

#[test]
fn interactive_is_not_preempted() {
    let mut sim = Simulation::warmed(&[("a", 1)], 3);
    sim.service_time = std::time::Duration::from_secs(5);
    let requests: Vec<u64> = (0..8)
        .filter_map(|serial| sim.send(0, call("counter", "barka", serial)))
        .collect();
    sim.advance_ms(100);
    for serial in 0..50 {
        sim.send(0, call("draft", "matrah", 100 + serial));
    }
    sim.advance_ms(6_000);
    assert!(
        requests
            .iter()
            .all(|request| sim.endings[request] == Ending::Finished)
    );
}

#[test]
fn overload_refused_early() {
    let mut sim = Simulation::warmed(&[("a", 1)], 4);
    sim.service_time = std::time::Duration::from_secs(20);
    let requests: Vec<u64> = (0..30)
        .filter_map(|serial| sim.send(0, call("counter", "barka", serial)))
        .collect();
    sim.advance_ms(1_000);
    let refused = requests.iter().filter(|request| {
        matches!(sim.endings.get(request), Some(Ending::Refused(refusal))
            if refusal.verdict == peridotdeck_core::Verdict::NotRun && refusal.retry_after.is_some())
    });
    assert_eq!(
        refused.count(),
        22,
        "8 run; the others are refused early with a retry time"
    );
}

/// A preempted bulk request has run in part, so its refusal must not say that it did not run.
#[test]
fn preempted_may_have_run() {
    let mut sim = Simulation::warmed(&[("a", 1)], 5);
    sim.service_time = std::time::Duration::from_secs(60);
    let drafts: Vec<u64> = (0..8)
        .filter_map(|serial| sim.send(0, call("draft", "matrah", serial)))
        .collect();
    sim.advance_ms(100);
    for serial in 0..7 {
        sim.send(0, call("counter", "barka", 100 + serial));
    }
    sim.advance_ms(100);
    // Operators take the only data centre out, so the requests that wait are refused in the end.
    sim.config.places[0].out = true;
    sim.publish();
    sim.advance_ms(70_000);
    let endings: Vec<_> = drafts
        .iter()
        .filter_map(|draft| sim.endings.get(draft))
        .collect();
    assert!(
        endings
            .iter()
            .all(|ending| !matches!(ending, Ending::Refused(refusal)
            if refusal.verdict == peridotdeck_core::Verdict::NotRun)),
        "a preempted draft ran in part: {endings:?}"
    );
}
