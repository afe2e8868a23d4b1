//! A request that must not run twice runs at most once, over all nodes.

use std::time::Duration;

use peridotdeck_core::{
    Verdict,
    claim::{RETENTION, choose_witnesses},
    request::Cause,
};
use peridotdeck_wire::Member;

use crate::simulation::{Ending, Simulation, reorder_call};

/// Names of three data centres, each with its number of VMs.
const THREE_DATA_CENTRES: [(&str, usize); 3] = [("a", 2), ("b", 2), ("c", 2)];

fn refusal(sim: &Simulation, request: u64) -> (Verdict, Cause) {
    match &sim.endings[&request] {
        Ending::Refused(refusal) => (refusal.verdict, refusal.cause),
        other => panic!("expected a refusal, not {other:?}"),
    }
}

#[test]
fn runs_once() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 1);
    let request = sim.send(0, reorder_call(7)).unwrap();
    sim.advance_ms(1_000);
    assert_eq!(sim.endings[&request], Ending::Finished);
}

#[test]
fn replays_answer() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 2);
    sim.send(0, reorder_call(7)).unwrap();
    sim.advance_ms(1_000);
    let again = sim.send(4, reorder_call(7)).unwrap();
    sim.advance_ms(1_000);
    assert_eq!(sim.endings[&again], Ending::Replayed);
}

#[test]
fn concurrent_copies() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 3);
    let first = sim.send(0, reorder_call(7)).unwrap();
    let second = sim.send(5, reorder_call(7)).unwrap();
    sim.advance_ms(6_000);
    let ends = [&sim.endings[&first], &sim.endings[&second]];
    assert!(
        ends.contains(&&Ending::Finished) && ends.contains(&&Ending::Replayed),
        "{ends:?}"
    );
}

#[test]
fn key_reused_with_other_body() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 4);
    sim.send(0, reorder_call(7)).unwrap();
    sim.advance_ms(1_000);
    let mut call = reorder_call(7);
    call.claim.as_mut().unwrap().digest = 8;
    let again = sim.send(1, call).unwrap();
    sim.advance_ms(1_000);
    assert_eq!(refusal(&sim, again), (Verdict::NotRun, Cause::KeyReused));
}

/// A node dies while its attempt runs, so no node knows whether the request ran.
#[test]
fn node_dies_during_run() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 5);
    sim.send(0, reorder_call(7)).unwrap();
    sim.advance_ms(60);
    assert_eq!(sim.runs_by_key.len(), 1, "the request has been sent");
    sim.kill_node(0);
    let again = sim.send(3, reorder_call(7)).unwrap();
    sim.advance_ms(8_000);
    assert_eq!(
        refusal(&sim, again),
        (Verdict::MayHaveRun, Cause::MayHaveRun)
    );
}

/// A node pauses 2 ms after it received the request, and wakes 30 s later; meanwhile another node
/// received the same key.
#[test]
fn node_wakes_late() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 6);
    sim.network.max_delay_ms = 40;
    sim.send(0, reorder_call(7)).unwrap();
    sim.advance_ms(2);
    sim.pause_node(0, Duration::from_secs(30));
    let again = sim.send(3, reorder_call(7)).unwrap();
    sim.advance_ms(45_000);
    assert!(sim.endings.contains_key(&again));
    assert!(sim.runs_by_key.values().all(|&runs| runs <= 1));
}

#[test]
fn partitioned_data_centre() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 7);
    sim.partitioned = vec!["b".to_owned()];
    sim.advance_ms(7_000);
    let request = sim.send(0, reorder_call(9)).unwrap();
    let in_partition = sim.send(2, reorder_call(10)).unwrap();
    sim.advance_ms(8_000);
    assert_eq!(
        sim.endings[&request],
        Ending::Finished,
        "two of three witnesses are enough"
    );
    assert_eq!(
        refusal(&sim, in_partition),
        (Verdict::NotRun, Cause::NoWitness)
    );
}

/// All nodes restart one after the other, each with empty memory.
#[test]
fn rolling_restart() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 8);
    sim.send(0, reorder_call(7)).unwrap();
    sim.advance_ms(1_000);
    for vm in 0..6 {
        sim.kill_node(vm);
        sim.start_node(vm);
        sim.advance_ms(4_000);
    }
    let again = sim.send(1, reorder_call(7)).unwrap();
    sim.advance_ms(6_000);
    assert_eq!(
        sim.endings[&again],
        Ending::Replayed,
        "restarted witnesses fetched the claims from the others"
    );
}

#[test]
fn witness_unready_in_partition() {
    let mut sim = Simulation::settled(&THREE_DATA_CENTRES, 9);
    // The partition cuts off both other data centres, so a restarted witness cannot fetch their
    // claims.
    sim.partitioned = vec!["a".to_owned()];
    sim.kill_node(0);
    sim.start_node(0);
    sim.advance_ms(5_000);
    assert!(!sim.node(0).witness().is_ready());
}

#[test]
fn forgets_after_retention() {
    let mut sim = Simulation::settled(&[("a", 1)], 10);
    sim.send(0, reorder_call(7)).unwrap();
    sim.advance_ms(1_000);
    assert_eq!(sim.node(0).witness().len(), 1);
    sim.advance_ms(RETENTION.as_millis() as u64 + 1_000);
    assert_eq!(sim.node(0).witness().len(), 0);
}

#[test]
fn spread_witnesses() {
    let member = |node: u32, data_centre: &str| Member {
        node,
        place: data_centre.to_owned(),
        peers: String::new(),
        callers: String::new(),
        leaving: false,
    };
    let members: Vec<Member> = (0..30)
        .map(|node| member(node, ["a", "b", "c", "d"][node as usize % 4]))
        .collect();
    for key in 0..100 {
        let chosen = choose_witnesses(&format!("{key:032x}"), &members);
        let mut data_centres: Vec<&str> = chosen
            .iter()
            .map(|&node| members[node as usize].place.as_str())
            .collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        assert_eq!(
            data_centres.len(),
            3,
            "the witnesses of key {key} are in three data centres"
        );
    }
}
