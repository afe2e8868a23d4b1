//! What a node tells its peers, and when.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Fleet, NEWS_NEAR, News, Status, YOUNG};
use crate::{
    dispatch::{Key, Node, Place},
    id::Time,
};

/// Longest time between two beats to a peer of the own data centre.
const QUIET: Duration = Duration::from_millis(400);

/// Shortest time between two beats to a peer of the own data centre.
const BUSY: Duration = Duration::from_millis(25);

/// Nodes of a data centre that are told that often; more are told less often.
const BUSY_NODES: u32 = 10;

/// Time between two rounds of beats to other data centres.
const ROUND: Duration = Duration::from_millis(250);

/// Nodes of a data centre for which a round takes that long; more take longer.
const ROUND_NODES: u32 = 4;

/// Rounds to data centres of the same region for each round to others: their callers use the same
/// endpoints, and the way is short.
const SIBLING_ROUNDS: usize = 4;

/// Time between two tries to reach a seed or a member that is not alive, in the first seconds.
const SEEK: Duration = Duration::from_millis(250);

/// The same later on.
const SEEK_LATER: Duration = Duration::from_secs(2);

/// News in one beat, so that it fits a datagram.
const MOST_NEWS: usize = 40;

/// Loads in one beat, so that it fits a datagram; more need further beats.
const MOST_LOADS: usize = 40;

/// Members in one beat, so that it fits a datagram.
const MOST_MEMBERS: usize = 24;

impl Fleet {
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
    pub fn reply(&mut self, node: Node, status: &Status, now: Time) -> beat::Beat {
        let near = self
            .find(node)
            .is_ok_and(|at| self.peers[at].place == Some(self.place));
        let beat = self.compose(status, near, false, now).swap_remove(0);
        self.number(beat)
    }

    fn beat_locally(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        self.dirty = false;
        let nodes = self.live_nodes(self.place, now);
        self.local_due = now + BUSY * (nodes.len() as u32).max(1).div_ceil(BUSY_NODES);
        self.quiet_due = now + QUIET;
        let peers: Vec<Node> = nodes.into_iter().filter(|&node| node != self.me).collect();
        let parts = self.compose(status, true, false, now);
        self.send(&parts, &peers, beats);
    }

    /// The n-th node of this data centre tells every n-th node of each other one, and the
    /// assignment shifts with each round. Data centres of the region are told in further rounds.
    fn beat_remotely(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        let here = self.live_nodes(self.place, now);
        let count = here.len().max(1);
        self.round_due = now + round_time(here.len()) / self.rounds() as u32;
        self.round += 1;
        let mine = here.binary_search(&self.me).unwrap_or(0);
        let mut places: Vec<Place> = self.remotes.iter().map(|each| each.place).collect();
        places.sort_unstable();
        let mut peers = Vec::new();
        for place in places {
            let Some(turn) = self.turn(place) else {
                continue;
            };
            let there = self.live_nodes(place, now).into_iter();
            peers.extend(there.skip((mine + turn) % count).step_by(count));
        }
        let parts = self.compose(status, false, false, now);
        self.send(&parts, &peers, beats);
    }

    /// Makes a round due that tells all other data centres.
    pub(super) fn hasten_round(&mut self) {
        let rounds = self.rounds();
        self.round = (self.round / rounds + 1) * rounds - 1;
        self.round_due = Time::ZERO;
    }

    /// Returns in how many rounds all other data centres are told once.
    fn rounds(&self) -> usize {
        if self.siblings.is_empty() {
            1
        } else {
            SIBLING_ROUNDS
        }
    }

    /// Returns how often a data centre has had its turn, if this is one.
    fn turn(&self, place: Place) -> Option<usize> {
        if self.siblings.contains(&place) {
            return Some(self.round);
        }
        let rounds = self.rounds();
        let due = self.round.is_multiple_of(rounds);
        due.then(|| self.round / rounds)
    }

    /// Adds the same beats for several peers; each copy has a number of its own.
    fn send(&mut self, parts: &[beat::Beat], peers: &[Node], beats: &mut Vec<(Node, beat::Beat)>) {
        for node in peers {
            for part in parts {
                let copy = self.number(part.clone());
                beats.push((*node, copy));
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
                let parts = self.compose(status, near, true, now);
                self.send(&parts, &[node], beats);
            }
        }
    }

    /// Gives a beat the next number, by which peers tell an old one.
    fn number(&mut self, mut beat: beat::Beat) -> beat::Beat {
        self.sequence += 1;
        beat.sequence = self.sequence;
        beat
    }

    /// Returns what this node says now, which has no number yet: a whole beat, and beats with the
    /// loads that it has no room for.
    fn compose(&self, status: &Status, near: bool, joining: bool, now: Time) -> Vec<beat::Beat> {
        let loads = self.sum(status, near);
        let frame = self.frame(status, joining);
        let part = |loads: &[beat::Load]| beat::Beat {
            last: loads.last().map_or(Key::MAX, |load| load.endpoint),
            loads: loads.to_vec(),
            ..frame.clone()
        };
        let mut beats: Vec<beat::Beat> = loads.chunks(MOST_LOADS).map(part).collect();
        if beats.is_empty() {
            beats.push(frame);
        }
        // Together they cover every endpoint.
        for at in 1..beats.len() {
            beats[at].first = beats[at - 1].last.saturating_add(1);
        }
        if let Some(beat) = beats.last_mut() {
            beat.last = Key::MAX;
        }
        let whole = &mut beats[0];
        whole.members = self.introduce(joining || !near, now);
        whole.holdings = self.holdings(near, now);
        whole.health.clone_from(&status.health);
        whole.strikes.clone_from(&status.strikes);
        beats
    }

    /// Returns a beat that tells who speaks and what is in force, and that nothing has any load.
    fn frame(&self, status: &Status, joining: bool) -> beat::Beat {
        beat::Beat {
            node: self.me.into(),
            incarnation: self.incarnation,
            sequence: 0,
            place: self.place,
            leaving: self.leaving,
            joining,
            policy: status.policy,
            roster: status.roster,
            members: Vec::new(),
            first: 0,
            last: Key::MAX,
            loads: Vec::new(),
            holdings: Vec::new(),
            health: Vec::new(),
            strikes: Vec::new(),
        }
    }

    fn holdings(&self, near: bool, now: Time) -> Vec<beat::Holding> {
        let recent = |news: &&News| now.saturating_sub(news.learnt) < NEWS_NEAR;
        let news = self.news.iter().rev();
        let told = news.filter(|news| if near { recent(news) } else { news.own });
        told.take(MOST_NEWS)
            .map(|news| beat::Holding {
                endpoint: news.endpoint,
                prefix: news.prefix,
            })
            .collect()
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

/// The sum of many nodes changes less from round to round, and costs more to tell them all.
pub(super) fn round_time(nodes: usize) -> Duration {
    ROUND * (nodes as u32).max(1).div_ceil(ROUND_NODES)
}
