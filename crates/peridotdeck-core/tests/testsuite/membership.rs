//! Nodes find out who is alive, and do not mistake a cut for a crash.

use std::time::Duration;

use peridotdeck_core::{Event, id, membership::View, node::Filter};
use peridotdeck_policy::digest_name;
use peridotdeck_wire::{Body, Envelope, Fetch, Member};

use crate::simulation::{Ending, World, call};

#[test]
fn all_live() {
    let world = World::warmed(&[("a", 3), ("b", 3)], 1);
    assert!((0..6).all(|seat| world.node(seat).view().live_count() == 6));
}

#[test]
fn crash_noticed() {
    let mut world = World::warmed(&[("a", 20)], 2);
    world.kill(7);
    world.run(6_000);
    let unaware =
        (0..20).filter(|&seat| seat != 7 && world.node(seat).view().live_nodes("a").contains(&8));
    assert_eq!(unaware.count(), 0);
}

#[test]
fn no_false_alarm() {
    let mut world = World::warmed(&[("a", 60)], 3);
    for _ in 0..120 {
        world.run(500);
        assert!((0..60).all(|seat| world.node(seat).view().live_count() == 60));
    }
}

#[test]
fn cut_place_serves() {
    let mut world = World::warmed(&[("a", 2), ("b", 2)], 4);
    world.cut = vec!["b".to_owned()];
    world.run(8_000);
    let inside = world.send(2, call("counter", "matrah", 1)).unwrap();
    let outside = world.send(0, call("counter", "matrah", 2)).unwrap();
    world.run(1_000);
    assert_eq!(world.endings[&inside], Ending::Finished);
    assert_eq!(world.endings[&outside], Ending::Finished);
    world.cut.clear();
    world.run(8_000);
    assert!(
        (0..4).all(|seat| world.node(seat).view().live_count() == 4),
        "the cut has healed"
    );
}

#[test]
fn pause_revalidates() {
    let mut world = World::warmed(&[("a", 3)], 5);
    world.pause(1, Duration::from_secs(30));
    world.run(30_000);
    let seat = 1;
    let request = world.send(seat, call("counter", "matrah", 9)).unwrap();
    assert_eq!(
        world.running("counter"),
        0,
        "nothing is dispatched on old knowledge"
    );
    world.run(2_000);
    assert_eq!(
        world.endings[&request],
        Ending::Finished,
        "a peer's answer proves the view"
    );
}

fn envelope(sender: id::Node, place: &str, incarnation: u64, sequence: u64) -> Envelope {
    let body = Body::Fetch(Fetch {
        nonce: 1,
        revision: 0,
        roster: 0,
    });
    Envelope {
        sender,
        incarnation,
        place: digest_name(place) as u32,
        sequence,
        body,
    }
}

#[test]
fn strange_messages() {
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
    assert!(!accepted(envelope(2, "a", 4, 9)), "of an earlier process");
    assert!(!accepted(envelope(2, "b", 5, 2)), "of another place");
    assert!(!accepted(envelope(3, "a", 5, 1)), "not in the VM list");
    assert!(accepted(envelope(2, "a", 5, 3)));
    assert!(accepted(envelope(2, "a", 5, 2)), "late but new");
    let drops = filter.drops();
    assert_eq!(
        (drops.replayed, drops.stale, drops.foreign, drops.unknown),
        (1, 1, 1, 1)
    );
}

#[test]
fn place_taken_out() {
    let mut world = World::warmed(&[("a", 2), ("b", 2)], 6);
    for place in world
        .config
        .places
        .iter_mut()
        .filter(|place| place.name == "a")
    {
        place.out = true;
    }
    world.publish();
    world.run(3_000);
    let before: u32 = [1, 2].iter().filter_map(|id| world.runs_of.get(id)).sum();
    for serial in 0..20 {
        world.send(serial as usize % 4, call("counter", "matrah", serial));
        world.run(50);
    }
    world.run(1_000);
    let after: u32 = [1, 2].iter().filter_map(|id| world.runs_of.get(id)).sum();
    assert_eq!(before, after, "no work reaches a place that is out");
    assert_eq!(world.finished(), 20, "the other place serves its callers");
    world.give(0, Event::Tick);
}
