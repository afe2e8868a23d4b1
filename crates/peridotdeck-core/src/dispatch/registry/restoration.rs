//! Knowledge that outlives the publisher's restoration from a copy.
//!
//! The copy lacks the publisher's latest changes. An endpoint that has left, or a data centre that
//! was closed, would come into use again until the change is published once more. For
//! [`RESTORE_GRACE`] such knowledge therefore goes before the copy; then the publisher counts.

use std::time::Duration;

use super::{Area, Endpoint, Fact};
use crate::{dispatch::Key, id::Time};

/// Time after a restoration within which its lost changes are published again.
const RESTORE_GRACE: Duration = Duration::from_secs(10);

/// Time for which a removed endpoint is remembered; a copy is only seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Most removed endpoints that are remembered.
const MAX_REMOVED: usize = 1_024;

/// State of the areas after a restoration, and what is needed for the next one.
#[derive(Clone, Debug, Default)]
pub(super) struct Restoration {
    /// End of the grace time of each area, by the area's index.
    until: [Time; 2],
    /// Endpoints that were removed, with the time of the removal, oldest first.
    removed: Vec<(Key, Time)>,
    /// Entries of the copy that are not used until the end of the grace time.
    withheld: Vec<Endpoint>,
    /// Closed data centres that the copy shows as open.
    closures: Vec<String>,
}

impl Restoration {
    /// Begins the grace time of an area.
    pub(super) fn begin(&mut self, area: Area, now: Time) {
        self.until[area as usize] = now + RESTORE_GRACE;
    }

    /// Returns whether the publisher was restored within the grace time.
    pub(super) fn is_recent(&self, area: Area, now: Time) -> bool {
        now < self.until[area as usize]
    }

    /// Remembers endpoints that were removed.
    pub(super) fn record_removed(&mut self, endpoints: &[Endpoint], now: Time) {
        let keys = endpoints.iter().map(|endpoint| (endpoint.key(), now));
        self.removed.extend(keys);
        let surplus = self.removed.len().saturating_sub(MAX_REMOVED);
        self.removed.drain(..surplus);
    }

    /// Returns whether an endpoint was removed recently.
    pub(super) fn is_removed(&self, key: Key, now: Time) -> bool {
        let recent = |removed: Time| now.saturating_sub(removed) < REMOVED_RETENTION;
        self.removed
            .iter()
            .any(|&(other, removed)| other == key && recent(removed))
    }

    /// Withholds an entry of the copy until the end of the grace time.
    pub(super) fn withhold(&mut self, endpoint: Endpoint) {
        self.withheld.retain(|other| other.id != endpoint.id);
        self.withheld.push(endpoint);
    }

    /// Drops what is withheld of the endpoints that later facts concern.
    pub(super) fn release(&mut self, facts: &[Fact]) {
        for fact in facts {
            if let Some(id) = fact.endpoint() {
                self.withheld.retain(|other| other.id != id);
            }
            if let Fact::Endpoint(endpoint) = fact {
                let key = endpoint.key();
                self.removed.retain(|(other, _)| *other != key);
            }
        }
    }

    /// Keeps a data centre closed until the end of the grace time, if the publisher was restored.
    pub(super) fn keep_closed(&mut self, data_centre: &str, now: Time) -> bool {
        let keeps = self.is_recent(Area::Policy, now);
        if keeps && !self.closures.iter().any(|other| other == data_centre) {
            self.closures.push(data_centre.to_owned());
        }
        keeps
    }

    /// Drops the doubt about a data centre, because its state was published.
    pub(super) fn confirm_closure(&mut self, data_centre: &str) {
        self.closures.retain(|other| other != data_centre);
    }

    /// Returns the withheld entries and the doubtful closures whose grace time is over.
    pub(super) fn expire(&mut self, now: Time) -> (Vec<Endpoint>, Vec<String>) {
        self.removed
            .retain(|&(_, removed)| now.saturating_sub(removed) < REMOVED_RETENTION);
        let endpoints = if self.is_recent(Area::Roster, now) {
            Vec::new()
        } else {
            std::mem::take(&mut self.withheld)
        };
        let closures = if self.is_recent(Area::Policy, now) {
            Vec::new()
        } else {
            std::mem::take(&mut self.closures)
        };
        (endpoints, closures)
    }
}
