//! A request that crashed two endpoints is quarantined before it reaches a third.

use peridotdeck_core::{
    Verdict,
    flight::Stage,
    quarantine::{CRASH_LIMIT, List},
    request::{Call, Cause},
};

use crate::simulation::{Ending, Simulation, call};

/// Returns the endpoint of each request that is running, on all six nodes.
fn busy_endpoints(sim: &Simulation) -> Vec<u32> {
    let flights = (0..6).flat_map(|vm| sim.node(vm).request_table().flights());
    flights
        .filter_map(|flight| match &flight.stage {
            Stage::Running(running) => Some(running.endpoint),
            _ => None,
        })
        .collect()
}

#[test]
fn quarantined_after_two_crashes() {
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
fn cleared_forgets_crashes() {
    let mut list = List::default();
    list.record_crash(7, 1, std::time::Duration::ZERO);
    list.clear(7);
    assert_eq!(list.crashes(7), 0);
}

#[test]
fn never_reaches_third_endpoint() {
    let mut sim = Simulation::settled(&[("a", 2), ("b", 2), ("c", 2)], 1);
    let crashing = call("draft", "matrah", 666);
    let mut crashed = Vec::new();
    // The caller sends the request to every node twice; each endpoint that receives it crashes.
    for round in 0..12 {
        sim.send(round % 6, crashing.clone());
        for _ in 0..40 {
            sim.advance_ms(25);
            for endpoint in busy_endpoints(&sim) {
                crashed.push(endpoint);
                sim.crash_endpoint(endpoint);
            }
        }
    }
    crashed.sort_unstable();
    crashed.dedup();
    assert_eq!(crashed.len(), 2, "endpoints {crashed:?} crashed");
    let refused = sim.endings.values().filter(
        |ending| matches!(ending, Ending::Refused(refusal) if refusal.cause == Cause::Quarantined),
    );
    assert_eq!(refused.count(), 12, "every copy is refused with this cause");
    let verdicts: Vec<Verdict> = sim
        .endings
        .values()
        .filter_map(|ending| match ending {
            Ending::Refused(refusal) => Some(refusal.verdict),
            _ => None,
        })
        .collect();
    assert_eq!(
        verdicts
            .iter()
            .filter(|&&verdict| verdict == Verdict::MayHaveRun)
            .count(),
        1
    );
}

/// Guards against endpoints that crash one after the other under requests that share only the
/// beginning of their prompts.
#[test]
fn requests_with_a_deadly_prefix_are_stopped() {
    /// Endpoints that may crash before the prefix is stopped, and requests that may still follow.
    const MAX_CRASHES: usize = 5 + 3;
    let mut sim = Simulation::settled(&[("a", 2), ("b", 2), ("c", 2)], 1);
    let mut crashes = 0;
    for round in 0..24 {
        let deadly = Call {
            prefix: 666,
            ..call("draft", "matrah", 1_000 + round)
        };
        sim.send(round as usize % 6, deadly);
        for _ in 0..60 {
            sim.advance_ms(25);
            for endpoint in busy_endpoints(&sim) {
                crashes += 1;
                sim.crash_endpoint(endpoint);
            }
        }
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
}

/// A prefix that all requests share was blamed for crashes that had another cause, and all of them
/// were refused.
#[test]
fn prefix_that_endpoints_answer_on_stays_in_use() {
    let mut sim = Simulation::settled(&[("a", 2), ("b", 2), ("c", 2)], 2);
    for round in 0..24 {
        for vm in 0..6 {
            let sound = Call {
                prefix: 5,
                ..call("draft", "matrah", 2_000 + round * 6 + vm)
            };
            sim.send(vm as usize, sound);
        }
        sim.advance_ms(25);
        if round % 6 == 5
            && let Some(endpoint) = busy_endpoints(&sim).first()
        {
            sim.crash_endpoint(*endpoint);
        }
        for _ in 0..80 {
            sim.advance_ms(25);
        }
    }
    let quarantined = sim.endings.values().filter(
        |ending| matches!(ending, Ending::Refused(refusal) if refusal.cause == Cause::Quarantined),
    );
    assert_eq!(quarantined.count(), 0);
}
