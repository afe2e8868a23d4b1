//! The configuration and the endpoint list in force at a node, whose revisions never go back.
//!
//! A publisher reports facts with the revision as of which they hold, and a peer sends a
//! [`Snapshot`]. Each is applied only if it is newer than the state in force. The two areas have
//! separate revisions, because they are watched separately.
//!
//! Each area has two revisions. The revision as of which the publisher was last read orders its
//! reports, and advances even if nothing changes. The revision of the last change is what nodes
//! compare with each other.

mod endpoint;
mod report;
mod snapshot;

use std::{sync::Arc, time::Duration};

use super::config::Config;
use crate::id::Time;

pub use endpoint::Endpoint;
pub use report::{Area, Change, Fact, Report, Revision};
pub use snapshot::Snapshot;

/// Time after the publisher's last failure until which a missing endpoint is still used.
///
/// Its entry may have disappeared because the publisher was unavailable. In that case it is back
/// within two seconds of the publisher's return.
const MISSING_GRACE: Duration = Duration::from_millis(2_600);

/// Most changes of the endpoint list that are kept for incremental snapshots to peers.
const MAX_RECENT_CHANGES: usize = 1_024;

/// Configuration, closed data centres and endpoints in force at this node.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    policy: Revision,
    roster: Revision,
    config: Option<Arc<Config>>,
    closed: Vec<String>,
    endpoints: Vec<Endpoint>,
    missing: Vec<(String, Time)>,
    publisher_failure: Option<Time>,
    confirmed: [Time; 2],
    /// Revisions and ids of the latest changes of the endpoint list.
    recent_changes: Vec<(u64, String)>,
    /// Revision after which `recent_changes` is complete.
    recent_complete_after: u64,
}

impl Registry {
    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the endpoints, sorted by id.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Returns the data centres that take no new requests, sorted by name.
    #[must_use]
    pub fn closed(&self) -> &[String] {
        &self.closed
    }

    /// Returns the revisions of an area.
    #[must_use]
    pub fn revision(&self, area: Area) -> Revision {
        match area {
            Area::Policy => self.policy,
            Area::Roster => self.roster,
        }
    }

    /// Records that the publisher, or a peer at the same revision, confirms an area as up to date.
    pub fn confirm(&mut self, area: Area, now: Time) {
        self.confirmed[area as usize] = now;
    }

    /// Returns the time since an area was last confirmed as up to date.
    #[must_use]
    pub fn age(&self, area: Area, now: Time) -> Duration {
        now.saturating_sub(self.confirmed[area as usize])
    }

    /// Records that the publisher cannot be reached or has failed.
    pub fn note_publisher_failure(&mut self, now: Time) {
        self.publisher_failure = Some(now);
    }

    /// Returns a snapshot of an area for a peer at the revision `known`.
    #[must_use]
    pub fn snapshot(&self, area: Area, known: u64, now: Time) -> Snapshot {
        match area {
            Area::Policy => Snapshot::Policy {
                revision: self.policy,
                config: self.config.clone(),
                closed: self.closed.clone(),
            },
            Area::Roster => self.endpoints_since(known, now),
        }
    }

    /// Returns a snapshot of the endpoint list for a peer at the revision `known`.
    ///
    /// It is incremental if all changes since then are kept, as most changes concern a single
    /// endpoint of many.
    fn endpoints_since(&self, known: u64, now: Time) -> Snapshot {
        let whole = known < self.recent_complete_after;
        let (endpoints, gone) = if whole {
            (self.endpoints.clone(), Vec::new())
        } else {
            self.changed_since(known)
        };
        let missing = self.missing.iter();
        Snapshot::Roster {
            revision: self.roster,
            whole,
            endpoints,
            gone,
            lapsing: missing
                .map(|(id, until)| (id.clone(), until.saturating_sub(now)))
                .collect(),
        }
    }

    /// Returns the endpoints added or changed after a revision, and the ids of those removed.
    fn changed_since(&self, known: u64) -> (Vec<Endpoint>, Vec<String>) {
        let later = self
            .recent_changes
            .iter()
            .filter(|(revision, _)| *revision > known);
        let mut ids: Vec<&String> = later.map(|(_, id)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        let mut endpoints = Vec::new();
        let mut gone = Vec::new();
        for id in ids {
            match self.find(id) {
                Ok(index) => endpoints.push(self.endpoints[index].clone()),
                Err(_) => gone.push(id.clone()),
            }
        }
        (endpoints, gone)
    }

    /// Keeps the ids that a change of the endpoint list concerned, for incremental snapshots.
    ///
    /// Changes up to the first known revision are not available.
    fn record_change(&mut self, change: &Change, first: bool) {
        let revision = self.roster.changed;
        if first {
            self.recent_complete_after = revision;
            return;
        }
        let changed = change.updated.iter().chain(&change.removed);
        let ids = changed.map(|endpoint| (revision, endpoint.id.clone()));
        self.recent_changes.extend(ids);
        let surplus = self.recent_changes.len().saturating_sub(MAX_RECENT_CHANGES);
        if surplus > 0 {
            self.recent_complete_after = self.recent_changes[surplus - 1].0;
            self.recent_changes.drain(..surplus);
        }
    }

    /// Applies a peer's snapshot if it is newer, and returns the changes.
    pub fn adopt(&mut self, snapshot: Snapshot, now: Time) -> Change {
        let (area, revision, whole, facts, lapsing) = snapshot.into_facts();
        let known = self.revision(area);
        if revision.changed <= known.changed {
            return Change::default();
        }
        self.confirm(area, now);
        // The peer has read a later revision: its missing entries count, not this node's outage.
        let change = self.apply_facts(area, facts, whole, None);
        for (id, left) in lapsing {
            // An entry that this node has removed, or already expects back by then, stays as it is.
            let is_missing = self.missing.iter().any(|(missing, _)| *missing == id);
            if !is_missing && self.find(&id).is_ok() {
                self.missing.push((id, now + left));
            }
        }
        let read = revision.read.max(known.read);
        self.set_revision(area, Revision { read, ..revision }, &change);
        change
    }

    /// Applies a publisher's report if it is newer, and returns the changes.
    pub fn apply(&mut self, report: Report, now: Time) -> Change {
        let known = self.revision(report.area);
        if report.revision >= known.read {
            self.confirm(report.area, now);
        }
        if report.revision < known.read || (report.revision == known.read && !report.whole) {
            return Change::default();
        }
        let grace_until = self
            .publisher_failure
            .map(|failed| failed + MISSING_GRACE)
            .filter(|until| now < *until);
        let change = self.apply_facts(report.area, report.facts, report.whole, grace_until);
        // An entry missing from a whole report has changed at an unknown revision before it.
        let changed = if report.whole && change != Change::default() {
            report.revision
        } else {
            report.newest
        };
        let revision = Revision {
            changed: changed.max(known.changed),
            read: report.revision,
        };
        self.set_revision(report.area, revision, &change);
        change
    }

    /// Sets the revisions of an area that a change has led to.
    fn set_revision(&mut self, area: Area, revision: Revision, change: &Change) {
        match area {
            Area::Policy => self.policy = revision,
            Area::Roster => {
                let first = self.roster.changed == 0;
                self.roster = revision;
                self.record_change(change, first);
            }
        }
    }

    /// Applies facts; with `grace_until`, a missing endpoint is kept until then.
    fn apply_facts(
        &mut self,
        area: Area,
        facts: Vec<Fact>,
        whole: bool,
        grace_until: Option<Time>,
    ) -> Change {
        let mut change = Change::default();
        match area {
            Area::Policy => self.apply_policy(facts, whole, &mut change),
            Area::Roster => self.apply_roster(facts, whole, grace_until, &mut change),
        }
        change
    }

    fn apply_policy(&mut self, facts: Vec<Fact>, whole: bool, change: &mut Change) {
        if whole {
            let stays = |data_centre: &String| facts.contains(&Fact::Closed(data_centre.clone()));
            let opened: Vec<String> = self
                .closed
                .extract_if(.., |data_centre| !stays(data_centre))
                .collect();
            change.opened.extend(opened);
        }
        for fact in facts {
            match fact {
                Fact::Config(config) => self.apply_config(config, change),
                Fact::Closed(data_centre) => {
                    if let Err(index) = self.closed.binary_search(&data_centre) {
                        self.closed.insert(index, data_centre.clone());
                        change.closed.push(data_centre);
                    }
                }
                Fact::Opened(data_centre) => {
                    if let Ok(index) = self.closed.binary_search(&data_centre) {
                        change.opened.push(self.closed.remove(index));
                    }
                }
                Fact::Endpoint(_) | Fact::Gone(_) => {}
            }
        }
    }

    fn apply_config(&mut self, config: Config, change: &mut Change) {
        let version = self.config.as_ref().map(|config| config.version);
        if version.is_none_or(|version| version < config.version) {
            change.version = Some(config.version);
            self.config = Some(Arc::new(config.indexed()));
        }
    }

    fn apply_roster(
        &mut self,
        facts: Vec<Fact>,
        whole: bool,
        grace_until: Option<Time>,
        change: &mut Change,
    ) {
        let mut gone: Vec<String> = Vec::new();
        if whole {
            let mut listed: Vec<&str> = facts.iter().filter_map(Fact::listed).collect();
            listed.sort_unstable();
            let stays = |endpoint: &Endpoint| listed.binary_search(&endpoint.id.as_str()).is_ok();
            let missing = self.endpoints.iter().filter(|endpoint| !stays(endpoint));
            gone.extend(missing.map(|endpoint| endpoint.id.clone()));
        }
        for fact in latest_by_endpoint(facts) {
            match fact {
                Fact::Endpoint(endpoint) => self.update(endpoint, change),
                Fact::Gone(id) => gone.push(id),
                Fact::Config(_) | Fact::Closed(_) | Fact::Opened(_) => {}
            }
        }
        for id in gone {
            self.remove(&id, grace_until, change);
        }
    }

    fn update(&mut self, endpoint: Endpoint, change: &mut Change) {
        let known = self.missing.len();
        self.missing.retain(|(id, _)| *id != endpoint.id);
        let is_back = self.missing.len() < known;
        match self.find(&endpoint.id) {
            // Peers need to know that an entry is back, even if nothing else has changed.
            Ok(index) if self.endpoints[index] == endpoint && !is_back => {}
            Ok(index) => {
                let old = std::mem::replace(&mut self.endpoints[index], endpoint.clone());
                if old.born != endpoint.born {
                    change.removed.push(old);
                }
                change.updated.push(endpoint);
            }
            Err(index) => {
                self.endpoints.insert(index, endpoint.clone());
                change.updated.push(endpoint);
            }
        }
    }

    /// Removes an endpoint, or keeps it as missing until `grace_until`, if that is given.
    ///
    /// A missing entry normally means that the endpoint has left. Around an outage of the
    /// publisher, the entry may have expired because no heartbeat reached the publisher. A draining
    /// endpoint is always removed.
    fn remove(&mut self, id: &str, grace_until: Option<Time>, change: &mut Change) {
        let Ok(index) = self.find(id) else { return };
        match grace_until {
            Some(until) if !self.endpoints[index].draining => {
                if !self.missing.iter().any(|(missing, _)| missing == id) {
                    self.missing.push((id.to_owned(), until));
                }
            }
            _ => {
                change.removed.push(self.endpoints.remove(index));
                self.missing.retain(|(missing, _)| missing != id);
            }
        }
    }

    /// Removes missing endpoints whose grace time is over, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<Endpoint> {
        let due: Vec<(String, Time)> = self
            .missing
            .extract_if(.., |(_, until)| *until <= now)
            .collect();
        let overdue = |endpoint: &mut Endpoint| due.iter().any(|(id, _)| *id == endpoint.id);
        let change = Change {
            removed: self.endpoints.extract_if(.., overdue).collect(),
            ..Change::default()
        };
        self.record_change(&change, false);
        change.removed
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| endpoint.id.as_str().cmp(id))
    }
}

/// Keeps only the last fact about each endpoint.
///
/// A watch that resumes late reports first that an entry was added and then that it was removed.
fn latest_by_endpoint(facts: Vec<Fact>) -> Vec<Fact> {
    let mut last: Vec<Fact> = Vec::with_capacity(facts.len());
    let mut seen: Vec<String> = Vec::new();
    for fact in facts.into_iter().rev() {
        let Some(id) = fact.endpoint().map(str::to_owned) else {
            continue;
        };
        if let Err(index) = seen.binary_search(&id) {
            seen.insert(index, id);
            last.push(fact);
        }
    }
    last.reverse();
    last
}
