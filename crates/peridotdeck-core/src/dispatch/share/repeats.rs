//! Requests that this node has refused or failed lately.
//!
//! Some callers repeat at once and often. Their repeats wait behind first tries, which need the room
//! as much and have waited for nothing yet.

use std::time::Duration;

use crate::id::{Fingerprint, Time};

/// Time for which a refused or failed request is remembered.
const LIFETIME: Duration = Duration::from_secs(10);

/// Most requests that are remembered; beyond it the oldest are dropped.
const MAX_ENTRIES: usize = 4_096;

/// Fingerprints with the time of the last refusal or failure, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    entries: Vec<(Fingerprint, Time)>,
}

impl Repeats {
    /// Remembers a request that was refused or failed.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Time) {
        match self.find(fingerprint) {
            Ok(index) => self.entries[index].1 = now,
            Err(index) => self.entries.insert(index, (fingerprint, now)),
        }
        if self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.iter().map(|(_, at)| *at).min();
            self.entries.retain(|(_, at)| Some(*at) != oldest);
        }
    }

    /// Returns whether a request was refused or failed lately.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let found = self.find(fingerprint);
        found.is_ok_and(|index| now.saturating_sub(self.entries[index].1) < LIFETIME)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|(_, at)| now.saturating_sub(*at) < LIFETIME);
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |(known, _)| *known)
    }
}
