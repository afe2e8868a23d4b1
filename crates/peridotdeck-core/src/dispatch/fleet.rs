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

mod age;
mod broadcast;
mod compose;
mod peer;
mod receive;
mod send;
mod size;
mod status;
mod touch;

pub use broadcast::Broadcast;
pub use status::Status;

use std::time::Duration;

use peer::Peer;
use send::round_time;
use touch::Pulse;

use super::{DataCentre, Key, Node, Prefix, endpoint::Load};
use crate::{id::Time, rendezvous};

/// Time without a heartbeat after which a peer in the same data centre counts as dead.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest time without a heartbeat after which another data centre's reported load is dropped.
///
/// Peers in other data centres count as dead after the same time. It is longer in large data
/// centres, which exchange heartbeats less often.
const MIN_REMOTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Rounds of heartbeats without one of another data centre after which its load is dropped.
const REMOTE_TIMEOUT_ROUNDS: f64 = 2.5;

/// Time after its start during which a node probes for peers at the shorter interval.
const STARTUP: Duration = Duration::from_secs(5);

/// Time without a sign of life after which a peer that is no seed is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Rounds to each other data centre that carry an announcement, as heartbeats may be lost.
const REMOTE_REPEATS: u32 = 2;

/// Heartbeats to the same data centre that carry an announcement, as heartbeats may be lost.
const LOCAL_REPEATS: u32 = 2;

/// Time for which a peer's report of the endpoints that it cannot reach counts.
const REACH_LIFETIME: Duration = Duration::from_secs(5);

/// Most announcements that wait for a heartbeat; beyond it the oldest are dropped.
const MAX_ANNOUNCEMENTS: usize = 512;

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
        self.rank(key, now).is_some_and(|rank| rank < count)
    }

    /// Returns this node's rank among the live nodes of its data centre for a key, from 0.
    ///
    /// A node that leaves has none.
    #[must_use]
    pub fn rank(&self, key: Key, now: Time) -> Option<usize> {
        let nodes = self.live_nodes(self.data_centre, now);
        let numbers = nodes.iter().map(|&node| u32::from(node));
        let order = rendezvous::order(u64::from(key), numbers);
        order.iter().position(|&node| node == u32::from(self.me))
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

    /// Returns whether a node has ever been heard as a peer.
    #[must_use]
    pub fn has_heard(&self, node: Node) -> bool {
        let found = self.find_peer(node);
        found.is_ok_and(|index| self.peers[index].incarnation != 0)
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

    /// Returns whether another data centre has reported its load lately.
    #[must_use]
    pub fn is_heard(&self, data_centre: DataCentre) -> bool {
        let mut remotes = self.remotes.iter();
        remotes.any(|remote| remote.data_centre == data_centre)
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

    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        !peer.leaving && self.is_reachable(peer, now)
    }

    fn is_reachable(&self, peer: &Peer, now: Time) -> bool {
        let limit = if peer.data_centre == Some(self.data_centre) {
            LOCAL_TIMEOUT
        } else {
            self.remote_timeout
        };
        let recent = |received: Time| now.saturating_sub(received) < limit;
        peer.received.is_some_and(recent)
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
                self.peers.insert(index, Peer::new(node, data_centre, now));
                index
            }
        };
        if data_centre.is_some() {
            self.peers[index].data_centre = data_centre;
        }
        Some(index)
    }

    /// Drops outdated state; returns the load to subtract and the peers that fell silent.
    pub fn expire(&mut self, now: Time) -> (Vec<(Key, Load)>, Vec<Node>) {
        let mut removed = Vec::new();
        let mut silent = Vec::new();
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            if peer.received.is_some() && !self.is_reachable(peer, now) {
                let peer = &mut self.peers[index];
                removed.append(&mut peer.loads);
                peer.received = None;
                silent.push(peer.node);
            }
        }
        for mut remote in self.remotes.extract_if(.., |remote| {
            now.saturating_sub(remote.received) >= self.remote_timeout
        }) {
            removed.append(&mut remote.loads);
        }
        let seeds = &self.seeds;
        self.peers.retain(|peer| {
            seeds.contains(&peer.node) || now.saturating_sub(peer.last_known) < FORGET_AFTER
        });
        let here = self.live_nodes(self.data_centre, now).len();
        self.remote_timeout =
            MIN_REMOTE_TIMEOUT.max(round_time(here).mul_f64(REMOTE_TIMEOUT_ROUNDS));
        self.record_size(here, now);
        (removed, silent)
    }
}
