//! Which peers are alive, what they have sent where, and what to tell them.
//!
//! A node tells every live peer of its own data centre what it has at each endpoint, soon after it
//! changes. For each other data centre the nodes take turns: every node there hears from one node
//! here in each round, which tells the sum for the whole data centre. So a node's traffic grows with
//! its data centre and with the number of data centres, not with the fleet.
//!
//! Nodes find each other by the seeds of their settings and by the members that beats name. No node
//! waits for another: one that knows nobody acts alone.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Key, Node, Place, Prefix, endpoint::Load};
use crate::{id::Time, rank};

/// Longest time between two beats to a peer of the own data centre.
const QUIET: Duration = Duration::from_millis(400);

/// Shortest time between two beats to a peer of the own data centre.
const BUSY: Duration = Duration::from_millis(25);

/// Time between two rounds of beats to other data centres.
const ROUND: Duration = Duration::from_millis(250);

/// Nodes of a data centre for which a round takes that long; more take longer.
const ROUND_NODES: u32 = 4;

/// Silence after which a peer of the own data centre counts as dead.
const DEAD: Duration = Duration::from_millis(1_500);

/// Silence after which what another data centre told is no longer believed.
const APART: Duration = Duration::from_secs(3);

/// Time between two tries to reach a seed or a member that is not alive, in the first seconds.
const SEEK: Duration = Duration::from_millis(250);

/// The same later on.
const SEEK_LATER: Duration = Duration::from_secs(2);

/// Time for which a node seeks often.
const YOUNG: Duration = Duration::from_secs(5);

/// Silence after which a member that cannot be reached is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Time in which a node that starts hears the peers of its data centre.
const ACQUAINTED: Duration = Duration::from_millis(600);

/// Time for which the largest size of the fleet is remembered.
const SIZE_MEMORY: Duration = Duration::from_secs(30);

/// Rounds in which news are told to other data centres, because some beats are lost.
const NEWS_ROUNDS: u32 = 2;

/// Time for which news are told in the own data centre, for the same reason.
const NEWS_NEAR: Duration = Duration::from_millis(120);

/// News in one beat, so that it fits a datagram.
const MOST_NEWS: usize = 40;

/// Loads in one beat, so that it fits a datagram.
const MOST_LOADS: usize = 40;

/// Members in one beat, so that it fits a datagram.
const MOST_MEMBERS: usize = 24;

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
    pub fn new(me: Node, place: Place, incarnation: u64, seeds: &[Node], now: Time) -> Self {
        let mut fleet = Self {
            me,
            place,
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
        self.round_due = Time::ZERO;
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
        let order = rank::order(u64::from(key), numbers);
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

    /// Returns a node that is alive, the own data centre's first, for a question.
    #[must_use]
    pub fn someone(&self, turn: usize, now: Time) -> Option<Node> {
        let mut members = self.members(now);
        members.sort_by_key(|&(node, place)| (place != self.place, node));
        let near = members
            .iter()
            .filter(|(_, place)| *place == self.place)
            .count();
        let choices = if near > 0 { near } else { members.len() };
        let pool = members.get(..choices).filter(|pool| !pool.is_empty())?;
        Some(pool[turn % pool.len()].0)
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

    /// Takes in a beat.
    pub fn hear(&mut self, beat: &beat::Beat, now: Time) -> Heard {
        let node = Node::from(beat.node);
        let Some(at) = self.meet(node, Some(beat.place), now) else {
            return Heard::default();
        };
        let peer = &mut self.peers[at];
        let restarted = peer.incarnation != beat.incarnation;
        if !restarted && beat.sequence <= peer.sequence {
            return Heard::default();
        }
        let was_live = self.is_live(&self.peers[at], now);
        let peer = &mut self.peers[at];
        peer.incarnation = beat.incarnation;
        peer.sequence = beat.sequence;
        peer.heard = Some(now);
        peer.known = now;
        peer.leaving = beat.leaving;
        let mut heard = Heard {
            joined: !was_live && !beat.leaving,
            answer: beat.joining,
            ..Heard::default()
        };
        self.hear_loads(at, beat, now, &mut heard);
        self.hear_members(beat, now);
        self.note_size(now);
        heard
    }

    fn hear_loads(&mut self, at: usize, beat: &beat::Beat, now: Time, heard: &mut Heard) {
        let loads: Vec<(Key, Load)> = beat.loads.iter().map(load).collect();
        heard.added.clone_from(&loads);
        if beat.place == self.place {
            heard.removed = std::mem::replace(&mut self.peers[at].loads, loads);
            return;
        }
        match self
            .remotes
            .iter_mut()
            .find(|each| each.place == beat.place)
        {
            Some(remote) => {
                remote.heard = now;
                heard.removed = std::mem::replace(&mut remote.loads, loads);
            }
            None => self.remotes.push(Remote {
                place: beat.place,
                heard: now,
                loads,
            }),
        }
    }

    fn hear_members(&mut self, beat: &beat::Beat, now: Time) {
        for member in &beat.members {
            let Some(at) = self.meet(Node::from(member.node), Some(member.place), now) else {
                continue;
            };
            // A data centre vouches for its own nodes; the others are only hearsay.
            if member.place == beat.place && beat.place != self.place {
                self.peers[at].heard = Some(now);
                self.peers[at].known = now;
                self.peers[at].leaving = false;
            }
        }
    }

    fn note_size(&mut self, now: Time) {
        let size = 1 + self.members(now).len();
        remember_most(&mut self.sizes, size, now);
        let here = self.live(self.place, now).len();
        remember_most(&mut self.here, here, now);
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
        let far = self.round_time(now) * NEWS_ROUNDS;
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

    /// Returns whether any beat is due.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.round_due || now >= self.quiet_due || (self.dirty && now >= self.local_due)
    }

    /// Returns the beats that are due.
    pub fn beats(&mut self, status: &Status, now: Time) -> Vec<(Node, beat::Beat)> {
        let mut beats = Vec::new();
        if now >= self.quiet_due || (self.dirty && now >= self.local_due) {
            self.beat_locally(status, now, &mut beats);
        }
        if now >= self.round_due {
            self.beat_remotely(status, now, &mut beats);
            self.seek(status, now, &mut beats);
        }
        beats
    }

    /// Returns the answer to a peer that joins.
    pub fn answer(&mut self, node: Node, status: &Status, now: Time) -> beat::Beat {
        let near = self
            .find(node)
            .is_ok_and(|at| self.peers[at].place == Some(self.place));
        self.compose(status, near, false, now)
    }

    fn beat_locally(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        self.dirty = false;
        self.local_due = now + BUSY;
        self.quiet_due = now + QUIET;
        for node in self.live(self.place, now) {
            if node != self.me {
                beats.push((node, self.compose(status, true, false, now)));
            }
        }
    }

    /// The sum of many nodes changes less from round to round, and costs more to tell them all.
    fn round_time(&self, now: Time) -> Duration {
        let nodes = self.live(self.place, now).len() as u32;
        ROUND * nodes.max(1).div_ceil(ROUND_NODES)
    }

    /// The n-th node of this data centre tells every n-th node of each other one, and the
    /// assignment shifts with each round.
    fn beat_remotely(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        let here = self.live(self.place, now);
        let count = here.len().max(1);
        self.round_due = now + self.round_time(now);
        self.round += 1;
        let mine = here.binary_search(&self.me).unwrap_or(0);
        let mut places: Vec<Place> = self.remotes.iter().map(|each| each.place).collect();
        places.sort_unstable();
        for place in places {
            let there = self.live(place, now);
            for (at, &node) in there.iter().enumerate() {
                if at % count == (mine + self.round) % count {
                    beats.push((node, self.compose(status, false, false, now)));
                }
            }
        }
    }

    /// Seeds and members that are not heard are asked to answer, seldom after the first seconds.
    fn seek(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        if self.leaving {
            return;
        }
        let young = now.saturating_sub(self.started) < YOUNG;
        let pause = if young { SEEK } else { SEEK_LATER };
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            let due = peer
                .told
                .is_none_or(|told| now.saturating_sub(told) >= pause);
            // Nodes of other data centres answer for each other.
            let needed = match peer.place {
                Some(place) if place != self.place => {
                    !self.remotes.iter().any(|each| each.place == place)
                }
                _ => true,
            };
            if due && needed && !peer.leaving && !self.is_live(peer, now) {
                let near = peer.place == Some(self.place);
                let node = peer.node;
                self.peers[at].told = Some(now);
                beats.push((node, self.compose(status, near, true, now)));
            }
        }
    }

    fn compose(&mut self, status: &Status, near: bool, joining: bool, now: Time) -> beat::Beat {
        self.sequence += 1;
        let recent = |news: &&News| now.saturating_sub(news.learnt) < NEWS_NEAR;
        let news = self.news.iter().rev();
        let holdings = news
            .filter(|news| if near { recent(news) } else { news.own })
            .take(MOST_NEWS)
            .map(|news| beat::Holding {
                endpoint: news.endpoint,
                prefix: news.prefix,
            });
        beat::Beat {
            node: self.me.into(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            place: self.place,
            leaving: self.leaving,
            joining,
            policy: status.policy,
            roster: status.roster,
            members: self.introduce(joining || !near, now),
            loads: self.sum(status, near),
            holdings: holdings.collect(),
            health: status.health.clone(),
            strikes: status.strikes.clone(),
        }
    }

    /// Names the live nodes; peers of the same data centre know each other after the first beat.
    fn introduce(&self, fully: bool, now: Time) -> Vec<beat::Member> {
        if !fully && !self.round.is_multiple_of(8) {
            return Vec::new();
        }
        let mut members = self.members(now);
        if !self.leaving {
            members.push((self.me, self.place));
        }
        members.sort_by_key(|&(node, place)| (place != self.place, node));
        let named = members.into_iter().take(MOST_MEMBERS);
        named
            .map(|(node, place)| beat::Member {
                node: node.into(),
                place,
            })
            .collect()
    }

    fn sum(&self, status: &Status, near: bool) -> Vec<beat::Load> {
        let mut loads = status.loads.clone();
        if !near {
            let peers = self
                .peers
                .iter()
                .filter(|peer| peer.place == Some(self.place));
            loads.extend(peers.flat_map(|peer| peer.loads.iter().copied()));
            loads.sort_unstable_by_key(|(key, _)| *key);
            loads.dedup_by(|(other, more), (key, load)| {
                let same = other == key;
                if same {
                    load.add(*more);
                }
                same
            });
        }
        if loads.len() > MOST_LOADS {
            loads.sort_unstable_by_key(|(_, load)| std::cmp::Reverse(load.unread));
            loads.truncate(MOST_LOADS);
        }
        loads
            .iter()
            .map(|(key, load)| beat::Load {
                endpoint: *key,
                running: load.running,
                unread: load.unread,
                urgent: load.urgent,
            })
            .collect()
    }
}

/// Keeps what is needed to know the largest size of the last while.
fn remember_most(sizes: &mut Vec<(Time, usize)>, size: usize, now: Time) {
    sizes.retain(|&(at, old)| now.saturating_sub(at) < SIZE_MEMORY && old > size);
    sizes.push((now, size));
}

fn load(told: &beat::Load) -> (Key, Load) {
    let load = Load {
        running: told.running,
        unread: told.unread,
        urgent: told.urgent,
    };
    (told.endpoint, load)
}
