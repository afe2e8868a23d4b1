//! Composition and schedule of the heartbeats that a node sends.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Broadcast, Fleet, STARTUP, Status};
use crate::{
    dispatch::{DataCentre, Key, Node, registry::Position},
    id::Time,
};

/// Longest time between two heartbeats to a peer of the same data centre.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two heartbeats to a peer of the same data centre.
const MIN_LOCAL_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two heartbeats to a peer, for each node of the data centre.
///
/// It counts if it is longer than [`MIN_LOCAL_INTERVAL`], so that the number of datagrams that a
/// node sends in a second does not grow with its data centre.
const LOCAL_INTERVAL_PER_NODE: Duration = Duration::from_millis(4);

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

/// Time between two checks for peers to probe, during the startup time and after it.
const PROBE_CHECKS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(250));

/// Time between two lists of members to peers of the same data centre, which know each other.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(2);

/// Members of each other data centre that a list contains, through which its nodes are found.
const CONTACTS: usize = 2;

/// Most cached prefixes in one heartbeat, so that it fits a datagram.
const MAX_HOLDINGS: usize = 24;

/// Most loads in one heartbeat, so that it fits a datagram; more need further heartbeats.
const MAX_LOADS: usize = 36;

/// Most members in one heartbeat, so that it fits a datagram; more need further heartbeats.
const MAX_MEMBERS: usize = 20;

/// What a heartbeat contains, depending on its receivers.
#[derive(Clone, Copy, Debug)]
struct Form {
    /// Whether the receivers are in the same data centre, and get the sender's own loads.
    local: bool,
    /// Whether a reply is requested.
    joining: bool,
    /// Whether all members of the data centre are listed.
    complete: bool,
}

impl Fleet {
    /// Returns whether any heartbeat is due.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.remote_due
            || now >= self.probe_due
            || now >= self.keepalive_due
            || (self.dirty && now >= self.local_due)
    }

    /// Returns the heartbeats that are due, with their receivers.
    pub fn beats(&mut self, status: &Status, now: Time) -> Vec<Broadcast> {
        let mut broadcasts = Vec::new();
        if now >= self.keepalive_due || (self.dirty && now >= self.local_due) {
            broadcasts.append(&mut self.send_local(status, now));
        }
        if now >= self.remote_due {
            broadcasts.append(&mut self.send_remote(status, now));
        }
        if now >= self.probe_due {
            broadcasts.append(&mut self.probe_peers(status, now));
        }
        broadcasts
    }

    /// Returns the heartbeats that reply to a joining peer, which list all members.
    pub fn reply(&mut self, node: Node, status: &Status, now: Time) -> Vec<beat::Beat> {
        let local = self
            .find_peer(node)
            .is_ok_and(|index| self.peers[index].data_centre == Some(self.data_centre));
        let form = Form {
            local,
            joining: false,
            complete: true,
        };
        self.compose(status, form, now)
    }

    fn send_local(&mut self, status: &Status, now: Time) -> Vec<Broadcast> {
        self.dirty = false;
        let nodes = self.live_nodes(self.data_centre, now);
        let interval = LOCAL_INTERVAL_PER_NODE * nodes.len() as u32;
        self.local_due = now + interval.max(MIN_LOCAL_INTERVAL);
        self.keepalive_due = now + KEEPALIVE_INTERVAL;
        let form = Form {
            local: true,
            joining: false,
            complete: false,
        };
        let beats = self.compose(status, form, now);
        let peers = nodes.into_iter().filter(|&node| node != self.me);
        broadcast(&peers.collect::<Vec<_>>(), beats)
    }

    /// Returns the heartbeats of a round to other data centres.
    ///
    /// The live nodes there are dealt out in turn to the nodes of this data centre, and the
    /// assignment shifts with each round. Data centres of the same region take part in every round,
    /// others only in one of [`SIBLING_ROUNDS`].
    fn send_remote(&mut self, status: &Status, now: Time) -> Vec<Broadcast> {
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
        if peers.is_empty() {
            return Vec::new();
        }
        let form = Form {
            local: false,
            joining: false,
            complete: true,
        };
        broadcast(&peers, self.compose(status, form, now))
    }

    /// Makes a round to all other data centres due now.
    pub(super) fn hasten_remote(&mut self) {
        let rounds = self.rounds();
        self.round = (self.round / rounds + 1) * rounds - 1;
        self.remote_due = Time::ZERO;
    }

    /// Returns the number of rounds in which every other data centre takes part at least once.
    pub(super) fn rounds(&self) -> usize {
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

    /// Returns heartbeats that request a reply from seeds and members that are not live.
    fn probe_peers(&mut self, status: &Status, now: Time) -> Vec<Broadcast> {
        let starting = now.saturating_sub(self.started) < STARTUP;
        let (check, interval) = if starting {
            (PROBE_CHECKS.0, STARTUP_PROBE_INTERVAL)
        } else {
            (PROBE_CHECKS.1, PROBE_INTERVAL)
        };
        self.probe_due = now + check;
        if self.leaving {
            return Vec::new();
        }
        let mut broadcasts = Vec::new();
        for local in [true, false] {
            let peers = self.peers_to_probe(local, interval, now);
            if peers.is_empty() {
                continue;
            }
            let form = Form {
                local,
                joining: true,
                complete: true,
            };
            broadcasts.append(&mut broadcast(&peers, self.compose(status, form, now)));
        }
        broadcasts
    }

    /// Marks the peers whose probe is due as probed and returns them.
    fn peers_to_probe(&mut self, local: bool, interval: Duration, now: Time) -> Vec<Node> {
        let mut due = Vec::new();
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            let is_local = peer.data_centre == Some(self.data_centre);
            let was_probed = peer
                .probed
                .is_some_and(|probed| now.saturating_sub(probed) < interval);
            if is_local != local || was_probed || peer.leaving || self.is_live(peer, now) {
                continue;
            }
            // One live node of another data centre lists the others.
            let is_covered = !is_local
                && self
                    .remotes
                    .iter()
                    .any(|remote| Some(remote.data_centre) == peer.data_centre);
            if !is_covered {
                due.push(peer.node);
                self.peers[index].probed = Some(now);
            }
        }
        due
    }

    /// Returns the heartbeats that report the state of this node.
    ///
    /// The first one is complete, except that loads beyond [`MAX_LOADS`] and members beyond
    /// [`MAX_MEMBERS`] are in further ones. Each has its own sequence number, by which peers
    /// recognise outdated heartbeats.
    fn compose(&mut self, status: &Status, form: Form, now: Time) -> Vec<beat::Beat> {
        let loads = self.reported_loads(status, form.local);
        let members = self.listed_members(form.complete, now);
        let loads: Vec<&[beat::Load]> = loads.chunks(MAX_LOADS).collect();
        let members: Vec<&[beat::Member]> = members.chunks(MAX_MEMBERS).collect();
        let count = loads.len().max(members.len()).max(1);
        let mut beats: Vec<beat::Beat> = (0..count)
            .map(|index| beat::Beat {
                loads: loads.get(index).copied().unwrap_or_default().to_vec(),
                members: members.get(index).copied().unwrap_or_default().to_vec(),
                ..self.empty_beat(status, form.joining)
            })
            .collect();
        assign_ranges(&mut beats, loads.len().max(1));
        for beat in &mut beats {
            self.sequence += 1;
            beat.sequence = self.sequence;
        }
        let holdings = if form.joining {
            Vec::new()
        } else {
            self.take_holdings(form.local)
        };
        let first = &mut beats[0];
        first.holdings = holdings;
        first.health.clone_from(&status.health);
        first.strikes.clone_from(&status.strikes);
        first.proofs.clone_from(&status.proofs);
        first.departures.clone_from(&status.departures);
        first.rates.clone_from(&status.rates);
        first.unreached.clone_from(&status.unreached);
        first.cut_off = status.cut_off;
        first.pauses.clone_from(&status.pauses);
        beats
    }

    /// Returns a heartbeat for a single peer, which reports the rates of endpoints but no load.
    pub fn message(&mut self, status: &Status) -> beat::Beat {
        self.sequence += 1;
        beat::Beat {
            sequence: self.sequence,
            first: 1,
            last: 0,
            rates: status.rates.clone(),
            ..self.empty_beat(status, false)
        }
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
            policy: position(status.policy),
            roster: position(status.roster),
            version: status.version,
            members: Vec::new(),
            first: 0,
            last: Key::MAX,
            loads: Vec::new(),
            holdings: Vec::new(),
            health: Vec::new(),
            strikes: Vec::new(),
            proofs: Vec::new(),
            departures: Vec::new(),
            rates: Vec::new(),
            demands: Vec::new(),
            grants: Vec::new(),
            mixed: status.mixed,
            history_ms: u32::try_from(status.history.as_millis()).unwrap_or(u32::MAX),
            streams: Vec::new(),
            lookups: Vec::new(),
            unreached: Vec::new(),
            cut_off: false,
            pauses: Vec::new(),
        }
    }

    /// Returns the announcements that a heartbeat carries, the oldest first.
    ///
    /// Each is counted down, and dropped when all its heartbeats have carried it.
    fn take_holdings(&mut self, local: bool) -> Vec<beat::Holding> {
        let mut holdings = Vec::new();
        for announcement in &mut self.announcements {
            let left = if local {
                &mut announcement.local_left
            } else {
                &mut announcement.remote_left
            };
            if *left > 0 && holdings.len() < MAX_HOLDINGS {
                *left -= 1;
                holdings.push(beat::Holding {
                    endpoint: announcement.endpoint,
                    prefix: announcement.prefix,
                });
            }
        }
        self.announcements
            .retain(|announcement| announcement.local_left + announcement.remote_left > 0);
        holdings
    }

    /// Returns the live nodes that a heartbeat lists.
    ///
    /// A complete list contains those of this data centre, and a few [`CONTACTS`] in each other.
    /// Peers of the same data centre know each other after the first heartbeats, so a part of the
    /// list is sent to them now and then.
    fn listed_members(&mut self, complete: bool, now: Time) -> Vec<beat::Member> {
        if !complete && now < self.members_due {
            return Vec::new();
        }
        let mut members = self.members(now);
        if !self.leaving {
            members.push((self.me, self.data_centre));
        }
        members.sort_by_key(|&(node, data_centre)| (data_centre, node));
        let groups = members.chunk_by(|(_, one), (_, other)| one == other);
        let limited = groups.flat_map(|group| {
            let is_here = group[0].1 == self.data_centre;
            let count = if is_here { group.len() } else { CONTACTS };
            group.iter().take(count)
        });
        let mut listed: Vec<beat::Member> = limited
            .map(|&(node, data_centre)| beat::Member {
                node: node.into(),
                place: data_centre,
            })
            .collect();
        if !complete && !listed.is_empty() {
            self.members_due = now + MEMBERS_INTERVAL;
            let start = self.member_lists * MAX_MEMBERS % listed.len();
            listed.rotate_left(start);
            listed.truncate(MAX_MEMBERS);
            self.member_lists += 1;
        }
        listed
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

/// Sets the ranges of endpoint keys whose loads the heartbeats report.
///
/// The ranges of the first `reporting` heartbeats together cover every key. The others have empty
/// ranges.
fn assign_ranges(beats: &mut [beat::Beat], reporting: usize) {
    let mut next: Option<Key> = Some(0);
    for (index, beat) in beats.iter_mut().enumerate() {
        let Some(first) = next.filter(|_| index < reporting) else {
            (beat.first, beat.last) = (1, 0);
            continue;
        };
        let last = match beat.loads.last() {
            Some(load) if index + 1 < reporting => load.endpoint,
            _ => Key::MAX,
        };
        (beat.first, beat.last) = (first, last);
        next = last.checked_add(1);
    }
}

/// Returns heartbeats that all the same peers receive.
fn broadcast(receivers: &[Node], beats: Vec<beat::Beat>) -> Vec<Broadcast> {
    let beats = beats.into_iter();
    beats
        .map(|beat| Broadcast {
            receivers: receivers.to_vec(),
            beat,
        })
        .collect()
}

fn position(position: Position) -> beat::Position {
    beat::Position {
        era: position.era,
        revision: position.revision,
    }
}

/// Returns the time between two rounds to other data centres.
///
/// It grows with the number of nodes: their sum changes less from round to round, and sending it to
/// all nodes costs more.
pub(super) fn round_time(nodes: usize) -> Duration {
    ROUND_INTERVAL * (nodes as u32).max(1).div_ceil(ROUND_NODES)
}
