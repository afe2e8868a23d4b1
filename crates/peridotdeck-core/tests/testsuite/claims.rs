//! A call that may not be repeated runs at most once, over all nodes.

use std::time::Duration;

use peridotdeck_core::{
    Verdict,
    claim::{RETENTION, choose_witnesses},
    request::Cause,
};
use peridotdeck_wire::Member;

use crate::simulation::{Ending, World, reorder};

const THREE: [(&str, usize); 3] = [("a", 2), ("b", 2), ("c", 2)];

fn refusal(world: &World, request: u64) -> (Verdict, Cause) {
    match &world.endings[&request] {
        Ending::Refused(refusal) => (refusal.verdict, refusal.cause),
        other => panic!("expected a refusal, not {other:?}"),
    }
}

#[test]
fn runs_once() {
    let mut world = World::settled(&THREE, 1);
    let request = world.send(0, reorder(7)).unwrap();
    world.run(1_000);
    assert_eq!(world.endings[&request], Ending::Finished);
}

#[test]
fn replays_answer() {
    let mut world = World::settled(&THREE, 2);
    world.send(0, reorder(7)).unwrap();
    world.run(1_000);
    let again = world.send(4, reorder(7)).unwrap();
    world.run(1_000);
    assert_eq!(world.endings[&again], Ending::Replayed);
}

#[test]
fn concurrent_copies() {
    let mut world = World::settled(&THREE, 3);
    let first = world.send(0, reorder(7)).unwrap();
    let second = world.send(5, reorder(7)).unwrap();
    world.run(6_000);
    let ends = [&world.endings[&first], &world.endings[&second]];
    assert!(
        ends.contains(&&Ending::Finished) && ends.contains(&&Ending::Replayed),
        "{ends:?}"
    );
}

#[test]
fn other_body() {
    let mut world = World::settled(&THREE, 4);
    world.send(0, reorder(7)).unwrap();
    world.run(1_000);
    let mut call = reorder(7);
    call.claim.as_mut().unwrap().digest = 8;
    let again = world.send(1, call).unwrap();
    world.run(1_000);
    assert_eq!(refusal(&world, again), (Verdict::NotRun, Cause::KeyReused));
}

#[test]
fn dead_sender() {
    let mut world = World::settled(&THREE, 5);
    world.send(0, reorder(7)).unwrap();
    world.run(60);
    assert_eq!(world.key_runs.len(), 1, "the call has been sent");
    world.kill(0);
    let again = world.send(3, reorder(7)).unwrap();
    world.run(8_000);
    assert_eq!(
        refusal(&world, again),
        (Verdict::MayHaveRun, Cause::MayHaveRun)
    );
}

#[test]
fn sender_wakes_late() {
    let mut world = World::settled(&THREE, 6);
    world.noise.delay_ms = 40;
    world.send(0, reorder(7)).unwrap();
    world.run(2);
    world.pause(0, Duration::from_secs(30));
    let again = world.send(3, reorder(7)).unwrap();
    world.run(45_000);
    assert!(world.endings.contains_key(&again));
    assert!(world.key_runs.values().all(|&runs| runs <= 1));
}

#[test]
fn lost_place() {
    let mut world = World::settled(&THREE, 7);
    world.cut = vec!["b".to_owned()];
    world.run(7_000);
    let request = world.send(0, reorder(9)).unwrap();
    let behind_cut = world.send(2, reorder(10)).unwrap();
    world.run(8_000);
    assert_eq!(
        world.endings[&request],
        Ending::Finished,
        "two of three witnesses are enough"
    );
    assert_eq!(
        refusal(&world, behind_cut),
        (Verdict::NotRun, Cause::NoWitness)
    );
}

#[test]
fn empty_restart() {
    let mut world = World::settled(&THREE, 8);
    world.send(0, reorder(7)).unwrap();
    world.run(1_000);
    for seat in 0..6 {
        world.kill(seat);
        world.start(seat);
        world.run(4_000);
    }
    let again = world.send(1, reorder(7)).unwrap();
    world.run(6_000);
    assert_eq!(
        world.endings[&again],
        Ending::Replayed,
        "restarted witnesses asked the others"
    );
}

#[test]
fn unready_refuses() {
    let mut world = World::settled(&THREE, 9);
    // Both other places are out of reach, so a restarted witness cannot learn what it must know.
    world.cut = vec!["a".to_owned()];
    world.kill(0);
    world.start(0);
    world.run(5_000);
    assert!(!world.node(0).witness().is_ready());
}

#[test]
fn forgets_late() {
    let mut world = World::settled(&[("a", 1)], 10);
    world.send(0, reorder(7)).unwrap();
    world.run(1_000);
    assert_eq!(world.node(0).witness().len(), 1);
    world.run(RETENTION.as_millis() as u64 + 1_000);
    assert_eq!(world.node(0).witness().len(), 0);
}

#[test]
fn spread_witnesses() {
    let member = |node: u32, place: &str| Member {
        node,
        place: place.to_owned(),
        peers: String::new(),
        callers: String::new(),
        leaving: false,
    };
    let members: Vec<Member> = (0..30)
        .map(|node| member(node, ["a", "b", "c", "d"][node as usize % 4]))
        .collect();
    for key in 0..100 {
        let chosen = choose_witnesses(&format!("{key:032x}"), &members);
        let mut places: Vec<&str> = chosen
            .iter()
            .map(|&node| members[node as usize].place.as_str())
            .collect();
        places.sort_unstable();
        places.dedup();
        assert_eq!(places.len(), 3, "three data centres hold key {key}");
    }
}
