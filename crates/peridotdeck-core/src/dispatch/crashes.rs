//! Requests that crash the endpoints that run them, as told by all nodes.

use std::time::Duration;

use super::Key;
use crate::id::{Fingerprint, Time};

/// Strikes after which a request runs no more.
pub const LIMIT: usize = 3;

/// Time for which strikes are remembered.
const RETENTION: Duration = Duration::from_secs(120);

/// Time for which a strike is told to peers.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(3);

/// Strikes that are remembered at most.
const MAX_CRASHES: usize = 1_024;

/// One crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// The endpoint that crashed.
    pub endpoint: Key,
    /// When this node learnt of it.
    pub learnt_at: Time,
}

/// All strikes that are remembered, the newest last.
#[derive(Clone, Debug, Default)]
pub struct List {
    crashes: Vec<Crash>,
}

impl List {
    /// Adds a strike that is not known yet.
    pub fn record(&mut self, fingerprint: Fingerprint, endpoint: Key, now: Time) {
        let known = |each: &Crash| (each.fingerprint, each.endpoint) == (fingerprint, endpoint);
        if self.crashes.iter().any(known) {
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(Crash {
            fingerprint,
            endpoint,
            learnt_at: now,
        });
    }

    /// Returns how many endpoints a request has crashed.
    #[must_use]
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let same = |each: &&Crash| each.fingerprint == fingerprint;
        self.crashes.iter().filter(same).count()
    }

    /// Clears a request that an endpoint has run to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.crashes.retain(|each| each.fingerprint != fingerprint);
    }

    /// Returns the strikes that peers may not have heard of.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(move |each| now.saturating_sub(each.learnt_at) < ANNOUNCEMENT_TIME)
    }

    /// Forgets old strikes.
    pub fn expire(&mut self, now: Time) {
        self.crashes
            .retain(|each| now.saturating_sub(each.learnt_at) < RETENTION);
    }
}
