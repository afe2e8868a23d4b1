//! Schedule of the heartbeats that a node sends.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Broadcast, Fleet, STARTUP, Status, compose::Form};
use crate::{
    dispatch::{DataCentre, Node},
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

impl Fleet {
    /// Returns whether any heartbeat is due.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.remote_due || now >= self.probe_due || self.is_local_due(now)
    }

    /// Returns whether a heartbeat to the peers of the same data centre is due.
    #[must_use]
    pub fn is_local_due(&self, now: Time) -> bool {
        now >= self.keepalive_due || (self.dirty && now >= self.local_due)
    }

    /// Returns the heartbeats that are due, with their receivers.
    pub fn beats(&mut self, status: &Status, now: Time) -> Vec<Broadcast> {
        let mut broadcasts = Vec::new();
        if self.is_local_due(now) {
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
        self.local_due = now + local_interval(nodes.len());
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

/// Returns the shortest time between two heartbeats to a peer of a data centre with `nodes` nodes.
pub(super) fn local_interval(nodes: usize) -> Duration {
    MIN_LOCAL_INTERVAL.max(LOCAL_INTERVAL_PER_NODE * nodes as u32)
}

/// Returns the time between two rounds to other data centres.
///
/// It grows with the number of nodes: their sum changes less from round to round, and sending it to
/// all nodes costs more.
pub(super) fn round_time(nodes: usize) -> Duration {
    ROUND_INTERVAL * (nodes as u32).max(1).div_ceil(ROUND_NODES)
}
