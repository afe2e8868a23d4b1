//! When a node asks peers for newer configuration, and what it holds back meanwhile.

use std::time::Duration;

use peridotdeck_wire::Delta;

use crate::id;

/// Time between two requests for newer configuration.
const FETCH: Duration = Duration::from_millis(200);

/// Time between two requests to the seeds.
const SEEK: Duration = Duration::from_secs(1);

/// Time for which a starting node waits for a peer before it believes the configuration service.
const START_WAIT: Duration = Duration::from_millis(1_500);

/// Requests under way, and the service's answer that a starting node holds back.
#[derive(Clone, Debug, Default)]
pub struct Fetcher {
    nonce: u64,
    fetched: Option<id::Time>,
    sought: Option<id::Time>,
    held: Option<Delta>,
    release_at: Option<id::Time>,
}

impl Fetcher {
    /// Returns a new nonce.
    pub fn nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// Returns the newest nonce.
    #[must_use]
    pub fn last_nonce(&self) -> u64 {
        self.nonce
    }

    /// Returns a nonce if a request is due.
    pub fn may_fetch(&mut self, now: id::Time) -> Option<u64> {
        if self
            .fetched
            .is_some_and(|fetched| now.saturating_sub(fetched) < FETCH)
        {
            return None;
        }
        self.fetched = Some(now);
        Some(self.nonce())
    }

    /// Returns a nonce if a request to the seeds is due.
    pub fn may_seek(&mut self, now: id::Time) -> Option<u64> {
        if self
            .sought
            .is_some_and(|sought| now.saturating_sub(sought) < SEEK)
        {
            return None;
        }
        self.sought = Some(now);
        Some(self.nonce())
    }

    /// Holds the service's answer back until a peer has answered, and returns whether it is the
    /// first; the newest one counts.
    pub fn hold(&mut self, delta: Delta, alone: bool, now: id::Time) -> bool {
        let first = self.release_at.is_none();
        let wait = if alone { Duration::ZERO } else { START_WAIT };
        self.release_at.get_or_insert(now + wait);
        if self.held.as_ref().is_none_or(|held| held.to <= delta.to) {
            self.held = Some(delta);
        }
        first
    }

    /// A peer that has a configuration has answered: nothing is held back any longer.
    pub fn answered(&mut self) {
        if self.release_at.is_some() {
            self.release_at = Some(id::Time::ZERO);
        }
    }

    /// Returns the answer that was held back, once it may be believed.
    pub fn release(&mut self, now: id::Time) -> Option<Delta> {
        if self.release_at.is_some_and(|at| at <= now) {
            self.held.take()
        } else {
            None
        }
    }
}
