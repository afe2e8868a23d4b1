//! Membership of the fleet and the heartbeats between its nodes.
//!
//! A node announces its load at each endpoint to every live peer of its own data centre, soon after
//! the load changes. For each other data centre the nodes take turns: in each round, every node
//! there receives a heartbeat from one node here, which reports the sum for the whole data centre.
//! So a node's traffic grows with the size of its data centre and with the number of data centres,
//! not with the size of the fleet.
//!
//! Nodes discover each other by the seeds in their settings and by the members that heartbeats
//! list. No node waits for another: a node without known peers acts alone.

mod receive;
mod send;
mod touch;

use std::time::Duration;

use peridotdeck_wire::beat;
use touch::Pulse;

use super::{DataCentre, Key, Node, Prefix, endpoint::Load, registry::Position};
use crate::{id::Time, rendezvous};

/// Shortest time without a heartbeat after which another data centre's reported load is dropped.
///
/// Peers in other data centres count as dead after the same time. It is longer in large data
/// centres, which exchange heartbeats less often.
const MIN_REMOTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after its start during which a node probes for peers at the shorter interval.
const STARTUP: Duration = Duration::from_secs(5);

/// Rounds to each other data centre that carry an announcement, as heartbeats may be lost.
const REMOTE_REPEATS: u32 = 2;

/// Heartbeats to the same data centre that carry an announcement, as heartbeats may be lost.
const LOCAL_REPEATS: u32 = 2;

/// Time for which a peer's report of the endpoints that it cannot reach counts.
const REACH_LIFETIME: Duration = Duration::from_secs(5);

/// Most announcements that wait for a heartbeat; beyond it the oldest are dropped.
const MAX_ANNOUNCEMENTS: usize = 512;

/// Another node, as known from its heartbeats, from other members or from the seeds.
#[derive(Clone, Debug)]
struct Peer {
    node: Node,
    data_centre: Option<DataCentre>,
    incarnation: u64,
    sequence: u64,
    received: Option<Time>,
    last_known: Time,
    probed: Option<Time>,
    leaving: bool,
    loads: Vec<(Key, Load)>,
    /// Endpoints that the peer could not reach, as it reported last.
    unreached: Vec<Key>,
    /// Whether the peer reached less than half of its endpoints.
    cut_off: bool,
    /// Time of that report.
    reach_reported: Time,
}

/// Load that the nodes of another data centre reported together.
#[derive(Clone, Debug)]
struct Remote {
    data_centre: DataCentre,
    received: Time,
    loads: Vec<(Key, Load)>,
}

/// A cached prefix of an endpoint, to be announced to peers.
///
/// The node that sent the prompt announces it in its own data centre and to one node in each other
/// data centre. That node announces it to its peers.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    prefix: Prefix,
    endpoint: Key,
    /// Heartbeats to the same data centre that still carry it.
    local_left: u32,
    /// Rounds to other data centres that still carry it; none if one of them has announced it.
    remote_left: u32,
}

/// A heartbeat and the peers that receive it.
#[derive(Clone, Debug)]
pub struct Broadcast {
    /// Peers that receive the heartbeat.
    pub receivers: Vec<Node>,
    /// The heartbeat.
    pub beat: beat::Beat,
}

impl Broadcast {
    /// Creates a heartbeat for one peer.
    #[must_use]
    pub fn to(node: Node, beat: beat::Beat) -> Self {
        Self {
            receivers: vec![node],
            beat,
        }
    }
}

/// State that a node reports in its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Position of the last change of the configuration.
    pub policy: Position,
    /// Position of the last change of the endpoint list.
    pub roster: Position,
    /// Version of the configuration in force; 0 without one.
    pub version: u64,
    /// This node's load at each endpoint where it has any, sorted by key.
    pub loads: Vec<(Key, Load)>,
    /// Health of endpoints as this node has observed it.
    pub health: Vec<beat::Health>,
    /// Crashes attributed to requests or parts of prompts.
    pub strikes: Vec<beat::Strike>,
    /// Proofs that clear parts of prompts.
    pub proofs: Vec<beat::Proof>,
    /// Endpoints whose departure has become known recently.
    pub departures: Vec<Key>,
    /// Rates that endpoints name, or no longer name.
    pub rates: Vec<beat::Rate>,
    /// Whether endpoints of several software versions of one service were listed lately.
    pub mixed: bool,
    /// Time for which all versions have been known to this node, or to one that it has heard from.
    pub history: Duration,
    /// Endpoints to which this node cannot open connections, up to the number that is listed.
    pub unreached: Vec<Key>,
    /// Whether this node can open connections to less than half of its endpoints.
    pub cut_off: bool,
    /// Endpoints that want no requests over the path of a node for a while.
    pub pauses: Vec<beat::Pause>,
}

/// Changes that a received heartbeat leads to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Load of peers at endpoints that is to be added.
    pub added: Vec<(Key, Load)>,
    /// Load of peers at endpoints that is to be subtracted.
    pub removed: Vec<(Key, Load)>,
    /// Whether the peer was not live before this heartbeat.
    pub joined: bool,
    /// Whether the sender requests a heartbeat in reply.
    pub reply_requested: bool,
}

/// The nodes of the fleet, as this node knows them.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Node,
    data_centre: DataCentre,
    /// Other data centres of the region, whose nodes use the same endpoints more than others do.
    siblings: Vec<DataCentre>,
    incarnation: u64,
    started: Time,
    sequence: u64,
    leaving: bool,
    seeds: Vec<Node>,
    peers: Vec<Peer>,
    remotes: Vec<Remote>,
    announcements: Vec<Announcement>,
    dirty: bool,
    local_due: Time,
    keepalive_due: Time,
    remote_due: Time,
    probe_due: Time,
    members_due: Time,
    /// Number of member lists sent, which selects the part of the members in the next one.
    member_lists: usize,
    remote_timeout: Duration,
    round: usize,
    sizes: Vec<(Time, usize)>,
    local_sizes: Vec<(Time, usize)>,
    pulse: Pulse,
}

impl Fleet {
    /// Creates the view of a node that knows only its seeds.
    #[must_use]
    pub fn new(
        me: Node,
        data_centre: DataCentre,
        siblings: Vec<DataCentre>,
        incarnation: u64,
        seeds: &[Node],
        now: Time,
    ) -> Self {
        let mut fleet = Self {
            me,
            data_centre,
            siblings,
            incarnation,
            started: now,
            sequence: 0,
            leaving: false,
            seeds: Vec::new(),
            peers: Vec::new(),
            remotes: Vec::new(),
            announcements: Vec::new(),
            dirty: true,
            local_due: now,
            keepalive_due: now,
            remote_due: now,
            probe_due: now,
            members_due: now,
            member_lists: 0,
            remote_timeout: MIN_REMOTE_TIMEOUT,
            round: 0,
            sizes: Vec::new(),
            local_sizes: Vec::new(),
            pulse: Pulse::new(now),
        };
        fleet.set_seeds(seeds, now);
        fleet
    }

    /// Replaces the seeds and adds them to the peers.
    pub fn set_seeds(&mut self, seeds: &[Node], now: Time) {
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|&node| node != self.me)
            .collect();
        for node in self.seeds.clone() {
            self.find_or_add_peer(node, None, now);
        }
    }

    /// Returns whether this node is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Starts leaving the fleet: peers stop counting this node with its next heartbeat.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.dirty = true;
        self.hasten_remote();
    }

    /// Makes a local heartbeat due, because the reported state has changed.
    pub fn mark_changed(&mut self) {
        self.dirty = true;
    }

    /// Makes heartbeats due to all data centres, because of news that bears no delay.
    pub fn mark_urgent(&mut self) {
        self.dirty = true;
        self.hasten_remote();
    }

    /// Queues the announcement of a cached prefix of an endpoint.
    ///
    /// `own` is false if another data centre has announced it; it is then passed on to local peers
    /// only.
    pub fn announce_prefix(&mut self, prefix: Prefix, endpoint: Key, own: bool) {
        let rounds = REMOTE_REPEATS * self.rounds() as u32;
        self.announcements.push(Announcement {
            prefix,
            endpoint,
            local_left: LOCAL_REPEATS,
            remote_left: if own { rounds } else { 0 },
        });
        let surplus = self.announcements.len().saturating_sub(MAX_ANNOUNCEMENTS);
        self.announcements.drain(..surplus);
        self.dirty = true;
    }

    /// Returns the live nodes of a data centre in order of address, this node included.
    #[must_use]
    pub fn live_nodes(&self, data_centre: DataCentre, now: Time) -> Vec<Node> {
        let peers = self
            .peers
            .iter()
            .filter(|peer| peer.data_centre == Some(data_centre));
        let mut nodes: Vec<Node> = peers
            .filter(|peer| self.is_live(peer, now))
            .map(|peer| peer.node)
            .collect();
        if data_centre == self.data_centre
            && !self.leaving
            && let Err(index) = nodes.binary_search(&self.me)
        {
            nodes.insert(index, self.me);
        }
        nodes
    }

    /// Returns whether this node ranks among the first `count` live nodes of its data centre for a
    /// key.
    #[must_use]
    pub fn is_among_first(&self, count: usize, key: Key, now: Time) -> bool {
        let nodes = self.live_nodes(self.data_centre, now);
        let numbers = nodes.iter().map(|&node| u32::from(node));
        let order = rendezvous::order(u64::from(key), numbers);
        order
            .iter()
            .take(count)
            .any(|&node| node == u32::from(self.me))
    }

    /// Returns whether this node knows of no other node, not even as a seed.
    #[must_use]
    pub fn is_single(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the live nodes and their data centres, without this node.
    #[must_use]
    pub fn members(&self, now: Time) -> Vec<(Node, DataCentre)> {
        let live = self.peers.iter().filter(|peer| self.is_live(peer, now));
        live.filter_map(|peer| Some((peer.node, peer.data_centre?)))
            .collect()
    }

    /// Returns whether a node is a live peer.
    #[must_use]
    pub fn is_live_peer(&self, node: Node, now: Time) -> bool {
        let found = self.find_peer(node);
        found.is_ok_and(|index| self.is_live(&self.peers[index], now))
    }

    /// Returns the data centre of a peer.
    #[must_use]
    pub fn place_of(&self, node: Node) -> Option<DataCentre> {
        self.peers[self.find_peer(node).ok()?].data_centre
    }

    /// Returns whether a peer may reach an endpoint, as far as it has reported lately.
    #[must_use]
    pub fn reaches(&self, node: Node, endpoint: Key, now: Time) -> bool {
        let Ok(index) = self.find_peer(node) else {
            return false;
        };
        let peer = &self.peers[index];
        let is_recent = now.saturating_sub(peer.reach_reported) < REACH_LIFETIME;
        !is_recent || !(peer.cut_off || peer.unreached.contains(&endpoint))
    }

    /// Returns the sum of all other nodes' load at an endpoint.
    #[must_use]
    pub fn load_at(&self, key: Key) -> Load {
        let local = self.peers.iter().map(|peer| &peer.loads);
        let tables = local.chain(self.remotes.iter().map(|remote| &remote.loads));
        let mut sum = Load::default();
        for (_, load) in tables.flatten().filter(|(other, _)| *other == key) {
            sum.add(*load);
        }
        sum
    }

    fn find_peer(&self, node: Node) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&node, |peer| peer.node)
    }

    fn find_or_add_peer(
        &mut self,
        node: Node,
        data_centre: Option<DataCentre>,
        now: Time,
    ) -> Option<usize> {
        if node == self.me {
            return None;
        }
        let index = match self.find_peer(node) {
            Ok(index) => index,
            Err(index) => {
                let peer = Peer {
                    node,
                    data_centre,
                    incarnation: 0,
                    sequence: 0,
                    received: None,
                    last_known: now,
                    probed: None,
                    leaving: false,
                    loads: Vec::new(),
                    unreached: Vec::new(),
                    cut_off: false,
                    reach_reported: Time::ZERO,
                };
                self.peers.insert(index, peer);
                index
            }
        };
        if data_centre.is_some() {
            self.peers[index].data_centre = data_centre;
        }
        Some(index)
    }
}
