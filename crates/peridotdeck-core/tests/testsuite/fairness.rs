//! Organisations share a class fairly, urgent classes come first, and every class is served.

use peridotdeck_core::queue::{Entry, Queue};

use crate::simulation::{Ending, Simulation, call};

fn entry(attempt: u64, tier: u8, organisation: &str) -> Entry {
    Entry {
        attempt,
        node: 1,
        class: format!("tier-{tier}"),
        tier,
        bulk: tier == 4,
        organisation: organisation.to_owned(),
        weight: 1,
        output_tokens: 100,
        prompt_tokens: 0,
        prefix: 0,
        fingerprint: attempt,
        crashes: 0,
        avoid: Vec::new(),
        arrived: std::time::Duration::from_millis(attempt),
    }
}

/// Empties the queue and returns the attempts in the order in which it served them.
fn drain_in_order(queue: &mut Queue) -> Vec<u64> {
    let mut served = Vec::new();
    while let Some(attempt) = queue.next(|_| false, |_| true) {
        let entry = queue.remove(attempt).unwrap();
        queue.charge(&entry);
        served.push(attempt);
    }
    served
}

#[test]
fn organisations_alternate() {
    let mut queue = Queue::default();
    for attempt in 1..=4 {
        queue.push(entry(attempt, 0, "matrah"));
    }
    queue.push(entry(5, 0, "barka"));
    queue.push(entry(6, 0, "barka"));
    assert_eq!(drain_in_order(&mut queue), [1, 5, 2, 6, 3, 4]);
}

#[test]
fn urgent_first() {
    let mut queue = Queue::default();
    queue.push(entry(1, 4, "matrah"));
    queue.push(entry(2, 1, "matrah"));
    queue.push(entry(3, 0, "matrah"));
    assert_eq!(drain_in_order(&mut queue), [3, 2, 1]);
}

#[test]
fn bulk_below_minimum_share_first() {
    let mut queue = Queue::default();
    queue.push(entry(1, 0, "matrah"));
    queue.push(entry(2, 4, "matrah"));
    assert_eq!(queue.next(|entry| entry.bulk, |_| true), Some(2));
}

#[test]
fn bulk_is_not_starved() {
    let mut sim = Simulation::settled(&[("a", 1)], 3);
    let draft = sim.send(0, call("draft", "barka", 1)).unwrap();
    // The interactive requests alone would fill every slot for the whole time.
    for serial in 0..400 {
        sim.send(0, call("counter", "matrah", 100 + serial));
        sim.advance_ms(10);
    }
    assert_eq!(sim.endings.get(&draft), Some(&Ending::Finished));
}
