//! Who the peers are, which of them are alive, and which of them owns what.
//!
//! The platform's VM list (the roster) says who may be a peer; it lags, so peers' heartbeats say
//! who is alive. Heartbeats spread by gossip within a data centre and in samples between data
//! centres. A silent data centre is treated as cut off: its nodes are not replaced by others, and
//! only its own nodes own its pools. `docs/design/MEMBERSHIP.md` gives the sums.

use std::time::Duration;

use peridotdeck_policy::{Pool, Snapshot, digest_name};
use peridotdeck_wire::{Beat, Member, Summary};
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use crate::{id, rank};

/// Time between two rounds of gossip.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a node of the own data centre counts as dead.
pub const LOCAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which a node of another data centre counts as out of reach.
pub const REMOTE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time that a starting node gives its peers to be heard.
const STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Silence after which a live peer of the own data centre is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Peers of the own data centre that a node tells in each round.
const GOSSIP_FANOUT: usize = 1;

/// Heartbeats of the own data centre in one message, newest first.
const MAX_LOCAL_HEARTBEATS: usize = 48;

/// Heartbeats of other data centres in one message, newest first.
const MAX_REMOTE_HEARTBEATS: usize = 8;

/// Pool summaries in one message, newest first.
const MAX_SUMMARIES: usize = 12;

/// Nodes of a data centre that watch the configuration service.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Digest seed of the watchers' order.
const WATCHER_ORDER_SEED: u64 = 0x77;

#[derive(Clone, Debug)]
struct Peer {
    beat: Beat,
    received: id::Time,
}

#[derive(Clone, Debug)]
struct Seen {
    summary: Summary,
    received: id::Time,
}

/// What a node knows about its peers.
#[derive(Clone, Debug)]
pub struct View {
    local_node: id::Node,
    data_centre: String,
    incarnation: id::Incarnation,
    counter: u32,
    leaving: bool,
    vm_list_revision: id::Revision,
    members: Vec<Member>,
    peers: Vec<Peer>,
    summaries: Vec<Seen>,
    live: Vec<(String, Vec<id::Node>)>,
    listed: Option<id::Time>,
}

impl View {
    /// Starts with no peers.
    #[must_use]
    pub fn new(local_node: id::Node, data_centre: String, incarnation: id::Incarnation) -> Self {
        Self {
            local_node,
            data_centre,
            incarnation,
            counter: 0,
            leaving: false,
            vm_list_revision: 0,
            members: Vec::new(),
            peers: Vec::new(),
            summaries: Vec::new(),
            live: Vec::new(),
            listed: None,
        }
    }

    /// Returns this node.
    #[must_use]
    pub fn local_node(&self) -> id::Node {
        self.local_node
    }

    /// Returns the data centre of this node.
    #[must_use]
    pub fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Returns the start of this process.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Returns the index of the VM list in use.
    #[must_use]
    pub fn vm_list_revision(&self) -> id::Revision {
        self.vm_list_revision
    }

    /// Returns the VM list in use, sorted by node.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns this node's heartbeats so far.
    #[must_use]
    pub fn heartbeat_count(&self) -> u32 {
        self.counter
    }

    /// Announces that this node is shutting down.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this node is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Finds a peer in the VM list.
    #[must_use]
    pub fn member(&self, node: id::Node) -> Option<&Member> {
        let at = self
            .members
            .binary_search_by_key(&node, |member| member.node);
        at.ok().map(|at| &self.members[at])
    }

    /// Follows a newer VM list and returns whether it was newer.
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

    /// Learns from heartbeats; a node speaks for itself, so its own beats are ignored.
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
            Ok(at) => {
                let peer = &mut self.peers[at];
                if (beat.incarnation, beat.counter) > (peer.beat.incarnation, peer.beat.counter) {
                    *peer = Peer {
                        beat: beat.clone(),
                        received: now,
                    };
                }
            }
            Err(at) => self.peers.insert(
                at,
                Peer {
                    beat: beat.clone(),
                    received: now,
                },
            ),
        }
    }

    /// Returns the newest incarnation heard of a node.
    #[must_use]
    pub fn incarnation_of(&self, node: id::Node) -> Option<id::Incarnation> {
        let at = self
            .peers
            .binary_search_by_key(&node, |peer| peer.beat.node);
        at.ok().map(|at| self.peers[at].beat.incarnation)
    }

    /// Counts any message of a peer as a sign of life.
    pub fn record_message(&mut self, node: id::Node, now: id::Time) {
        if let Ok(at) = self
            .peers
            .binary_search_by_key(&node, |peer| peer.beat.node)
        {
            self.peers[at].received = now;
        }
    }

    /// Returns when a node was heard last.
    #[must_use]
    pub fn last_received(&self, node: id::Node) -> Option<id::Time> {
        let at = self
            .peers
            .binary_search_by_key(&node, |peer| peer.beat.node);
        at.ok().map(|at| self.peers[at].received)
    }

    /// Learns the state of pools.
    pub fn receive_summaries(&mut self, summaries: &[Summary], now: id::Time) {
        for summary in summaries {
            match self
                .summaries
                .binary_search_by_key(&summary.pool, |seen| seen.summary.pool)
            {
                Ok(at) => {
                    let seen = &mut self.summaries[at];
                    let stale = now.saturating_sub(seen.received) > REMOTE_TIMEOUT;
                    if stale || summary.stamp > seen.summary.stamp {
                        *seen = Seen {
                            summary: summary.clone(),
                            received: now,
                        };
                    }
                }
                Err(at) => self.summaries.insert(
                    at,
                    Seen {
                        summary: summary.clone(),
                        received: now,
                    },
                ),
            }
        }
    }

    /// Returns the state of a pool, unless it is too old to mean anything.
    #[must_use]
    pub fn summary(&self, pool: id::Pool, now: id::Time) -> Option<&Summary> {
        let at = self
            .summaries
            .binary_search_by_key(&pool, |seen| seen.summary.pool)
            .ok()?;
        let seen = &self.summaries[at];
        (now.saturating_sub(seen.received) <= REMOTE_TIMEOUT).then_some(&seen.summary)
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
        let silence = if member.place == self.data_centre {
            LOCAL_TIMEOUT
        } else {
            REMOTE_TIMEOUT
        };
        self.peers
            .binary_search_by_key(&node, |peer| peer.beat.node)
            .is_ok_and(|at| {
                let peer = &self.peers[at];
                !peer.beat.leaving && now.saturating_sub(peer.received) < silence
            })
    }

    /// Works out anew who is alive; called at every tick, so that requests only look it up.
    pub fn refresh(&mut self, now: id::Time) {
        if self.vm_list_revision > 0 {
            self.listed.get_or_insert(now);
        }
        let mut live: Vec<(String, Vec<id::Node>)> = Vec::new();
        for member in &self.members {
            let other = member.node != self.local_node && !member.leaving;
            if other && self.is_live(member.node, now) {
                add_live(&mut live, &member.place, member.node);
            }
        }
        if !self.leaving {
            add_live(&mut live, &self.data_centre, self.local_node);
        }
        self.live = live;
    }

    /// Takes all peers for alive after a pause of this process, in which nobody could be heard.
    pub fn assume_all_alive(&mut self, now: id::Time) {
        for peer in &mut self.peers {
            peer.received = now;
        }
        self.refresh(now);
    }

    /// Returns the live nodes of a data centre; this node counts as live in its own.
    #[must_use]
    pub fn live_nodes(&self, place: &str) -> &[id::Node] {
        let at = self
            .live
            .binary_search_by(|(each, _)| each.as_str().cmp(place));
        at.map_or(&[], |at| self.live[at].1.as_slice())
    }

    /// Returns whether this node knows its data centre well enough to own anything there.
    ///
    /// A node that has just started has heard nobody and would take itself for the only one.
    #[must_use]
    pub fn may_own_pools(&self, now: id::Time) -> bool {
        let waited = self
            .listed
            .is_some_and(|listed| now.saturating_sub(listed) >= STARTUP_WAIT);
        let mut others = self.others_in(&self.data_centre);
        waited || (self.listed.is_some() && others.all(|node| self.last_received(node).is_some()))
    }

    /// Returns the number of live nodes in the fleet, at least this one.
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
        rank::first(pool.id, self.live_nodes(&pool.place).iter().copied())
    }

    /// Returns whether this node watches the configuration service for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let live = self.live_nodes(&self.data_centre).iter().copied();
        let order = rank::order(WATCHER_ORDER_SEED ^ digest_name(&self.data_centre), live);
        order
            .iter()
            .take(WATCHERS_PER_DATA_CENTRE)
            .any(|&node| node == self.local_node)
    }

    /// Counts one heartbeat and chooses whom to tell and whom to probe.
    ///
    /// Random peers spread the news, the dead ones included, so that a healed connection is
    /// noticed. Gossip alone leaves a long tail of late news; so the live peer that has been silent
    /// longest is probed, and answers for itself. On average one node of a data centre tells one
    /// node of each other data centre in a round.
    pub fn start_gossip_round(
        &mut self,
        now: id::Time,
        rng: &mut SmallRng,
    ) -> (Vec<id::Node>, Option<id::Node>) {
        self.counter += 1;
        let local: Vec<id::Node> = self.others_in(&self.data_centre).collect();
        let mut told: Vec<id::Node> = local.choose_multiple(rng, GOSSIP_FANOUT).copied().collect();
        let crowd = self.live_nodes(&self.data_centre).len().max(1);
        for place in self.other_data_centres() {
            if rng.random_ratio(1, crowd as u32) {
                let remote: Vec<id::Node> = self.others_in(&place).collect();
                told.extend(remote.choose(rng));
            }
        }
        let probed = self.longest_silent(now).filter(|node| !told.contains(node));
        (told, probed)
    }

    /// Returns the live peer of the own data centre that has been silent longest, if it is late.
    fn longest_silent(&self, now: id::Time) -> Option<id::Node> {
        let is_late = |peer: &&Peer| now.saturating_sub(peer.received) > PROBE_AFTER;
        let is_local = |peer: &&Peer| self.live_nodes(&self.data_centre).contains(&peer.beat.node);
        let late = self.peers.iter().filter(is_late).filter(is_local);
        late.min_by_key(|peer| peer.received)
            .map(|peer| peer.beat.node)
    }

    fn others_in<'a>(&'a self, place: &'a str) -> impl Iterator<Item = id::Node> + 'a {
        self.others()
            .filter(move |member| member.place == place)
            .map(|member| member.node)
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.node != self.local_node)
    }

    fn other_data_centres(&self) -> Vec<String> {
        let mut places: Vec<String> = self
            .others()
            .filter(|member| member.place != self.data_centre)
            .map(|member| member.place.clone())
            .collect();
        places.sort_unstable();
        places.dedup();
        places
    }

    /// Returns the heartbeats to pass on, this node's own first.
    #[must_use]
    pub fn heartbeats(&self) -> Vec<Beat> {
        let mut beats = vec![Beat {
            node: self.local_node,
            incarnation: self.incarnation,
            counter: self.counter,
            leaving: self.leaving,
        }];
        let mut newest: Vec<&Peer> = self.peers.iter().collect();
        newest.sort_by_key(|peer| std::cmp::Reverse(peer.received));
        let is_local = |peer: &Peer| {
            self.member(peer.beat.node)
                .is_some_and(|member| member.place == self.data_centre)
        };
        let local = newest
            .iter()
            .filter(|peer| is_local(peer))
            .take(MAX_LOCAL_HEARTBEATS);
        let remote = newest
            .iter()
            .filter(|peer| !is_local(peer))
            .take(MAX_REMOTE_HEARTBEATS);
        beats.extend(local.chain(remote).map(|peer| peer.beat.clone()));
        beats
    }

    /// Returns the pool summaries to pass on besides this node's own.
    #[must_use]
    pub fn summaries(&self, snapshot: &Snapshot, now: id::Time) -> Vec<Summary> {
        let mut newest: Vec<&Seen> = self
            .summaries
            .iter()
            .filter(|seen| now.saturating_sub(seen.received) < LOCAL_TIMEOUT)
            .filter(|seen| {
                snapshot
                    .pool(seen.summary.pool)
                    .is_some_and(|pool| pool.place == self.data_centre)
            })
            .collect();
        newest.sort_by_key(|seen| std::cmp::Reverse(seen.received));
        newest
            .into_iter()
            .take(MAX_SUMMARIES)
            .map(|seen| seen.summary.clone())
            .collect()
    }

    /// Drops what is known of pools that left the configuration.
    pub fn remove_unconfigured_pools(&mut self, snapshot: &Snapshot) {
        self.summaries
            .retain(|seen| snapshot.pool(seen.summary.pool).is_some());
    }
}

fn add_live(live: &mut Vec<(String, Vec<id::Node>)>, place: &str, node: id::Node) {
    match live.binary_search_by(|(each, _)| each.as_str().cmp(place)) {
        Ok(at) => live[at].1.push(node),
        Err(at) => live.insert(at, (place.to_owned(), vec![node])),
    }
}
