//! The index of cached prefixes: hundreds of uses a second, from all nodes of a large fleet.

use peridotdeck_core::dispatch::{Prefix, prefix::Index};

use crate::dispatch::ms;

/// Returns the digest of a subject, as different as those of real prefixes.
fn digest(subject: u64) -> Prefix {
    subject.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

#[test]
fn holders_of_a_prefix_are_sorted_by_endpoint() {
    let mut index = Index::default();
    for subject in 0..500 {
        for endpoint in [9, 2, 7] {
            index.record_use(digest(subject), endpoint, ms(subject));
        }
    }
    assert_eq!(index.len(), 1_500);
    for subject in 0..500 {
        let holders = index.holders(digest(subject)).iter();
        let endpoints: Vec<u32> = holders.map(|holder| holder.endpoint).collect();
        assert_eq!(endpoints, [2, 7, 9]);
    }
    assert!(index.holders(digest(500)).is_empty());
}

#[test]
fn least_recently_used_holdings_make_room() {
    let mut index = Index::default();
    for subject in 0..20_000 {
        index.record_use(digest(subject), 1, ms(subject));
    }
    assert!(index.len() <= 16_384);
    assert!(index.holders(digest(0)).is_empty());
    assert_eq!(index.holders(digest(19_999)).len(), 1);
}

#[test]
fn holding_that_was_known_before_an_attempt_outlives_it() {
    let mut index = Index::default();
    index.record_use(digest(1), 1, ms(10));
    index.record_use(digest(2), 1, ms(50));
    for subject in [1, 2] {
        index.remove_since(digest(subject), 1, ms(50));
    }
    assert_eq!(index.holders(digest(1)).len(), 1);
    assert!(index.holders(digest(2)).is_empty());
    index.remove_endpoint(1);
    assert!(index.is_empty());
}
