//! Paths from this node to an endpoint: its own one, and a detour through a peer.
//!
//! An endpoint that this node cannot connect to is either down, or only this node's path to it is
//! lost. Peers tell the two apart: the node searches for one that still reaches the endpoint, and
//! sends its requests through that peer until its own path works again. Every decision on a request
//! stays at this node. `docs/design/PATHS.md` compares the ways to use a peer's path.

use std::time::Duration;

use super::Node;
use crate::id::Time;

/// First backoff after a failure to reach the endpoint; it doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff after a failure to reach the endpoint.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Longest backoff of the own path while a peer's path is used, so that the detour ends soon.
const MAX_DETOUR_BACKOFF: Duration = Duration::from_secs(1);

/// Connections in a row that must open before a detour ends, as a path may come and go.
const PROOFS: u32 = 2;

/// Time between two such connections.
const PROOF_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any path up to which the endpoint cannot have restarted unnoticed.
const MAX_UNSEEN: Duration = Duration::from_millis(1_500);

/// How an endpoint became reachable again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// It was reachable all the time, or is still not.
    None,
    /// It was reachable all the time, and now the own path is used again.
    Direct,
    /// It could not be reached for a while, in which it may have restarted.
    Unseen,
}

/// This node's paths to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Failures to connect since the own path last worked.
    failures: u32,
    probe_due: Time,
    probing: bool,
    /// Connections that have opened in a row since the own path was lost.
    proofs: u32,
    suspected: bool,
    detour: Option<Node>,
    searching: bool,
    search_due: Time,
    /// Searches in a row that found no peer.
    searches: u32,
    /// Time since which neither this node nor a peer is known to reach the endpoint.
    unseen_since: Option<Time>,
}

impl Path {
    /// Returns whether the own path is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Returns the peer through which requests are sent, if the own path is lost.
    #[must_use]
    pub fn detour(&self) -> Option<Node> {
        self.detour
    }

    /// Returns whether requests can be sent, over the own path or through a peer.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !self.is_lost() || self.detour.is_some()
    }

    /// Returns whether a connection broke without an answer and no probe has succeeded since.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Returns when to probe the own path, if it needs a probe and none is running.
    #[must_use]
    pub fn probe_due(&self) -> Option<Time> {
        let needed = self.is_lost() || self.suspected;
        (needed && !self.probing).then_some(self.probe_due)
    }

    /// Returns whether a connection over the own path has opened, but more are needed.
    #[must_use]
    pub fn is_returning(&self) -> bool {
        self.proofs > 0
    }

    /// Marks a probe of the own path as running.
    pub fn start_probe(&mut self) {
        self.probing = true;
    }

    /// Makes the next probe of a lost path due at a time, unless it is due earlier.
    pub fn hasten(&mut self, due: Time) {
        self.probe_due = self.probe_due.min(due);
    }

    /// Returns when to search for a peer that reaches the endpoint, if one is needed.
    ///
    /// A detour on which a connection broke is searched anew, and used meanwhile.
    #[must_use]
    pub fn search_due(&self) -> Option<Time> {
        let needed = self.is_lost() && (self.detour.is_none() || self.suspected);
        (needed && !self.searching).then_some(self.search_due)
    }

    /// Returns the number of searches in a row that found no peer.
    #[must_use]
    pub fn searches(&self) -> u32 {
        self.searches
    }

    /// Marks a search for a peer as running.
    pub fn start_search(&mut self) {
        self.searching = true;
    }

    /// Records that the own path did not open a connection, which starts or extends its backoff.
    ///
    /// Returns whether the path was believed to work.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.probing = false;
        self.proofs = 0;
        let longest = if self.detour.is_some() {
            MAX_DETOUR_BACKOFF
        } else {
            MAX_BACKOFF
        };
        self.probe_due = now + backoff(self.failures).min(longest);
        self.failures += 1;
        if self.failures > 1 {
            return false;
        }
        self.search_due = now;
        self.unseen_since = Some(now);
        true
    }

    /// Records that the own path has opened a connection.
    pub fn record_success(&mut self, now: Time) -> Return {
        self.probing = false;
        if !self.is_lost() {
            self.suspected = false;
            return Return::None;
        }
        self.proofs += 1;
        if self.detour.is_some() && self.proofs < PROOFS {
            self.probe_due = now + PROOF_INTERVAL;
            return Return::None;
        }
        let was_seen = self.detour.is_some();
        *self = Self {
            searching: self.searching,
            ..Self::default()
        };
        if was_seen {
            Return::Direct
        } else {
            Return::Unseen
        }
    }

    /// Records the result of a search: the peer that has reached the endpoint, if any has.
    pub fn record_search(&mut self, peer: Option<Node>, now: Time) -> Return {
        self.searching = false;
        if !self.is_lost() {
            return Return::None;
        }
        let Some(peer) = peer else {
            if self.detour.take().is_some() {
                self.unseen_since = Some(now);
            }
            self.search_due = now + backoff(self.searches).min(MAX_BACKOFF);
            self.searches += 1;
            return Return::None;
        };
        self.detour = Some(peer);
        self.searches = 0;
        self.suspected = false;
        let unseen = self.unseen_since.take();
        if unseen.is_some_and(|since| now.saturating_sub(since) > MAX_UNSEEN) {
            Return::Unseen
        } else {
            Return::None
        }
    }

    /// Records that the endpoint is no longer reached through the peer.
    pub fn end_detour(&mut self, now: Time) {
        if self.detour.take().is_some() {
            self.search_due = now;
            self.unseen_since = Some(now);
        }
    }

    /// Makes a probe or a search due now, because a connection broke without an answer.
    pub fn suspect(&mut self, now: Time) {
        self.suspected = true;
        if !self.is_lost() {
            self.probe_due = now;
        } else if self.detour.is_some() {
            self.search_due = now;
        }
    }
}

/// Returns the backoff after a number of earlier failures in a row.
fn backoff(failures: u32) -> Duration {
    FIRST_BACKOFF * 2_u32.saturating_pow(failures.min(8))
}
