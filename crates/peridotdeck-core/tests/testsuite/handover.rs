//! Pools change owners and nodes leave; no slot is counted twice or lost.

use peridotdeck_core::Event;

use crate::simulation::{Ending, Network, Simulation, call, reorder_call};

/// Returns the index of the VM whose node owns the pool.
fn owner_vm(sim: &Simulation) -> usize {
    let owns = |vm: &usize| {
        sim.node(*vm)
            .pools()
            .schedulers()
            .iter()
            .any(|pool| pool.pool().service == "wickmind")
    };
    (0..sim.vms.len())
        .find(owns)
        .expect("one node owns the pool")
}

#[test]
fn one_owner() {
    let sim = Simulation::warmed(&[("a", 5)], 1);
    let owners = (0..5).filter(|&vm| {
        sim.node(vm)
            .pools()
            .schedulers()
            .iter()
            .any(|pool| pool.pool().service == "wickmind")
    });
    assert_eq!(owners.count(), 1);
}

#[test]
fn owner_dies() {
    let mut sim = Simulation::warmed(&[("a", 4)], 2);
    let owner = owner_vm(&sim);
    let entry = (owner + 1) % 4;
    for serial in 0..8 {
        sim.send(entry, call("counter", "matrah", serial));
    }
    sim.advance_ms(500);
    sim.kill_node(owner);
    sim.advance_ms(8_000);
    let request = sim.send(entry, call("counter", "matrah", 50)).unwrap();
    sim.advance_ms(1_000);
    assert_eq!(
        sim.endings[&request],
        Ending::Finished,
        "another node has taken over"
    );
}

#[test]
fn node_leaves() {
    let mut sim = Simulation::warmed(&[("a", 3)], 3);
    let owner = owner_vm(&sim);
    let running = sim.send(owner, call("counter", "matrah", 1)).unwrap();
    sim.advance_ms(50);
    sim.handle_event(owner, Event::Drain);
    let refused = sim.send(owner, call("counter", "matrah", 2)).unwrap();
    assert!(matches!(sim.endings[&refused], Ending::Refused(_)));
    sim.advance_ms(1_000);
    assert_eq!(
        sim.endings[&running],
        Ending::Finished,
        "a drain interrupts no running request"
    );
    assert!(sim.node(owner).is_idle());
    let elsewhere = sim
        .send((owner + 1) % 3, call("counter", "matrah", 3))
        .unwrap();
    sim.advance_ms(4_000);
    assert_eq!(sim.endings[&elsewhere], Ending::Finished);
}

#[test]
fn leave_keeps_claims() {
    let mut sim = Simulation::warmed(&[("a", 2), ("b", 2), ("c", 2)], 4);
    sim.send(0, reorder_call(5)).unwrap();
    sim.advance_ms(1_000);
    sim.handle_event(0, Event::Drain);
    sim.advance_ms(500);
    sim.kill_node(0);
    let again = sim.send(1, reorder_call(5)).unwrap();
    sim.advance_ms(3_000);
    assert_eq!(sim.endings[&again], Ending::Replayed);
}

#[test]
fn lost_messages() {
    let mut sim = Simulation::warmed(&[("a", 3)], 5);
    sim.network = Network {
        loss: 0.2,
        duplication: 0.2,
        max_delay_ms: 30,
    };
    for serial in 0..60 {
        sim.send(serial as usize % 3, call("counter", "matrah", serial));
        sim.advance_ms(80);
    }
    sim.network = Network::default();
    sim.advance_ms(12_000);
    let slots: u32 = (0..3)
        .flat_map(|vm| sim.node(vm).pools().schedulers())
        .flat_map(peridotdeck_core::pool::Scheduler::engines)
        .map(peridotdeck_core::engine::State::in_flight)
        .sum();
    assert_eq!(
        slots, 0,
        "a slot is freed even if the message that returns it is lost"
    );
    assert_eq!(sim.endings.len(), 60);
}
