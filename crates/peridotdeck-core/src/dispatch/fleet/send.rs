//! Composition and schedule of the heartbeats that a node sends.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Announcement, Fleet, LOCAL_ANNOUNCE, STARTUP, Status};
use crate::{
    dispatch::{DataCentre, Key, Node},
    id::Time,
};

/// Longest time between two heartbeats to a peer of the same data centre.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two heartbeats to a peer of the same data centre.
///
/// It is a multiple in data centres of more than [`MIN_INTERVAL_NODES`] nodes.
const MIN_LOCAL_INTERVAL: Duration = Duration::from_millis(25);

/// Nodes of a data centre for each multiple of [`MIN_LOCAL_INTERVAL`].
const MIN_INTERVAL_NODES: u32 = 10;

/// Time between two rounds of heartbeats to other data centres.
///
/// It is a multiple in data centres of more than [`ROUND_NODES`] nodes.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Nodes of a data centre for each multiple of [`ROUND_INTERVAL`].
const ROUND_NODES: u32 = 4;

/// Rounds to data centres of the same region for each round to other regions.
///
/// Callers in the region use the same endpoints, and the network path is short.
const SIBLING_ROUNDS: usize = 4;

/// Time between two probes of a seed or member that is not live, during the startup time.
const STARTUP_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two probes of a seed or member that is not live, after the startup time.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Most cached prefixes in one heartbeat, so that it fits a datagram.
const MAX_HOLDINGS: usize = 40;

/// Most loads in one heartbeat, so that it fits a datagram; more need further heartbeats.
const MAX_LOADS: usize = 40;

/// Most members in one heartbeat, so that it fits a datagram.
const MAX_MEMBERS: usize = 24;

impl Fleet {
    /// Returns whether any heartbeat is due.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.remote_due || now >= self.keepalive_due || (self.dirty && now >= self.local_due)
    }

    /// Returns the heartbeats that are due, with their receivers.
    pub fn beats(&mut self, status: &Status, now: Time) -> Vec<(Node, beat::Beat)> {
        let mut beats = Vec::new();
        if now >= self.keepalive_due || (self.dirty && now >= self.local_due) {
            self.send_local(status, now, &mut beats);
        }
        if now >= self.remote_due {
            self.send_remote(status, now, &mut beats);
            self.probe_peers(status, now, &mut beats);
        }
        beats
    }

    /// Returns the heartbeat that replies to a joining peer.
    pub fn reply(&mut self, node: Node, status: &Status, now: Time) -> beat::Beat {
        let local = self
            .find_peer(node)
            .is_ok_and(|index| self.peers[index].data_centre == Some(self.data_centre));
        let beat = self.compose(status, local, false, now).swap_remove(0);
        self.assign_sequence(beat)
    }

    fn send_local(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        self.dirty = false;
        let nodes = self.live_nodes(self.data_centre, now);
        self.local_due =
            now + MIN_LOCAL_INTERVAL * (nodes.len() as u32).max(1).div_ceil(MIN_INTERVAL_NODES);
        self.keepalive_due = now + KEEPALIVE_INTERVAL;
        let peers: Vec<Node> = nodes.into_iter().filter(|&node| node != self.me).collect();
        let parts = self.compose(status, true, false, now);
        self.push_beats(&parts, &peers, beats);
    }

    /// Adds the heartbeats of a round to other data centres.
    ///
    /// The live nodes there are dealt out in turn to the nodes of this data centre, and the
    /// assignment shifts with each round. Data centres of the same region take part in every round,
    /// others only in one of [`SIBLING_ROUNDS`].
    fn send_remote(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        let here = self.live_nodes(self.data_centre, now);
        let count = here.len().max(1);
        self.remote_due = now + round_time(here.len()) / self.rounds() as u32;
        self.round += 1;
        let own_index = here.binary_search(&self.me).unwrap_or(0);
        let mut data_centres: Vec<DataCentre> = self
            .remotes
            .iter()
            .map(|remote| remote.data_centre)
            .collect();
        data_centres.sort_unstable();
        let mut peers = Vec::new();
        for data_centre in data_centres {
            let Some(turn) = self.turn(data_centre) else {
                continue;
            };
            let remote_nodes = self.live_nodes(data_centre, now).into_iter();
            peers.extend(remote_nodes.skip((own_index + turn) % count).step_by(count));
        }
        let parts = self.compose(status, false, false, now);
        self.push_beats(&parts, &peers, beats);
    }

    /// Makes a round to all other data centres due now.
    pub(super) fn hasten_remote(&mut self) {
        let rounds = self.rounds();
        self.round = (self.round / rounds + 1) * rounds - 1;
        self.remote_due = Time::ZERO;
    }

    /// Returns the number of rounds in which every other data centre takes part at least once.
    fn rounds(&self) -> usize {
        if self.siblings.is_empty() {
            1
        } else {
            SIBLING_ROUNDS
        }
    }

    /// Returns how many rounds a data centre has had, or nothing if this round skips it.
    fn turn(&self, data_centre: DataCentre) -> Option<usize> {
        if self.siblings.contains(&data_centre) {
            return Some(self.round);
        }
        let rounds = self.rounds();
        let due = self.round.is_multiple_of(rounds);
        due.then(|| self.round / rounds)
    }

    /// Adds the same heartbeats for several peers; each copy has its own sequence number.
    fn push_beats(
        &mut self,
        parts: &[beat::Beat],
        peers: &[Node],
        beats: &mut Vec<(Node, beat::Beat)>,
    ) {
        for node in peers {
            for part in parts {
                let copy = self.assign_sequence(part.clone());
                beats.push((*node, copy));
            }
        }
    }

    /// Adds heartbeats that request a reply from seeds and members that are not live.
    fn probe_peers(&mut self, status: &Status, now: Time, beats: &mut Vec<(Node, beat::Beat)>) {
        if self.leaving {
            return;
        }
        let starting = now.saturating_sub(self.started) < STARTUP;
        let interval = if starting {
            STARTUP_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            let due = peer
                .probed
                .is_none_or(|probed| now.saturating_sub(probed) >= interval);
            // One live node of another data centre lists the others.
            let needed = match peer.data_centre {
                Some(data_centre) if data_centre != self.data_centre => !self
                    .remotes
                    .iter()
                    .any(|remote| remote.data_centre == data_centre),
                _ => true,
            };
            if due && needed && !peer.leaving && !self.is_live(peer, now) {
                let local = peer.data_centre == Some(self.data_centre);
                let node = peer.node;
                self.peers[index].probed = Some(now);
                let parts = self.compose(status, local, true, now);
                self.push_beats(&parts, &[node], beats);
            }
        }
    }

    /// Sets the next sequence number, by which peers recognise outdated heartbeats.
    fn assign_sequence(&mut self, mut beat: beat::Beat) -> beat::Beat {
        self.sequence += 1;
        beat.sequence = self.sequence;
        beat
    }

    /// Returns the heartbeats that report the state of this node, without sequence numbers.
    ///
    /// The first one is complete, except that loads beyond [`MAX_LOADS`] are in further ones.
    fn compose(&self, status: &Status, local: bool, joining: bool, now: Time) -> Vec<beat::Beat> {
        let loads = self.reported_loads(status, local);
        let empty = self.empty_beat(status, joining);
        let part = |loads: &[beat::Load]| beat::Beat {
            last: loads.last().map_or(Key::MAX, |load| load.endpoint),
            loads: loads.to_vec(),
            ..empty.clone()
        };
        let mut beats: Vec<beat::Beat> = loads.chunks(MAX_LOADS).map(part).collect();
        if beats.is_empty() {
            beats.push(empty);
        }
        // The ranges of all heartbeats together cover every endpoint key.
        for index in 1..beats.len() {
            beats[index].first = beats[index - 1].last.saturating_add(1);
        }
        if let Some(beat) = beats.last_mut() {
            beat.last = Key::MAX;
        }
        let first = &mut beats[0];
        first.members = self.listed_members(joining || !local, now);
        first.holdings = self.holdings(local, now);
        first.health.clone_from(&status.health);
        first.strikes.clone_from(&status.strikes);
        beats
    }

    /// Returns a heartbeat with the sender and the revisions in force that reports no load at all.
    fn empty_beat(&self, status: &Status, joining: bool) -> beat::Beat {
        beat::Beat {
            node: self.me.into(),
            incarnation: self.incarnation,
            sequence: 0,
            place: self.data_centre,
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

    fn holdings(&self, local: bool, now: Time) -> Vec<beat::Holding> {
        let recent =
            |announcement: &&Announcement| now.saturating_sub(announcement.added) < LOCAL_ANNOUNCE;
        let announcements = self.announcements.iter().rev();
        let chosen = announcements.filter(|announcement| {
            if local {
                recent(announcement)
            } else {
                announcement.own
            }
        });
        chosen
            .take(MAX_HOLDINGS)
            .map(|announcement| beat::Holding {
                endpoint: announcement.endpoint,
                prefix: announcement.prefix,
            })
            .collect()
    }

    /// Returns the live nodes that a heartbeat lists, those of this data centre first.
    ///
    /// Peers of the same data centre know each other after the first heartbeat, so the list is sent
    /// to them only in one of eight rounds.
    fn listed_members(&self, complete: bool, now: Time) -> Vec<beat::Member> {
        if !complete && !self.round.is_multiple_of(8) {
            return Vec::new();
        }
        let mut members = self.members(now);
        if !self.leaving {
            members.push((self.me, self.data_centre));
        }
        members.sort_by_key(|&(node, data_centre)| (data_centre != self.data_centre, node));
        let named = members.into_iter().take(MAX_MEMBERS);
        named
            .map(|(node, data_centre)| beat::Member {
                node: node.into(),
                place: data_centre,
            })
            .collect()
    }

    /// Returns this node's loads, or for other data centres the sum of the whole data centre.
    fn reported_loads(&self, status: &Status, local: bool) -> Vec<beat::Load> {
        let mut loads = status.loads.clone();
        if !local {
            let peers = self
                .peers
                .iter()
                .filter(|peer| peer.data_centre == Some(self.data_centre));
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

/// Returns the time between two rounds to other data centres.
///
/// It grows with the number of nodes: their sum changes less from round to round, and sending it to
/// all nodes costs more.
pub(super) fn round_time(nodes: usize) -> Duration {
    ROUND_INTERVAL * (nodes as u32).max(1).div_ceil(ROUND_NODES)
}
