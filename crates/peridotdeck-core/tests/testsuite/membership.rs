//! Nodes detect which peers are alive, do not mistake a network partition for a crash, and keep
//! serving during it.

use std::time::Duration;

use peridotdeck_core::{Event, id, membership::View, node::Filter};
use peridotdeck_policy::digest_name;
use peridotdeck_wire::{Body, Envelope, Fetch, Member};

use crate::simulation::{Ending, Simulation, call};

#[test]
fn all_live() {
    let sim = Simulation::warmed(&[("a", 3), ("b", 3)], 1);
    assert!((0..6).all(|vm| sim.node(vm).view().live_count() == 6));
}

#[test]
fn crash_noticed() {
    let mut sim = Simulation::warmed(&[("a", 20)], 2);
    sim.kill_node(7);
    sim.advance_ms(6_000);
    let unaware = (0..20).filter(|&vm| vm != 7 && sim.node(vm).view().live_nodes("a").contains(&8));
    assert_eq!(unaware.count(), 0);
}

#[test]
fn no_false_suspicion() {
    let mut sim = Simulation::warmed(&[("a", 60)], 3);
    for _ in 0..120 {
        sim.advance_ms(500);
        assert!((0..60).all(|vm| sim.node(vm).view().live_count() == 60));
    }
}

#[test]
fn partitioned_data_centre_serves() {
    let mut sim = Simulation::warmed(&[("a", 2), ("b", 2)], 4);
    sim.partitioned = vec!["b".to_owned()];
    sim.advance_ms(8_000);
    let inside = sim.send(2, call("counter", "matrah", 1)).unwrap();
    let outside = sim.send(0, call("counter", "matrah", 2)).unwrap();
    sim.advance_ms(1_000);
    assert_eq!(sim.endings[&inside], Ending::Finished);
    assert_eq!(sim.endings[&outside], Ending::Finished);
    sim.partitioned.clear();
    sim.advance_ms(8_000);
    assert!(
        (0..4).all(|vm| sim.node(vm).view().live_count() == 4),
        "the nodes see each other again after the partition"
    );
}

/// A node that pauses for 30 s has an outdated view until a peer answers it.
#[test]
fn pause_revalidates() {
    let mut sim = Simulation::warmed(&[("a", 3)], 5);
    sim.pause_node(1, Duration::from_secs(30));
    sim.advance_ms(30_000);
    let vm = 1;
    let request = sim.send(vm, call("counter", "matrah", 9)).unwrap();
    assert_eq!(
        sim.count_running("counter"),
        0,
        "the node dispatches nothing by its outdated view"
    );
    sim.advance_ms(2_000);
    assert_eq!(
        sim.endings[&request],
        Ending::Finished,
        "a peer's answer has confirmed the view"
    );
}

fn envelope(sender: id::Node, data_centre: &str, incarnation: u64, sequence: u64) -> Envelope {
    let body = Body::Fetch(Fetch {
        nonce: 1,
        revision: 0,
        roster: 0,
    });
    Envelope {
        sender,
        incarnation,
        place: digest_name(data_centre) as u32,
        sequence,
        body,
    }
}

#[test]
fn invalid_messages_dropped() {
    let mut view = View::new(1, "a".to_owned(), 1);
    let member = |node| Member {
        node,
        place: "a".to_owned(),
        peers: String::new(),
        callers: String::new(),
        leaving: false,
    };
    view.adopt_vm_list(1, vec![member(1), member(2)]);
    let mut filter = Filter::default();
    let mut accepted = |envelope: Envelope| filter.accept(&envelope, &view, 0).is_ok();
    assert!(accepted(envelope(2, "a", 5, 1)));
    assert!(!accepted(envelope(2, "a", 5, 1)), "replayed");
    assert!(
        !accepted(envelope(2, "a", 4, 9)),
        "from an earlier incarnation"
    );
    assert!(
        !accepted(envelope(2, "b", 5, 2)),
        "from another data centre"
    );
    assert!(
        !accepted(envelope(3, "a", 5, 1)),
        "from a node that is not in the VM list"
    );
    assert!(accepted(envelope(2, "a", 5, 3)));
    assert!(accepted(envelope(2, "a", 5, 2)), "late but new");
    let drops = filter.drops();
    assert_eq!(
        (drops.replayed, drops.stale, drops.foreign, drops.unknown),
        (1, 1, 1, 1)
    );
}

#[test]
fn data_centre_taken_out() {
    let mut sim = Simulation::warmed(&[("a", 2), ("b", 2)], 6);
    for place in sim
        .config
        .places
        .iter_mut()
        .filter(|place| place.name == "a")
    {
        place.out = true;
    }
    sim.publish();
    sim.advance_ms(3_000);
    let before: u32 = [1, 2]
        .iter()
        .filter_map(|id| sim.runs_by_endpoint.get(id))
        .sum();
    for serial in 0..20 {
        sim.send(serial as usize % 4, call("counter", "matrah", serial));
        sim.advance_ms(50);
    }
    sim.advance_ms(1_000);
    let after: u32 = [1, 2]
        .iter()
        .filter_map(|id| sim.runs_by_endpoint.get(id))
        .sum();
    assert_eq!(
        before, after,
        "no request reaches a data centre that is taken out"
    );
    assert_eq!(
        sim.count_finished(),
        20,
        "the other data centre serves its callers"
    );
    sim.handle_event(0, Event::Tick);
}
