//! Rate limits of configuration fetches, and the delayed first answer of the configuration service.

use std::time::Duration;

use peridotdeck_wire::Delta;

use crate::id;

/// Least time between two fetches of newer configuration from peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between two fetches of the VM list from the seeds.
const SEED_FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a starting node waits for a peer before it uses the configuration service's
/// answer, which may be stale.
const PEER_WAIT: Duration = Duration::from_millis(1_500);

/// Times of the last fetches, and the service's answer that a starting node holds back.
#[derive(Clone, Debug, Default)]
pub struct Fetcher {
    nonce: u64,
    last_fetch: Option<id::Time>,
    last_seed_fetch: Option<id::Time>,
    held: Option<Delta>,
    release_at: Option<id::Time>,
}

impl Fetcher {
    /// Returns a new nonce.
    pub fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// Returns the newest nonce.
    #[must_use]
    pub fn last_nonce(&self) -> u64 {
        self.nonce
    }

    /// Returns a nonce if a fetch from a peer is due, and counts it as sent.
    pub fn start_fetch(&mut self, now: id::Time) -> Option<u64> {
        if self
            .last_fetch
            .is_some_and(|last| now.saturating_sub(last) < FETCH_INTERVAL)
        {
            return None;
        }
        self.last_fetch = Some(now);
        Some(self.next_nonce())
    }

    /// Returns a nonce if a fetch from the seeds is due, and counts it as sent.
    pub fn start_seed_fetch(&mut self, now: id::Time) -> Option<u64> {
        if self
            .last_seed_fetch
            .is_some_and(|last| now.saturating_sub(last) < SEED_FETCH_INTERVAL)
        {
            return None;
        }
        self.last_seed_fetch = Some(now);
        Some(self.next_nonce())
    }

    /// Holds back the configuration service's answer, and returns whether it is the first one.
    ///
    /// It is released when a peer has answered or the wait for peers is over; a node that is
    /// `alone` does not wait. Of several answers the newest is kept.
    pub fn hold(&mut self, delta: Delta, alone: bool, now: id::Time) -> bool {
        let first = self.release_at.is_none();
        let wait = if alone { Duration::ZERO } else { PEER_WAIT };
        self.release_at.get_or_insert(now + wait);
        if self.held.as_ref().is_none_or(|held| held.to <= delta.to) {
            self.held = Some(delta);
        }
        first
    }

    /// Ends the wait for peers, because a peer that has a configuration has answered.
    pub fn end_wait(&mut self) {
        if self.release_at.is_some() {
            self.release_at = Some(id::Time::ZERO);
        }
    }

    /// Returns the answer that was held back, once the wait for peers is over.
    pub fn take_held(&mut self, now: id::Time) -> Option<Delta> {
        if self.release_at.is_some_and(|at| at <= now) {
            self.held.take()
        } else {
            None
        }
    }
}
