//! Nodes that speak another protocol version are noticed once.

use std::net::{IpAddr, Ipv4Addr};

use peridotdeck_wire::{VERSION, Versions};

fn node(number: u32) -> IpAddr {
    Ipv4Addr::from_bits(number).into()
}

#[test]
fn each_change_is_reported_once() {
    let mut versions = Versions::default();
    let (later, earlier) = (VERSION + 1, VERSION - 1);
    let spoken = [VERSION, later, later, earlier, VERSION, VERSION];
    let changes = spoken.map(|version| versions.record(node(1), version));
    assert_eq!(changes, [false, true, false, true, true, false]);
}

/// Guards against a sender of many addresses that fills memory or the log.
#[test]
fn senders_are_bounded() {
    let mut versions = Versions::default();
    let mut record = |number| versions.record(node(number), VERSION + 1);
    assert_eq!((0..2_000).filter(|number| record(*number)).count(), 512);
    assert!(!record(1));
}
