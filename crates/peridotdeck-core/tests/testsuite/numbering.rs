//! Ids of requests and attempts are unique over all nodes and restarts.

use peridotdeck_core::id::Generator;

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
