//! Fleet membership: the peers of a node, which of them are alive, and which pools they own.
//!
//! The platform's VM list (the roster) defines which VMs may be peers. The list lags behind, so
//! heartbeats decide which peers are alive. Heartbeats spread by gossip within a data centre and in
//! samples between data centres. A silent data centre is treated as cut off by the network: nodes
//! elsewhere do not replace its nodes, and only its own nodes own its pools.
//! `docs/design/MEMBERSHIP.md` gives the calculations.

mod gossip;
mod summaries;

use std::time::Duration;

use peridotdeck_policy::{Pool, digest_name};
use peridotdeck_wire::{Beat, Member};
use summaries::PoolState;

use crate::{id, rendezvous};

/// Time between two rounds of gossip.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message after which a node of the same data centre counts as dead.
pub const LOCAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a message after which a node of another data centre counts as unreachable.
pub const REMOTE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which a starting node waits for messages from its peers before it may own pools.
const STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Nodes of each data centre that watch the configuration service.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Seed of the rendezvous hash that chooses the watching nodes of a data centre.
const WATCHER_ORDER_SEED: u64 = 0x77;

#[derive(Clone, Debug)]
struct Peer {
    beat: Beat,
    last_received: id::Time,
}

/// A node's view of the fleet: VM list, heartbeats and pool summaries.
#[derive(Clone, Debug)]
pub struct View {
    local_node: id::Node,
    data_centre: String,
    incarnation: id::Incarnation,
    heartbeat_count: u32,
    leaving: bool,
    vm_list_revision: id::Revision,
    members: Vec<Member>,
    peers: Vec<Peer>,
    summaries: Vec<PoolState>,
    live: Vec<(String, Vec<id::Node>)>,
    vm_list_since: Option<id::Time>,
}

impl View {
    /// Creates the view of a node that has no VM list and no peers yet.
    #[must_use]
    pub fn new(local_node: id::Node, data_centre: String, incarnation: id::Incarnation) -> Self {
        Self {
            local_node,
            data_centre,
            incarnation,
            heartbeat_count: 0,
            leaving: false,
            vm_list_revision: 0,
            members: Vec::new(),
            peers: Vec::new(),
            summaries: Vec::new(),
            live: Vec::new(),
            vm_list_since: None,
        }
    }

    /// Returns the number of this node.
    #[must_use]
    pub fn local_node(&self) -> id::Node {
        self.local_node
    }

    /// Returns the data centre of this node.
    #[must_use]
    pub fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Returns the index of the VM list in use, or 0 without one.
    #[must_use]
    pub fn vm_list_revision(&self) -> id::Revision {
        self.vm_list_revision
    }

    /// Returns the VM list in use, sorted by node.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the number of heartbeats that this process has counted.
    #[must_use]
    pub fn heartbeat_count(&self) -> u32 {
        self.heartbeat_count
    }

    /// Marks this node as shutting down, which its next heartbeat announces.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this node is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns a node's entry in the VM list.
    #[must_use]
    pub fn member(&self, node: id::Node) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by_key(&node, |member| member.node);
        index.ok().map(|index| &self.members[index])
    }

    /// Replaces the VM list by a newer one, and returns whether it was newer.
    pub fn adopt_vm_list(&mut self, revision: id::Revision, mut members: Vec<Member>) -> bool {
        if revision <= self.vm_list_revision {
            return false;
        }
        members.sort_by_key(|member| member.node);
        members.dedup_by_key(|member| member.node);
        self.vm_list_revision = revision;
        self.members = members;
        let members = &self.members;
        self.peers.retain(|peer| {
            members
                .binary_search_by_key(&peer.beat.node, |member| member.node)
                .is_ok()
        });
        true
    }

    /// Stores newer heartbeats of listed peers.
    ///
    /// Copies of this node's own heartbeat are ignored: only the node itself issues them.
    pub fn receive_heartbeats(&mut self, beats: &[Beat], now: id::Time) {
        for beat in beats {
            if beat.node != self.local_node && self.member(beat.node).is_some() {
                self.receive_heartbeat(beat, now);
            }
        }
    }

    fn receive_heartbeat(&mut self, beat: &Beat, now: id::Time) {
        match self
            .peers
            .binary_search_by_key(&beat.node, |peer| peer.beat.node)
        {
            Ok(index) => {
                let peer = &mut self.peers[index];
                if (beat.incarnation, beat.counter) > (peer.beat.incarnation, peer.beat.counter) {
                    *peer = Peer {
                        beat: beat.clone(),
                        last_received: now,
                    };
                }
            }
            Err(index) => self.peers.insert(
                index,
                Peer {
                    beat: beat.clone(),
                    last_received: now,
                },
            ),
        }
    }

    /// Returns the newest known incarnation of a peer.
    #[must_use]
    pub fn incarnation_of(&self, node: id::Node) -> Option<id::Incarnation> {
        let index = self
            .peers
            .binary_search_by_key(&node, |peer| peer.beat.node);
        index.ok().map(|index| self.peers[index].beat.incarnation)
    }

    /// Records that a message of a peer arrived; any message shows that the peer is alive.
    pub fn record_message(&mut self, node: id::Node, now: id::Time) {
        if let Ok(index) = self
            .peers
            .binary_search_by_key(&node, |peer| peer.beat.node)
        {
            self.peers[index].last_received = now;
        }
    }

    /// Returns when the last message or newer heartbeat of a peer arrived.
    #[must_use]
    pub fn last_received(&self, node: id::Node) -> Option<id::Time> {
        let index = self
            .peers
            .binary_search_by_key(&node, |peer| peer.beat.node);
        index.ok().map(|index| self.peers[index].last_received)
    }

    /// Returns whether a node is alive and not shutting down.
    #[must_use]
    pub fn is_live(&self, node: id::Node, now: id::Time) -> bool {
        if node == self.local_node {
            return !self.leaving;
        }
        let Some(member) = self.member(node) else {
            return false;
        };
        let timeout = if member.place == self.data_centre {
            LOCAL_TIMEOUT
        } else {
            REMOTE_TIMEOUT
        };
        self.peers
            .binary_search_by_key(&node, |peer| peer.beat.node)
            .is_ok_and(|index| {
                let peer = &self.peers[index];
                !peer.beat.leaving && now.saturating_sub(peer.last_received) < timeout
            })
    }

    /// Recomputes the live nodes; called on every tick, so that requests only look them up.
    pub fn refresh(&mut self, now: id::Time) {
        if self.vm_list_revision > 0 {
            self.vm_list_since.get_or_insert(now);
        }
        let mut live: Vec<(String, Vec<id::Node>)> = Vec::new();
        for member in &self.members {
            let is_usable = member.node != self.local_node && !member.leaving;
            if is_usable && self.is_live(member.node, now) {
                add_live(&mut live, &member.place, member.node);
            }
        }
        if !self.leaving {
            add_live(&mut live, &self.data_centre, self.local_node);
        }
        self.live = live;
    }

    /// Treats all known peers as alive again after a pause of this process.
    ///
    /// The process received nothing during the pause, so its peers' silence means nothing.
    pub fn assume_all_alive(&mut self, now: id::Time) {
        for peer in &mut self.peers {
            peer.last_received = now;
        }
        self.refresh(now);
    }

    /// Returns the live nodes of a data centre, including this node unless it is leaving.
    #[must_use]
    pub fn live_nodes(&self, data_centre: &str) -> &[id::Node] {
        let index = self
            .live
            .binary_search_by(|(name, _)| name.as_str().cmp(data_centre));
        index.map_or(&[], |index| self.live[index].1.as_slice())
    }

    /// Returns whether this node knows its data centre well enough to own pools there.
    ///
    /// A node that has just started has received no heartbeats and would regard itself as the only
    /// live node. It waits for every listed peer of its data centre, but no longer than
    /// `STARTUP_WAIT`.
    #[must_use]
    pub fn may_own_pools(&self, now: id::Time) -> bool {
        let waited = self
            .vm_list_since
            .is_some_and(|vm_list_since| now.saturating_sub(vm_list_since) >= STARTUP_WAIT);
        let mut others = self.others_in(&self.data_centre);
        waited
            || (self.vm_list_since.is_some()
                && others.all(|node| self.last_received(node).is_some()))
    }

    /// Returns the number of live nodes in the fleet, at least 1.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live
            .iter()
            .map(|(_, nodes)| nodes.len())
            .sum::<usize>()
            .max(1)
    }

    /// Returns the node that schedules a pool.
    #[must_use]
    pub fn owner(&self, pool: &Pool) -> Option<id::Node> {
        rendezvous::first(pool.id, self.live_nodes(&pool.place).iter().copied())
    }

    /// Returns whether this node watches the configuration service for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let live = self.live_nodes(&self.data_centre).iter().copied();
        let order = rendezvous::order(WATCHER_ORDER_SEED ^ digest_name(&self.data_centre), live);
        order
            .iter()
            .take(WATCHERS_PER_DATA_CENTRE)
            .any(|&node| node == self.local_node)
    }

    fn others_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = id::Node> + 'a {
        self.others()
            .filter(move |member| member.place == data_centre)
            .map(|member| member.node)
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.node != self.local_node)
    }
}

/// Adds a node to the sorted list of live nodes by data centre.
fn add_live(live: &mut Vec<(String, Vec<id::Node>)>, data_centre: &str, node: id::Node) {
    match live.binary_search_by(|(name, _)| name.as_str().cmp(data_centre)) {
        Ok(index) => live[index].1.push(node),
        Err(index) => live.insert(index, (data_centre.to_owned(), vec![node])),
    }
}
