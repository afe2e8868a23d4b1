//! Which peers are alive, what they have sent where, and what to tell them.
//!
//! A node tells every live peer of its own data centre what it has at each endpoint, soon after it
//! changes. For each other data centre the nodes take turns: every node there hears from one node
//! here in each round, which tells the sum for the whole data centre. So a node's traffic grows with
//! its data centre and with the number of data centres, not with the fleet.
//!
//! Nodes find each other by the seeds of their settings and by the members that beats name. No node
//! waits for another: one that knows nobody acts alone.

mod hearing;
mod telling;

use std::time::Duration;

use peridotdeck_wire::beat;
use telling::round_time;

use super::{Key, Node, Place, Prefix, endpoint::Load};
use crate::{id::Time, rendezvous};

/// Silence after which a peer of the own data centre counts as dead.
const DEAD: Duration = Duration::from_millis(1_500);

/// Silence after which what another data centre told is no longer believed.
const APART: Duration = Duration::from_secs(3);

/// Time for which a node seeks often.
const YOUNG: Duration = Duration::from_secs(5);

/// Silence after which a member that cannot be reached is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Time in which a node that starts hears the peers of its data centre.
const ACQUAINTED: Duration = Duration::from_millis(600);

/// Rounds in which news are told to other data centres, because some beats are lost.
const NEWS_ROUNDS: u32 = 2;

/// Time for which news are told in the own data centre, for the same reason.
const NEWS_NEAR: Duration = Duration::from_millis(120);

/// A peer.
#[derive(Clone, Debug)]
struct Peer {
    node: Node,
    place: Option<Place>,
    incarnation: u64,
    sequence: u64,
    heard: Option<Time>,
    known: Time,
    told: Option<Time>,
    leaving: bool,
    loads: Vec<(Key, Load)>,
}

/// What another data centre told of its nodes together.
#[derive(Clone, Debug)]
struct Remote {
    place: Place,
    heard: Time,
    loads: Vec<(Key, Load)>,
}

/// A prompt part that an endpoint has read, to be told to peers.
///
/// Who sent it there tells the own data centre and one node in each other one; that node tells its
/// peers.
#[derive(Clone, Copy, Debug)]
struct News {
    prefix: Prefix,
    endpoint: Key,
    learnt: Time,
    /// Whether this node sent it there, rather than heard of it from another data centre.
    own: bool,
}

/// What this node says of itself in a beat.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Revision of the configuration.
    pub policy: u64,
    /// Revision of the endpoint list.
    pub roster: u64,
    /// Own work at each endpoint that has any.
    pub loads: Vec<(Key, Load)>,
    /// Own view of the endpoints' health.
    pub health: Vec<beat::Health>,
    /// Crashes that peers may not have heard of.
    pub strikes: Vec<beat::Strike>,
}

/// What a beat has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Work that peers have at endpoints, as added and as taken away.
    pub added: Vec<(Key, Load)>,
    /// See `added`.
    pub removed: Vec<(Key, Load)>,
    /// Whether the peer came to life with this beat.
    pub joined: bool,
    /// Whether the sender wants an answer.
    pub answer: bool,
}

/// All nodes, as this one knows them.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Node,
    place: Place,
    /// Other data centres of the region, which share its endpoints more than others do.
    siblings: Vec<Place>,
    incarnation: u64,
    started: Time,
    sequence: u64,
    leaving: bool,
    seeds: Vec<Node>,
    peers: Vec<Peer>,
    remotes: Vec<Remote>,
    news: Vec<News>,
    dirty: bool,
    local_due: Time,
    quiet_due: Time,
    round_due: Time,
    round: usize,
    sizes: Vec<(Time, usize)>,
    here: Vec<(Time, usize)>,
}

impl Fleet {
    /// Starts a node that knows only its seeds.
    #[must_use]
    pub fn new(
        me: Node,
        place: Place,
        siblings: Vec<Place>,
        incarnation: u64,
        seeds: &[Node],
        now: Time,
    ) -> Self {
        let mut fleet = Self {
            me,
            place,
            siblings,
            incarnation,
            started: now,
            sequence: 0,
            leaving: false,
            seeds: Vec::new(),
            peers: Vec::new(),
            remotes: Vec::new(),
            news: Vec::new(),
            dirty: true,
            local_due: now,
            quiet_due: now,
            round_due: now,
            round: 0,
            sizes: Vec::new(),
            here: Vec::new(),
        };
        fleet.set_seeds(seeds, now);
        fleet
    }

    /// Follows a change of the seeds.
    pub fn set_seeds(&mut self, seeds: &[Node], now: Time) {
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|&node| node != self.me)
            .collect();
        for node in self.seeds.clone() {
            self.meet(node, None, now);
        }
    }

    /// Returns whether this node shuts down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Starts to leave: peers take this node for gone with its next beat.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.dirty = true;
        self.hasten_round();
    }

    /// Notes that what this node says of itself has changed.
    pub fn touch(&mut self) {
        self.dirty = true;
    }

    /// Notes a prompt part that an endpoint has read, as this node or another data centre knows.
    pub fn tell(&mut self, prefix: Prefix, endpoint: Key, own: bool, now: Time) {
        self.news.push(News {
            prefix,
            endpoint,
            learnt: now,
            own,
        });
        self.dirty = true;
    }

    /// Returns the live nodes of a data centre, this one included, in order.
    #[must_use]
    pub fn live(&self, place: Place, now: Time) -> Vec<Node> {
        let peers = self.peers.iter().filter(|peer| peer.place == Some(place));
        let mut nodes: Vec<Node> = peers
            .filter(|peer| self.is_live(peer, now))
            .map(|peer| peer.node)
            .collect();
        if place == self.place
            && !self.leaving
            && let Err(at) = nodes.binary_search(&self.me)
        {
            nodes.insert(at, self.me);
        }
        nodes
    }

    /// Returns whether this node is one of the first few for a key among the live nodes of its data
    /// centre.
    #[must_use]
    pub fn is_among(&self, count: usize, key: Key, now: Time) -> bool {
        let nodes = self.live(self.place, now);
        let numbers = nodes.iter().map(|&node| u32::from(node));
        let order = rendezvous::order(u64::from(key), numbers);
        order
            .iter()
            .take(count)
            .any(|&node| node == u32::from(self.me))
    }

    /// Returns whether this node hears so few peers of its data centre that others may act as it does
    /// without hearing it.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        let here = self.live(self.place, now).len();
        let most = self.here.iter().map(|(_, size)| *size).max().unwrap_or(1);
        2 * here < most || now.saturating_sub(self.started) < ACQUAINTED
    }

    /// Returns the most nodes that were alive lately.
    ///
    /// A node that has just started has heard of few and assumes two in each data centre.
    #[must_use]
    pub fn size(&self, places: usize, now: Time) -> usize {
        let seen = self.sizes.iter().map(|(_, size)| *size).max().unwrap_or(1);
        if now.saturating_sub(self.started) < YOUNG {
            seen.max(2 * places)
        } else {
            seen
        }
    }

    /// Returns the nodes that are alive now with their data centres, without this one.
    #[must_use]
    pub fn members(&self, now: Time) -> Vec<(Node, Place)> {
        let live = self.peers.iter().filter(|peer| self.is_live(peer, now));
        live.filter_map(|peer| Some((peer.node, peer.place?)))
            .collect()
    }

    /// Returns the work that all other nodes together have at an endpoint.
    #[must_use]
    pub fn load(&self, key: Key) -> Load {
        let local = self.peers.iter().map(|peer| &peer.loads);
        let tables = local.chain(self.remotes.iter().map(|remote| &remote.loads));
        let mut sum = Load::default();
        for (_, load) in tables.flatten().filter(|(each, _)| *each == key) {
            sum.add(*load);
        }
        sum
    }

    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        !peer.leaving && self.is_heard(peer, now)
    }

    fn is_heard(&self, peer: &Peer, now: Time) -> bool {
        let limit = if peer.place == Some(self.place) {
            DEAD
        } else {
            APART
        };
        let recent = |at: Time| now.saturating_sub(at) < limit;
        peer.heard.is_some_and(recent)
    }

    fn find(&self, node: Node) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&node, |peer| peer.node)
    }

    fn meet(&mut self, node: Node, place: Option<Place>, now: Time) -> Option<usize> {
        if node == self.me {
            return None;
        }
        let at = match self.find(node) {
            Ok(at) => at,
            Err(at) => {
                let peer = Peer {
                    node,
                    place,
                    incarnation: 0,
                    sequence: 0,
                    heard: None,
                    known: now,
                    told: None,
                    leaving: false,
                    loads: Vec::new(),
                };
                self.peers.insert(at, peer);
                at
            }
        };
        if place.is_some() {
            self.peers[at].place = place;
        }
        Some(at)
    }

    /// Forgets who is gone and returns the work that is no longer known of, and who fell silent.
    pub fn expire(&mut self, now: Time) -> (Vec<(Key, Load)>, Vec<Node>) {
        let mut removed = Vec::new();
        let mut silent = Vec::new();
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            if peer.heard.is_some() && !self.is_heard(peer, now) {
                let peer = &mut self.peers[at];
                removed.append(&mut peer.loads);
                peer.heard = None;
                silent.push(peer.node);
            }
        }
        for mut remote in self
            .remotes
            .extract_if(.., |remote| now.saturating_sub(remote.heard) >= APART)
        {
            removed.append(&mut remote.loads);
        }
        let seeds = &self.seeds;
        self.peers
            .retain(|peer| seeds.contains(&peer.node) || now.saturating_sub(peer.known) < FORGET);
        let here = self.live(self.place, now).len();
        let far = round_time(here) * NEWS_ROUNDS;
        self.news.retain(|news| {
            let told = if news.own {
                far.max(NEWS_NEAR)
            } else {
                NEWS_NEAR
            };
            now.saturating_sub(news.learnt) < told
        });
        (removed, silent)
    }
}
