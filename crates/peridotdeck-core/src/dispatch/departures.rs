//! Endpoints that have announced in an answer that they are about to leave.
//!
//! Such an endpoint must get no new request, whether or not the publisher says so too. The belief
//! ends with the endpoint's process, because a restarted one has another [`Key`].

use std::time::Duration;

use super::Key;
use crate::id::Time;

/// Time for which a departure is reported to peers.
const ANNOUNCE: Duration = Duration::from_secs(5);

/// Time after which a departure is forgotten; the endpoint has left long before.
const RETENTION: Duration = Duration::from_secs(600);

/// Most departures that are remembered; beyond it the oldest is forgotten.
const MAX_DEPARTURES: usize = 1_024;

/// Known departures.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Endpoints in the order in which their departures became known.
    known: Vec<(Key, Time)>,
}

impl List {
    /// Records a departure; returns whether it was unknown.
    pub fn record(&mut self, key: Key, now: Time) -> bool {
        if self.contains(key) {
            return false;
        }
        if self.known.len() == MAX_DEPARTURES {
            self.known.remove(0);
        }
        self.known.push((key, now));
        true
    }

    /// Returns whether an endpoint's departure is known.
    #[must_use]
    pub fn contains(&self, key: Key) -> bool {
        self.known.iter().any(|(other, _)| *other == key)
    }

    /// Returns the departures to report to peers, newest first.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = Key> {
        let recent = move |since: Time| now.saturating_sub(since) < ANNOUNCE;
        let newest = self.known.iter().rev();
        newest
            .take_while(move |(_, since)| recent(*since))
            .map(|(key, _)| *key)
    }

    /// Forgets old departures.
    pub fn expire(&mut self, now: Time) {
        self.known
            .retain(|(_, since)| now.saturating_sub(*since) < RETENTION);
    }
}
