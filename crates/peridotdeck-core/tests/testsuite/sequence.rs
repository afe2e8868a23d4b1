//! Ids of a stream's events: one that goes back, or leaves events out at a join, belongs to no stream.

use peridotdeck_core::sequence::{
    Order::{self, Follows, Gap, Repeats},
    Sequence,
};

/// Judges ids in turn; `/` is a join, and `-` an event without an id.
fn judge(mut sequence: Sequence, ids: &str) -> Vec<Order> {
    let mut orders = Vec::new();
    for id in ids.split(' ') {
        match id {
            "/" => sequence = sequence.continued(),
            "-" => orders.push(sequence.advance(None)),
            id => orders.push(sequence.advance(Some(id.as_bytes()))),
        }
    }
    orders
}

/// Guards against an event that a caller gets twice, or one that it never gets.
#[test]
fn only_the_last_id_shows_what_follows() {
    let cases: [(&str, &[Order]); 12] = [
        (
            "1 2 3 3 2 4",
            &[Follows, Follows, Follows, Repeats, Repeats, Follows],
        ),
        ("1 2 / 1", &[Follows, Follows, Repeats]),
        ("1 2 / 2 3", &[Follows, Follows, Repeats, Follows]),
        ("1 2 / 4 3", &[Follows, Follows, Gap, Follows]),
        // One run may number its events as it likes, and two ids show its step.
        ("1 3 / 9", &[Follows; 3]),
        ("1 / 9", &[Follows; 2]),
        ("1 2 / 3 7 / 9", &[Follows; 5]),
        ("9 10 / 11", &[Follows; 3]),
        ("007 8 08", &[Follows, Follows, Repeats]),
        // Longer than any integer type.
        (
            "99999999999999999999998 99999999999999999999999 9 100000000000000000000000",
            &[Follows, Follows, Repeats, Follows],
        ),
        (
            "a b b a -1 -1",
            &[Follows, Follows, Repeats, Follows, Follows, Repeats],
        ),
        (
            "- - 1 - 2 / - 2",
            &[
                Follows, Follows, Follows, Follows, Follows, Follows, Repeats,
            ],
        ),
    ];
    for (ids, expected) in cases {
        assert_eq!(judge(Sequence::default(), ids), expected, "{ids}");
    }
}

/// Guards against a stream that begins anew where its caller takes it up.
#[test]
fn callers_own_id_comes_first() {
    let cases: [(&str, &[Order]); 4] = [
        ("1", &[Repeats]),
        ("5", &[Repeats]),
        ("6 / 8", &[Follows, Gap]),
        ("9", &[Follows]),
    ];
    for (ids, expected) in cases {
        assert_eq!(judge(Sequence::after("5"), ids), expected, "{ids}");
    }
    assert_eq!(Sequence::after("").last(), None);
    assert_eq!(Sequence::after("5").continued().last(), Some("5"));
}

/// Guards against a stream that begins anew since its last event cannot be named.
#[test]
fn only_named_events_are_continued() {
    let cases: [(&[Option<&[u8]>], bool); 5] = [
        (&[], true),
        (&[Some(b"1")], true),
        (&[Some(b"1"), None], false),
        (&[None, Some(b"2")], true),
        (&[Some(b"\xff")], false),
    ];
    for (ids, expected) in cases {
        let mut sequence = Sequence::default();
        for &id in ids {
            sequence.advance(id);
        }
        assert_eq!(sequence.can_continue(), expected, "{ids:?}");
    }
}
