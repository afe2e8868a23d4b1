//! What time brings: messages, connections to try, and what to ask whom.

use std::net::SocketAddrV4;

use peridotdeck_wire::beat;

use super::{
    Key, Node,
    registry::{self, Area},
};

/// A connection to be opened, only to see whether it is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The endpoint.
    pub key: Key,
    /// Where it listens.
    pub address: SocketAddrV4,
}

/// An endpoint whose memory should be listed.
pub type CacheQuery = Probe;

/// Something to fetch from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// Who has it.
    pub node: Node,
    /// What.
    pub area: Area,
    /// Revision of it that this node knows.
    pub known: u64,
}

/// What time brought.
#[derive(Clone, Debug, Default)]
pub struct Due {
    /// Endpoints whose memory should be listed.
    pub cache_queries: Vec<CacheQuery>,
    /// Beats to send.
    pub heartbeats: Vec<(Node, beat::Beat)>,
    /// Connections to try.
    pub probes: Vec<Probe>,
    /// What peers know better.
    pub snapshot_requests: Vec<SnapshotRequest>,
    /// Endpoints whose time to come back is over.
    pub removed: Vec<registry::Endpoint>,
    /// Peers that fell silent.
    pub silent: Vec<Node>,
}
