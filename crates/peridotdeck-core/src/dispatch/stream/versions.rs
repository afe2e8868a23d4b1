//! Software versions that the endpoints of each service run, or ran lately.

use std::time::Duration;

use crate::{
    dispatch::{Software, registry},
    id::Time,
};

/// Time for which a version counts after its last endpoint has gone.
///
/// Callers may take up its streams for as long.
const RETENTION: Duration = Duration::from_secs(30);

/// A version of one service, and when it was last listed.
#[derive(Clone, Debug)]
struct Version {
    service: String,
    software: Software,
    listed: Time,
}

/// Versions of all services.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    known: Vec<Version>,
    /// Time until which peers vouch that a service has several versions.
    reported_until: Time,
    /// Time since which this node, or one that it has heard from, has known all versions; none if
    /// there were no streams before.
    known_since: Option<Time>,
}

impl Versions {
    /// Records the versions of the listed endpoints.
    pub fn observe<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a registry::Endpoint>,
        now: Time,
    ) {
        for endpoint in endpoints {
            let software = endpoint.software();
            let is_same =
                |one: &&mut Version| one.software == software && one.service == endpoint.service;
            match self.known.iter_mut().find(is_same) {
                Some(version) => version.listed = now,
                None => self.known.push(Version {
                    service: endpoint.service.clone(),
                    software,
                    listed: now,
                }),
            }
        }
        self.known
            .retain(|version| now.saturating_sub(version.listed) < RETENTION);
    }

    /// Notes that this node starts in a fleet that has run before, and knows nothing of then.
    pub fn start_history(&mut self, now: Time) {
        self.known_since = Some(now);
    }

    /// Returns the time for which all versions have been known, at most the retention.
    #[must_use]
    pub fn history(&self, now: Time) -> Duration {
        let known = |since: Time| now.saturating_sub(since).min(RETENTION);
        self.known_since.map_or(RETENTION, known)
    }

    /// Returns the time until all versions whose streams may be open are known.
    #[must_use]
    pub fn history_left(&self, now: Time) -> Duration {
        RETENTION.saturating_sub(self.history(now))
    }

    /// Records for how long a peer has known all versions; it vouches that they are not mixed, or
    /// says that they are.
    pub fn note_history(&mut self, history: Duration, now: Time) {
        if history >= RETENTION {
            // The clock may have started later than that.
            self.known_since = None;
        } else if let Some(since) = &mut self.known_since {
            *since = (*since).min(now.saturating_sub(history));
        }
    }

    /// Returns whether versions may have left before anyone knew of them, whose streams may be open.
    #[must_use]
    pub fn is_history_short(&self, now: Time) -> bool {
        self.history(now) < RETENTION
    }

    /// Records that a peer has listed several versions of a service lately.
    pub fn note_report(&mut self, now: Time) {
        /// Time for which a report counts; peers repeat it with each heartbeat.
        const LIFETIME: Duration = Duration::from_secs(5);
        self.reported_until = now + LIFETIME;
    }

    /// Returns whether this node has listed several versions of any service lately.
    #[must_use]
    pub fn is_any_mixed(&self) -> bool {
        let mut services = self.known.iter().map(|version| version.service.as_str());
        services.any(|service| self.has_several(service))
    }

    /// Returns whether a service has had several versions lately, as far as anyone knows.
    #[must_use]
    pub fn is_mixed(&self, service: &str, now: Time) -> bool {
        self.has_several(service) || now < self.reported_until
    }

    fn has_several(&self, service: &str) -> bool {
        let same = self.known.iter().filter(|one| one.service == service);
        same.count() > 1
    }
}
