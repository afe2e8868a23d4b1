//! Quarantine of requests that crash the endpoints that run them.
//!
//! A crash of an endpoint is attributed to every request that it was running. A request with one
//! crash becomes a suspect and shares no endpoint with other suspects, so the next crash identifies
//! the cause. With two crashes it is quarantined, and every node has been informed before a third
//! endpoint could run it.

use crate::id;

/// Crashes attributed to a request after which it is quarantined.
pub const CRASH_LIMIT: usize = 2;

/// Time after its last crash for which a suspect is kept.
const SUSPECT_LIFETIME: id::Time = id::Time::from_secs(600);

/// Most suspects in the list; a further one evicts the one with the oldest crash.
const MAX_SUSPECTS: usize = 4_096;

/// Suspects, sorted by fingerprint, and the endpoints that crashed while they ran them.
#[derive(Clone, Debug, Default)]
pub struct List {
    suspects: Vec<Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: id::Fingerprint,
    /// Endpoints that crashed while they ran the request, at most [`CRASH_LIMIT`].
    endpoints: Vec<id::Endpoint>,
    /// Time of the last recorded crash.
    last_crash: id::Time,
}

impl List {
    /// Attributes the crash of an endpoint to a request and returns whether it is new.
    pub fn record_crash(
        &mut self,
        fingerprint: id::Fingerprint,
        endpoint: id::Endpoint,
        now: id::Time,
    ) -> bool {
        let index = match self.find(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let suspect = Suspect {
                    fingerprint,
                    endpoints: Vec::new(),
                    last_crash: now,
                };
                self.suspects.insert(index, suspect);
                index
            }
        };
        let suspect = &mut self.suspects[index];
        suspect.last_crash = now;
        let new = !suspect.endpoints.contains(&endpoint);
        if new && suspect.endpoints.len() < CRASH_LIMIT {
            suspect.endpoints.push(endpoint);
        }
        self.evict_oldest();
        new
    }

    /// Removes a suspect that has finished, unless it is quarantined.
    pub fn clear(&mut self, fingerprint: id::Fingerprint) {
        if let Ok(index) = self.find(fingerprint)
            && self.suspects[index].endpoints.len() < CRASH_LIMIT
        {
            self.suspects.remove(index);
        }
    }

    /// Returns the number of crashes attributed to a request, at most [`CRASH_LIMIT`].
    #[must_use]
    pub fn crashes(&self, fingerprint: id::Fingerprint) -> usize {
        self.find(fingerprint)
            .map_or(0, |index| self.suspects[index].endpoints.len())
    }

    /// Returns whether a request is quarantined and must not run.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        self.crashes(fingerprint) >= CRASH_LIMIT
    }

    /// Removes suspects whose last crash is older than `SUSPECT_LIFETIME`.
    pub fn expire(&mut self, now: id::Time) {
        self.suspects
            .retain(|suspect| now.saturating_sub(suspect.last_crash) < SUSPECT_LIFETIME);
    }

    fn find(&self, fingerprint: id::Fingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }

    fn evict_oldest(&mut self) {
        if self.suspects.len() > MAX_SUSPECTS
            && let Some(oldest) =
                (0..self.suspects.len()).min_by_key(|&index| self.suspects[index].last_crash)
        {
            self.suspects.remove(oldest);
        }
    }
}
