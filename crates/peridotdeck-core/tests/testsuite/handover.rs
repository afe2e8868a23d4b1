//! Pools change owners, nodes leave, and slots are never counted twice or lost.

use peridotdeck_core::Event;

use crate::simulation::{Ending, Noise, World, call, reorder};

fn owner_seat(world: &World) -> usize {
    let owns = |seat: &usize| {
        world
            .node(*seat)
            .pools()
            .schedulers()
            .iter()
            .any(|pool| pool.pool().service == "wickmind")
    };
    (0..world.seats.len())
        .find(owns)
        .expect("one node owns the pool")
}

#[test]
fn one_owner() {
    let world = World::warmed(&[("a", 5)], 1);
    let owners = (0..5).filter(|&seat| {
        world
            .node(seat)
            .pools()
            .schedulers()
            .iter()
            .any(|pool| pool.pool().service == "wickmind")
    });
    assert_eq!(owners.count(), 1);
}

#[test]
fn owner_dies() {
    let mut world = World::warmed(&[("a", 4)], 2);
    let owner = owner_seat(&world);
    let entry = (owner + 1) % 4;
    for serial in 0..8 {
        world.send(entry, call("counter", "matrah", serial));
    }
    world.run(500);
    world.kill(owner);
    world.run(8_000);
    let request = world.send(entry, call("counter", "matrah", 50)).unwrap();
    world.run(1_000);
    assert_eq!(
        world.endings[&request],
        Ending::Finished,
        "another node has taken over"
    );
}

#[test]
fn node_leaves() {
    let mut world = World::warmed(&[("a", 3)], 3);
    let owner = owner_seat(&world);
    let running = world.send(owner, call("counter", "matrah", 1)).unwrap();
    world.run(50);
    world.give(owner, Event::Drain);
    let refused = world.send(owner, call("counter", "matrah", 2)).unwrap();
    assert!(matches!(world.endings[&refused], Ending::Refused(_)));
    world.run(1_000);
    assert_eq!(
        world.endings[&running],
        Ending::Finished,
        "a planned leave cuts nothing off"
    );
    assert!(world.node(owner).is_idle());
    let elsewhere = world
        .send((owner + 1) % 3, call("counter", "matrah", 3))
        .unwrap();
    world.run(4_000);
    assert_eq!(world.endings[&elsewhere], Ending::Finished);
}

#[test]
fn leave_keeps_claims() {
    let mut world = World::warmed(&[("a", 2), ("b", 2), ("c", 2)], 4);
    world.send(0, reorder(5)).unwrap();
    world.run(1_000);
    world.give(0, Event::Drain);
    world.run(500);
    world.kill(0);
    let again = world.send(1, reorder(5)).unwrap();
    world.run(3_000);
    assert_eq!(world.endings[&again], Ending::Replayed);
}

#[test]
fn lost_messages() {
    let mut world = World::warmed(&[("a", 3)], 5);
    world.noise = Noise {
        loss: 0.2,
        copies: 0.2,
        delay_ms: 30,
    };
    for serial in 0..60 {
        world.send(serial as usize % 3, call("counter", "matrah", serial));
        world.run(80);
    }
    world.noise = Noise::default();
    world.run(12_000);
    let slots: u32 = (0..3)
        .flat_map(|seat| world.node(seat).pools().schedulers())
        .flat_map(peridotdeck_core::pool::Scheduler::engines)
        .map(peridotdeck_core::engine::State::in_flight)
        .sum();
    assert_eq!(
        slots, 0,
        "no slot leaks when the message that returns it is lost"
    );
    assert_eq!(world.endings.len(), 60);
}
