//! Requests that crash the endpoints that run them, as told by all nodes.

use std::time::Duration;

use super::Key;
use crate::id::{Fingerprint, Time};

/// Strikes after which a request runs no more.
pub const LIMIT: usize = 3;

/// Time for which strikes are remembered.
const MEMORY: Duration = Duration::from_secs(120);

/// Time for which a strike is told to peers.
const NEWS: Duration = Duration::from_secs(3);

/// Strikes that are remembered at most.
const CAPACITY: usize = 1_024;

/// One crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// The endpoint that crashed.
    pub endpoint: Key,
    /// When this node learnt of it.
    pub learnt: Time,
}

/// All strikes that are remembered, the newest last.
#[derive(Clone, Debug, Default)]
pub struct List {
    strikes: Vec<Strike>,
}

impl List {
    /// Adds a strike that is not known yet.
    pub fn add(&mut self, fingerprint: Fingerprint, endpoint: Key, now: Time) {
        let known = |each: &Strike| (each.fingerprint, each.endpoint) == (fingerprint, endpoint);
        if self.strikes.iter().any(known) {
            return;
        }
        if self.strikes.len() == CAPACITY {
            self.strikes.remove(0);
        }
        self.strikes.push(Strike {
            fingerprint,
            endpoint,
            learnt: now,
        });
    }

    /// Returns how many endpoints a request has crashed.
    #[must_use]
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let same = |each: &&Strike| each.fingerprint == fingerprint;
        self.strikes.iter().filter(same).count()
    }

    /// Clears a request that an endpoint has run to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.strikes.retain(|each| each.fingerprint != fingerprint);
    }

    /// Returns the strikes that peers may not have heard of.
    pub fn news(&self, now: Time) -> impl Iterator<Item = &Strike> {
        self.strikes
            .iter()
            .filter(move |each| now.saturating_sub(each.learnt) < NEWS)
    }

    /// Forgets old strikes.
    pub fn expire(&mut self, now: Time) {
        self.strikes
            .retain(|each| now.saturating_sub(each.learnt) < MEMORY);
    }
}
