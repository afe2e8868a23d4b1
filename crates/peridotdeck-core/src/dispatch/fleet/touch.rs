//! Which peers are live, and whether this node is in touch with them, stood still or is cut off.
//!
//! What is read after a pause may have been sent before it, and has waited in a queue. So heartbeats
//! count only if they arrived within a short time, and after the last pause.

use std::{cmp::Ordering, time::Duration};

use super::{Fleet, MIN_REMOTE_TIMEOUT, Peer, STARTUP, send::round_time};
use crate::{
    dispatch::{Key, Node, endpoint::Load},
    id::Time,
};

/// Time between two ticks from which the process counts as having stood still.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Time after a pause in which what had waited in the queues is read.
const BACKLOG: Duration = Duration::from_millis(250);

/// Age up to which a heartbeat shows that its sender is in touch.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Time without a heartbeat after which a peer in the same data centre counts as dead.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a sign of life after which a peer that is no seed is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time that a starting node needs to hear from the peers of its data centre.
const DISCOVERY: Duration = Duration::from_millis(600);

/// Rounds of heartbeats without one of another data centre after which its load is dropped.
const REMOTE_TIMEOUT_ROUNDS: f64 = 2.5;

/// Times at which this process was seen to run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pulse {
    ticked: Time,
    resumed: Option<Time>,
}

impl Pulse {
    pub(super) fn new(now: Time) -> Self {
        Self {
            ticked: now,
            resumed: None,
        }
    }

    fn is_late(&self, now: Time) -> bool {
        now.saturating_sub(self.ticked) >= MIN_PAUSE
    }
}

impl Fleet {
    /// Records that the process runs; ticks follow each other closely unless it stands still.
    pub(in crate::dispatch) fn note_tick(&mut self, now: Time) {
        if self.pulse.is_late(now) {
            self.pulse.resumed = Some(now);
        }
        self.pulse.ticked = now;
    }

    /// Returns since when this process has run without a pause, if that has lasted for as long as
    /// this; otherwise the given time ago.
    ///
    /// It is none while the process has not run its periodic work since a pause.
    pub(in crate::dispatch) fn running_since(&self, time: Duration, now: Time) -> Option<Time> {
        let since = now.saturating_sub(time);
        let resumed = self.pulse.resumed.unwrap_or_default();
        (!self.pulse.is_late(now)).then(|| since.max(resumed))
    }

    /// Returns whether most nodes of the fleet have been heard lately, so that the others are cut off.
    ///
    /// Of another data centre, one heartbeat speaks for all nodes. How long it counts follows from the
    /// live nodes here, so that a node which hears none of its own data centre soon trusts none.
    #[must_use]
    pub fn is_in_touch(&self, now: Time) -> bool {
        let round = round_time(self.live_nodes(self.data_centre, now).len());
        let remote_age = MAX_AGE.max(round.mul_f64(REMOTE_TIMEOUT_ROUNDS));
        let (Some(local), Some(remote)) = (
            self.running_since(MAX_AGE, now),
            self.running_since(remote_age, now),
        ) else {
            return false;
        };
        let backlog = self.pulse.resumed.map(|resumed| resumed + BACKLOG);
        let is_new = |received: Time, since: Time| {
            received >= since && backlog.is_none_or(|backlog| received >= backlog)
        };
        let heard_places = self.remotes.iter();
        let heard_places: Vec<_> = heard_places
            .filter(|place| is_new(place.received, remote))
            .map(|place| place.data_centre)
            .collect();
        let heard = self.peers.iter().filter(|peer| {
            if peer.data_centre == Some(self.data_centre) {
                peer.received
                    .is_some_and(|received| is_new(received, local))
            } else {
                let place = peer.data_centre;
                self.is_live(peer, now) && place.is_some_and(|place| heard_places.contains(&place))
            }
        });
        let heard = heard.count();
        let was_any_heard = self.peers.iter().any(|peer| peer.incarnation != 0);
        let most = self.sizes.iter().map(|(_, size)| *size).max().unwrap_or(1);
        (was_any_heard || self.seeds.is_empty()) && 2 * (heard + 1) > most
    }

    /// Returns whether this node may be cut off from other live nodes of its data centre.
    ///
    /// Those might then make the same decisions without knowing of this node. It is assumed below
    /// half of the recent size of the data centre, and shortly after the start.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        let here = self.live_nodes(self.data_centre, now).len();
        2 * here < self.recent_local_size() || now.saturating_sub(self.started) < DISCOVERY
    }

    /// Returns the fraction that this node's part of its data centre may spend of what belongs to
    /// the whole data centre.
    ///
    /// Other parts may be cut off and spend at the same time. A majority spends everything, a half
    /// spends a half. All minorities together spend a tenth at most, a node that has just started
    /// nothing, and one that has found none of its seeds a half.
    #[must_use]
    pub fn majority_fraction(&self, now: Time) -> f64 {
        /// Fraction that minorities would spend if they were the whole data centre.
        const MINORITY_FRACTION: f64 = 0.2;
        if self.leaving || now.saturating_sub(self.started) < DISCOVERY {
            return 0.0;
        }
        let was_heard = |peer: &Peer| peer.incarnation != 0;
        if !self.seeds.is_empty() && !self.peers.iter().any(was_heard) {
            return 0.5;
        }
        let here = self.live_nodes(self.data_centre, now).len();
        let most = self.recent_local_size().max(here);
        match (2 * here).cmp(&most) {
            Ordering::Greater => 1.0,
            Ordering::Equal => 0.5,
            Ordering::Less => MINORITY_FRACTION * here as f64 / most as f64,
        }
    }

    /// Returns whether all nodes that this data centre had lately are in touch with this one.
    #[must_use]
    pub fn is_complete(&self, now: Time) -> bool {
        self.live_nodes(self.data_centre, now).len() >= self.recent_local_size()
    }

    /// Returns the largest recent number of live nodes in this data centre.
    pub(super) fn recent_local_size(&self) -> usize {
        let sizes = self.local_sizes.iter().map(|(_, size)| *size);
        sizes.max().unwrap_or(1)
    }

    /// Returns the largest recent number of live nodes in the fleet.
    ///
    /// A node that has just started knows few peers and assumes at least two nodes in each data
    /// centre.
    #[must_use]
    pub fn recent_size(&self, data_centres: usize, now: Time) -> usize {
        let seen = self.sizes.iter().map(|(_, size)| *size).max().unwrap_or(1);
        if now.saturating_sub(self.started) < STARTUP {
            seen.max(2 * data_centres)
        } else {
            seen
        }
    }

    pub(super) fn is_live(&self, peer: &Peer, now: Time) -> bool {
        !peer.leaving && self.is_reachable(peer, now)
    }

    pub(super) fn is_reachable(&self, peer: &Peer, now: Time) -> bool {
        let limit = if peer.data_centre == Some(self.data_centre) {
            LOCAL_TIMEOUT
        } else {
            self.remote_timeout
        };
        let recent = |received: Time| now.saturating_sub(received) < limit;
        peer.received.is_some_and(recent)
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
