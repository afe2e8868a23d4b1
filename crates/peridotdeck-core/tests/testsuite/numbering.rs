//! Ids of requests and attempts are unique over all nodes and restarts.

use peridotdeck_core::{
    dispatch::{Key, key},
    id::Generator,
};

#[test]
fn ids_differ() {
    let mut ids: Vec<u64> = Vec::new();
    for node in 0..400 {
        for incarnation in 1_000..1_004 {
            let mut generator = Generator::new(node, incarnation);
            ids.extend((0..4).map(|_| generator.issue()));
        }
    }
    let count = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), count);
}

/// Guards against two endpoints that share a key, so that one gets the other's requests.
///
/// Their ids differ in one character, and their processes in their start times.
#[test]
fn endpoint_keys_differ() {
    let ids = (0..50).map(|number| format!("i-{number}"));
    let mut keys: Vec<Key> = ids
        .flat_map(|id| (1..50).map(move |born| key(&id, born)))
        .collect();
    let count = keys.len();
    keys.sort_unstable();
    keys.dedup();
    assert_eq!(keys.len(), count);
}
