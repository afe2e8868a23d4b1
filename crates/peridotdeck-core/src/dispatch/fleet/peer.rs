//! A peer of this node.

use crate::{
    dispatch::{DataCentre, Key, Node, endpoint::Load},
    id::Time,
};

/// Another node, as known from its heartbeats, from other members or from the seeds.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) node: Node,
    pub(super) data_centre: Option<DataCentre>,
    pub(super) incarnation: u64,
    /// Incarnation before the current one; 0 if none is known.
    pub(super) former_incarnation: u64,
    pub(super) sequence: u64,
    pub(super) received: Option<Time>,
    pub(super) last_known: Time,
    pub(super) probed: Option<Time>,
    pub(super) leaving: bool,
    pub(super) loads: Vec<(Key, Load)>,
    /// Endpoints that the peer could not reach, as it reported last.
    pub(super) unreached: Vec<Key>,
    /// Whether the peer reached less than half of its endpoints.
    pub(super) cut_off: bool,
    /// Time of that report.
    pub(super) reach_reported: Time,
}

impl Peer {
    /// Creates a peer that nothing was heard from yet.
    pub(super) fn new(node: Node, data_centre: Option<DataCentre>, now: Time) -> Self {
        Self {
            node,
            data_centre,
            incarnation: 0,
            former_incarnation: 0,
            sequence: 0,
            received: None,
            last_known: now,
            probed: None,
            leaving: false,
            loads: Vec::new(),
            unreached: Vec::new(),
            cut_off: false,
            reach_reported: Time::ZERO,
        }
    }
}
