//! Requests that crash the endpoints that run them.
//!
//! An endpoint that dies gives a strike to every request that it was running. A request with one
//! strike runs alone among suspects, so the next death names the culprit; with two strikes it is
//! quarantined, and every node has been told before a third endpoint could run it.

use crate::id;

/// Strikes after which a request runs no more.
pub const CRASH_LIMIT: usize = 2;

/// Time for which strikes are remembered.
const MEMORY: id::Time = id::Time::from_secs(600);

/// Suspects that are remembered at most; the oldest gives way.
const MAX_SUSPECTS: usize = 4_096;

/// Fingerprints and the endpoints that died while running them.
#[derive(Clone, Debug, Default)]
pub struct List {
    suspects: Vec<Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: id::Fingerprint,
    endpoints: Vec<id::Endpoint>,
    last: id::Time,
}

impl List {
    /// Adds a strike and returns whether it is new.
    pub fn record_crash(
        &mut self,
        fingerprint: id::Fingerprint,
        endpoint: id::Endpoint,
        now: id::Time,
    ) -> bool {
        let at = match self.find(fingerprint) {
            Ok(at) => at,
            Err(at) => {
                let suspect = Suspect {
                    fingerprint,
                    endpoints: Vec::new(),
                    last: now,
                };
                self.suspects.insert(at, suspect);
                at
            }
        };
        let suspect = &mut self.suspects[at];
        suspect.last = now;
        let new = !suspect.endpoints.contains(&endpoint);
        if new && suspect.endpoints.len() < CRASH_LIMIT {
            suspect.endpoints.push(endpoint);
        }
        self.bound();
        new
    }

    /// Clears a suspect that has run to its end.
    pub fn clear(&mut self, fingerprint: id::Fingerprint) {
        if let Ok(at) = self.find(fingerprint)
            && self.suspects[at].endpoints.len() < CRASH_LIMIT
        {
            self.suspects.remove(at);
        }
    }

    /// Returns the strikes of a request.
    #[must_use]
    pub fn crashes(&self, fingerprint: id::Fingerprint) -> usize {
        self.find(fingerprint)
            .map_or(0, |at| self.suspects[at].endpoints.len())
    }

    /// Returns whether a request may run no more.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        self.crashes(fingerprint) >= CRASH_LIMIT
    }

    /// Forgets old suspects.
    pub fn expire(&mut self, now: id::Time) {
        self.suspects
            .retain(|suspect| now.saturating_sub(suspect.last) < MEMORY);
    }

    fn find(&self, fingerprint: id::Fingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }

    fn bound(&mut self) {
        if self.suspects.len() > MAX_SUSPECTS
            && let Some(oldest) = (0..self.suspects.len()).min_by_key(|&at| self.suspects[at].last)
        {
            self.suspects.remove(oldest);
        }
    }
}
