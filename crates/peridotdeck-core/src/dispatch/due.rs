//! Periodic actions that a node's tick makes due: heartbeats, probes and requests.

use std::{net::SocketAddrV4, time::Duration};

use super::{
    Key, Node,
    crashes::Notice,
    detour::{self, Search},
    fleet::Broadcast,
    rate::News,
    registry::{Ages, Area, Change, Position},
    speed,
};

/// A connection attempt that only tests whether an endpoint accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Key of the endpoint.
    pub key: Key,
    /// Address at which the endpoint listens.
    pub address: SocketAddrV4,
}

/// Request for the list of prompt prefixes that an endpoint holds in memory.
pub type CacheQuery = Probe;

/// Request to a peer for a newer revision of the configuration or of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// Peer that has the newer revision.
    pub node: Node,
    /// Area to fetch.
    pub area: Area,
    /// Position of the area that this node has.
    pub known: Position,
}

/// Actions and changes that are due at a tick.
#[derive(Clone, Debug, Default)]
pub struct Due {
    /// Ages of the configuration and the endpoint list, sent after each heartbeat.
    pub ages: Ages,
    /// Endpoints whose cached prompt prefixes should be listed.
    pub cache_queries: Vec<CacheQuery>,
    /// Endpoints whose kept connections lead to a former address, or through peers of no use any more.
    pub closed: Vec<Key>,
    /// Whether to read the publisher, to confirm that the endpoint list is complete.
    pub confirmation: bool,
    /// Changes since the last tick of what is blamed for crashes.
    pub crashes: Vec<Notice>,
    /// Whether to read the publisher's latest changes, to learn which endpoints have left.
    pub history: bool,
    /// Heartbeats to send, each with the peers that receive it.
    pub heartbeats: Vec<Broadcast>,
    /// Changes of the paths to endpoints since the last tick.
    pub paths: Vec<detour::News>,
    /// Endpoints to probe.
    pub probes: Vec<Probe>,
    /// Changes of endpoints' rates that peers have reported since the last tick.
    pub rates: Vec<News>,
    /// Searches for peers that reach endpoints to which the own path is lost.
    pub searches: Vec<Search>,
    /// Newer revisions to fetch from peers.
    pub snapshot_requests: Vec<SnapshotRequest>,
    /// What goes with these heartbeats on endpoints' speeds.
    pub speed_message: speed::Message,
    /// Changes since the last tick of what is believed of endpoints' speeds.
    pub speeds: Vec<speed::Notice>,
    /// Age of what the node knows, if it begins to watch the publisher for that.
    pub watch_begun: Option<Duration>,
    /// Postponed changes of the registry, such as the removal of endpoints missing for too long.
    pub change: Change,
    /// Peers whose heartbeats have stopped.
    pub silent: Vec<Node>,
}
