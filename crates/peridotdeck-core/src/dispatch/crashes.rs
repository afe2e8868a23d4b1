//! Endpoint crashes that are attributed to requests, as reported by all nodes.

use std::time::Duration;

use super::Key;
use crate::id::{Fingerprint, Time};

/// Number of crashed endpoints after which a request is quarantined.
pub const LIMIT: usize = 3;

/// Time for which a crash is remembered.
const RETENTION: Duration = Duration::from_secs(120);

/// Time for which a crash is announced to peers.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(3);

/// Largest number of crashes that are remembered.
const MAX_CRASHES: usize = 1_024;

/// Crash of one endpoint while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: Key,
    /// Time at which this node learnt of the crash.
    pub learnt_at: Time,
}

/// A crash that has just been attributed to a request, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attribution {
    /// The crash.
    pub crash: Crash,
    /// Number of endpoints that the request has crashed, this one included.
    pub count: usize,
    /// Whether a peer reported the crash.
    pub from_peer: bool,
}

/// All remembered crashes, the newest last.
#[derive(Clone, Debug, Default)]
pub struct List {
    crashes: Vec<Crash>,
    /// Attributions that have not been logged yet, at most [`MAX_CRASHES`].
    unlogged: Vec<Attribution>,
}

impl List {
    /// Adds a crash unless it is already known; the oldest one makes room if the list is full.
    pub fn record(&mut self, fingerprint: Fingerprint, endpoint: Key, from_peer: bool, now: Time) {
        let known = |crash: &Crash| (crash.fingerprint, crash.endpoint) == (fingerprint, endpoint);
        if self.crashes.iter().any(known) {
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        let crash = Crash {
            fingerprint,
            endpoint,
            learnt_at: now,
        };
        self.crashes.push(crash);
        if self.unlogged.len() < MAX_CRASHES {
            self.unlogged.push(Attribution {
                crash,
                count: self.count(fingerprint),
                from_peer,
            });
        }
    }

    /// Takes the attributions that have not been logged yet.
    pub fn take_unlogged(&mut self) -> Vec<Attribution> {
        std::mem::take(&mut self.unlogged)
    }

    /// Returns the number of endpoints that a request has crashed.
    #[must_use]
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let same = |crash: &&Crash| crash.fingerprint == fingerprint;
        self.crashes.iter().filter(same).count()
    }

    /// Removes the crashes of a request, because an endpoint has run it to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.crashes
            .retain(|crash| crash.fingerprint != fingerprint);
    }

    /// Returns the crashes that some peers may not know yet.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(move |crash| now.saturating_sub(crash.learnt_at) < ANNOUNCEMENT_PERIOD)
    }

    /// Removes the crashes that are older than the retention time.
    pub fn expire(&mut self, now: Time) {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.learnt_at) < RETENTION);
    }
}
