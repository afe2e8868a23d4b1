//! Whether this node is in touch with its peers, or stood still or is cut off.
//!
//! What is read after a pause may have been sent before it, and has waited in a queue. So heartbeats
//! count only if they arrived within a short time, and after the last pause.

use std::time::Duration;

use super::{Fleet, REMOTE_TIMEOUT_ROUNDS, send::round_time};
use crate::id::Time;

/// Time between two ticks from which the process counts as having stood still.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Time after a pause in which what had waited in the queues is read.
const BACKLOG: Duration = Duration::from_millis(250);

/// Age up to which a heartbeat shows that its sender is in touch.
const MAX_AGE: Duration = Duration::from_secs(1);

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

    /// Returns whether what is read at a time cannot have waited during the last pause.
    fn is_past_backlog(&self, at: Time) -> bool {
        let backlog = self.resumed.map(|resumed| resumed + BACKLOG);
        backlog.is_none_or(|backlog| at >= backlog)
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

    /// Returns whether what is read now has not waited in a queue while this process stood still.
    pub(in crate::dispatch) fn reads_promptly(&self, now: Time) -> bool {
        !self.pulse.is_late(now) && self.pulse.is_past_backlog(now)
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
        let is_new =
            |received: Time, since: Time| received >= since && self.pulse.is_past_backlog(received);
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
}
