//! Every node adopts the newest configuration, and revisions never decrease.

use peridotdeck_core::config::{Change, Store};
use peridotdeck_policy::{Class, split};
use peridotdeck_wire::Part;

use crate::simulation::{Simulation, build_config};

fn parts(revision: u64) -> Vec<Part> {
    split(&build_config(&[("a", 1)]))
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
fn rejects_whole_revision() {
    let mut store = Store::default();
    store.apply(0, 1, &parts(1));
    let broken = Part {
        key: "places".to_owned(),
        revision: 2,
        value: "[]".to_owned(),
    };
    let Change::Rejected(errors) = store.apply(1, 2, &[broken]) else {
        panic!("the revision must be rejected")
    };
    assert!(
        errors.iter().any(|error| error.contains("place")),
        "{errors:?}"
    );
    assert_eq!((store.revision(), store.rejected_revision()), (1, 2));
    assert!(
        matches!(store.apply(1, 3, &parts(3)), Change::Adopted(_)),
        "the next valid revision is adopted"
    );
}

/// Guards against nodes that adopt nothing more because another writer's part cannot be read.
#[test]
fn odd_parts_hold_up_nothing() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        ("colour", "{}"),
        ("", "7"),
        ("classes", nested.as_str()),
        ("services/x", "{\"endpoints\":[{\"id\":1e400}]}"),
        ("organisations/03", "null"),
        ("places", "no JSON"),
    ];
    let mut store = Store::default();
    store.apply(0, 1, &parts(1));
    for (revision, (key, value)) in (2..).zip(odd) {
        let part = Part {
            key: key.to_owned(),
            revision,
            value: value.to_owned(),
        };
        let change = store.apply(revision - 1, revision, &[part]);
        assert!(matches!(change, Change::Adopted(_)), "{key}: {change:?}");
    }
    let known: Vec<(String, String)> = parts(1)
        .into_iter()
        .map(|part| (part.key, part.value))
        .collect();
    let kept = store.parts_since(0).into_iter();
    assert_eq!(
        known,
        kept.map(|part| (part.key, part.value)).collect::<Vec<_>>()
    );
}

#[test]
fn detects_gap() {
    let mut store = Store::default();
    store.apply(0, 1, &parts(1));
    assert!(matches!(store.apply(2, 3, &parts(3)), Change::Gap));
}

#[test]
fn returns_changed_parts() {
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
fn reaches_all_nodes() {
    let mut sim = Simulation::settled(&[("a", 4), ("b", 4)], 1);
    sim.config
        .classes
        .push(Class::interactive("new", 2).whole_ms(100));
    sim.publish();
    sim.advance_ms(4_000);
    for vm in 0..8 {
        assert_eq!(sim.node(vm).config().revision(), sim.revision);
    }
}

#[test]
fn starts_with_stale_platform() {
    let mut sim = Simulation::settled(&[("a", 3)], 2);
    sim.publish();
    sim.advance_ms(4_000);
    // The platform serves an old revision to a node that starts with empty memory.
    sim.stale_revision = Some(1);
    sim.kill_node(1);
    sim.start_node(1);
    sim.advance_ms(3_000);
    assert_eq!(
        sim.node(1).config().revision(),
        sim.revision,
        "the node has the newer revision from its peers"
    );
}
