//! Configurations come into force everywhere and never revert.

use peridotdeck_core::config::{Change, Store};
use peridotdeck_policy::{Class, split};
use peridotdeck_wire::Part;

use crate::simulation::{World, policy};

fn parts(revision: u64) -> Vec<Part> {
    split(&policy(&[("a", 1)]))
        .into_iter()
        .map(|(key, value)| Part {
            key,
            revision,
            value: value.to_string(),
        })
        .collect()
}

#[test]
fn never_reverts() {
    let mut store = Store::default();
    assert!(matches!(store.apply(0, 5, &parts(5)), Change::Adopted(_)));
    assert!(matches!(store.apply(0, 4, &parts(4)), Change::Old));
    assert_eq!(store.revision(), 5);
}

#[test]
fn refuses_whole() {
    let mut store = Store::default();
    store.apply(0, 1, &parts(1));
    let broken = Part {
        key: "places".to_owned(),
        revision: 2,
        value: "[]".to_owned(),
    };
    let Change::Rejected(errors) = store.apply(1, 2, &[broken]) else {
        panic!("it must be refused")
    };
    assert!(
        errors.iter().any(|error| error.contains("place")),
        "{errors:?}"
    );
    assert_eq!((store.revision(), store.rejected_revision()), (1, 2));
    assert!(
        matches!(store.apply(1, 3, &parts(3)), Change::Adopted(_)),
        "the next one is not held up"
    );
}

#[test]
fn detects_gap() {
    let mut store = Store::default();
    store.apply(0, 1, &parts(1));
    assert!(matches!(store.apply(2, 3, &parts(3)), Change::Gap));
}

#[test]
fn sends_deltas() {
    let mut store = Store::default();
    store.apply(0, 1, &parts(1));
    let mut changed = parts(1);
    changed.retain(|part| part.key == "classes");
    changed[0].revision = 2;
    store.apply(1, 2, &changed);
    let delta = store.parts_since(1);
    assert_eq!(
        delta
            .iter()
            .map(|part| part.key.as_str())
            .collect::<Vec<_>>(),
        ["classes"]
    );
}

#[test]
fn reaches_all() {
    let mut world = World::settled(&[("a", 4), ("b", 4)], 1);
    world
        .config
        .classes
        .push(Class::interactive("new", 2).whole_ms(100));
    world.publish();
    world.run(4_000);
    for seat in 0..8 {
        assert_eq!(world.node(seat).config().revision(), world.revision);
    }
}

#[test]
fn stale_start() {
    let mut world = World::settled(&[("a", 3)], 2);
    world.publish();
    world.run(4_000);
    // The platform serves an old revision to a node that starts empty.
    world.stale = Some(1);
    world.kill(1);
    world.start(1);
    world.run(3_000);
    assert_eq!(
        world.node(1).config().revision(),
        world.revision,
        "peers know better than the platform"
    );
}
