//! The configuration and the endpoint list in force at a node, whose revisions never go back.
//!
//! A publisher reports facts with the revision as of which they hold, and a peer sends a
//! [`Snapshot`]. Each is applied only if it is newer than the state in force. The two areas have
//! separate revisions, because they are watched separately.
//!
//! Each area has two positions. The position as of which the publisher was last read orders its
//! reports, and advances even if nothing changes. The position of the last change is what nodes
//! compare with each other.
//!
//! A publisher that is restored from a copy has forgotten its latest changes. What this node knew
//! of them stays in force for a while (`restoration`), since it is published again soon.

mod ages;
pub mod endpoint;
pub mod name;
mod policy;
mod position;
mod report;
mod restoration;
mod roster;
mod snapshot;

use std::{sync::Arc, time::Duration};

use super::config::Config;
use crate::id::Time;

use restoration::Restoration;

pub use ages::Ages;
pub use endpoint::Endpoint;
pub use position::Position;
pub use report::{Area, Change, Fact, Progress, Report};
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
    policy: Progress,
    roster: Progress,
    config: Option<Arc<Config>>,
    closed: Vec<String>,
    endpoints: Vec<Endpoint>,
    missing: Vec<(String, Time)>,
    publisher_failure: Option<Time>,
    confirmed: [Time; 2],
    /// Positions and ids of the latest changes of the endpoint list.
    recent_changes: Vec<(Position, String)>,
    /// Position after which `recent_changes` is complete.
    recent_complete_after: Position,
    restoration: Restoration,
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

    /// Returns the positions of an area.
    #[must_use]
    pub fn progress(&self, area: Area) -> Progress {
        match area {
            Area::Policy => self.policy,
            Area::Roster => self.roster,
        }
    }

    /// Records that an area was up to date at a time, as the publisher has said to this node or a peer.
    pub fn confirm(&mut self, area: Area, at: Time) {
        let confirmed = &mut self.confirmed[area as usize];
        *confirmed = at.max(*confirmed);
    }

    /// Returns the time since the publisher last confirmed an area, to this node or to one that told it so.
    #[must_use]
    pub fn age(&self, area: Area, now: Time) -> Duration {
        now.saturating_sub(self.confirmed[area as usize])
    }

    /// Records that the publisher cannot be reached or has failed.
    pub fn note_publisher_failure(&mut self, now: Time) {
        self.publisher_failure = Some(now);
    }

    /// Returns the version of the configuration in force; 0 without one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns a snapshot of an area for a peer at the position `known`.
    #[must_use]
    pub fn snapshot(&self, area: Area, known: Position, now: Time) -> Snapshot {
        match area {
            Area::Policy => Snapshot::Policy {
                progress: self.policy,
                config: self.config.clone(),
                closed: self.closed.clone(),
            },
            Area::Roster => self.endpoints_since(known, now),
        }
    }

    /// Returns a snapshot of the endpoint list for a peer at the position `known`.
    ///
    /// It is incremental if all changes since then are kept, as most changes concern a single
    /// endpoint of many. A peer in an older era may know changes that the publisher has forgotten.
    fn endpoints_since(&self, known: Position, now: Time) -> Snapshot {
        let whole = known.era < self.roster.changed.era || known < self.recent_complete_after;
        let (endpoints, gone) = if whole {
            (self.endpoints.clone(), Vec::new())
        } else {
            self.changed_since(known)
        };
        let missing = self.missing.iter();
        Snapshot::Roster {
            progress: self.roster,
            whole,
            endpoints,
            gone,
            lapsing: missing
                .map(|(id, until)| (id.clone(), until.saturating_sub(now)))
                .collect(),
        }
    }

    /// Returns the endpoints added or changed after a position, and the ids of those removed.
    fn changed_since(&self, known: Position) -> (Vec<Endpoint>, Vec<String>) {
        let later = self
            .recent_changes
            .iter()
            .filter(|(position, _)| *position > known);
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
    /// Changes up to the position of a whole list are not available, as it does not name what has come
    /// and gone before.
    fn record_change(&mut self, change: &Change, whole: bool) {
        let position = self.roster.changed;
        if whole {
            self.recent_changes.clear();
            self.recent_complete_after = position;
            return;
        }
        let changed = change.updated.iter().chain(&change.removed);
        let changed = changed.map(|endpoint| &endpoint.id);
        let ids = changed.chain(&change.passed_by);
        let ids = ids.map(|id| (position, id.clone()));
        self.recent_changes.extend(ids);
        let surplus = self.recent_changes.len().saturating_sub(MAX_RECENT_CHANGES);
        if surplus > 0 {
            self.recent_complete_after = self.recent_changes[surplus - 1].0;
            self.recent_changes.drain(..surplus);
        }
    }

    /// Applies a peer's snapshot if it is newer, and returns the changes.
    ///
    /// A configuration of a higher version is adopted from any peer. A node that started after the
    /// publisher was restored has read only the copy, which may lack the last version.
    pub fn adopt(&mut self, snapshot: Snapshot, now: Time) -> Change {
        let (area, progress, whole, facts, lapsing) = snapshot.into_facts();
        let known = self.progress(area);
        if progress.changed <= known.changed {
            return self.adopt_version(facts);
        }
        self.enter_era(area, progress.changed.era, now);
        // The peer has read a later revision: its missing entries count, not this node's outage.
        let change = self.apply_facts(area, facts, whole, None, now);
        for (id, left) in lapsing {
            // An entry that this node has removed, or already expects back by then, stays as it is.
            let is_missing = self.missing.iter().any(|(missing, _)| *missing == id);
            if !is_missing && self.find(&id).is_ok() {
                self.missing.push((id, now + left.min(MISSING_GRACE)));
            }
        }
        let read = progress.read.max(known.read);
        self.set_progress(area, Progress { read, ..progress }, &change, whole);
        change
    }

    /// Applies only the configuration among the facts of an older snapshot.
    fn adopt_version(&mut self, facts: Vec<Fact>) -> Change {
        let mut change = Change::default();
        for fact in facts {
            if let Fact::Config(config) = fact {
                self.apply_config(config, &mut change);
            }
        }
        change
    }

    /// Applies a publisher's report if it is newer, and returns the changes.
    ///
    /// A new era must begin with a whole report.
    pub fn apply(&mut self, report: Report, now: Time) -> Change {
        let Report {
            area,
            position,
            newest,
            whole,
            facts,
        } = report;
        let known = self.progress(area);
        if position >= known.read {
            self.confirm(area, now);
        }
        let continues = position.era == known.read.era || known.read == Position::default();
        if position < known.read || (!whole && (position == known.read || !continues)) {
            return Change::default();
        }
        self.enter_era(area, position.era, now);
        let grace_until = self
            .publisher_failure
            .map(|failed| failed + MISSING_GRACE)
            .filter(|until| now < *until);
        let change = self.apply_facts(area, facts, whole, grace_until, now);
        // An entry missing from a whole report has changed at an unknown revision before it.
        let changed = if whole && change != Change::default() {
            position
        } else {
            Position::new(position.era, newest)
        };
        let progress = Progress {
            changed: changed.max(known.changed),
            read: position,
        };
        self.set_progress(area, progress, &change, whole);
        change
    }

    /// Notes that the publisher was restored, if an area's era is newer than the known one.
    ///
    /// Entries that the copy lacks are expected back, as after an outage.
    fn enter_era(&mut self, area: Area, era: u64, now: Time) {
        let known = self.progress(area).read;
        if known == Position::default() || era <= known.era {
            return;
        }
        self.restoration.begin(area, now);
        self.note_publisher_failure(now);
    }

    /// Sets the positions of an area that a change has led to, or a whole list.
    fn set_progress(&mut self, area: Area, progress: Progress, change: &Change, whole: bool) {
        match area {
            Area::Policy => self.policy = progress,
            Area::Roster => {
                let first = self.roster.changed == Position::default();
                self.roster = progress;
                self.record_change(change, first || whole);
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
        now: Time,
    ) -> Change {
        let facts = facts.into_iter().filter_map(Fact::checked).collect();
        let mut change = Change::default();
        match area {
            Area::Policy => self.apply_policy(facts, whole, now, &mut change),
            Area::Roster => {
                let facts = if whole {
                    self.without_contradictions(facts, now)
                } else {
                    self.restoration.release(&facts);
                    facts
                };
                self.apply_roster(facts, whole, grace_until, &mut change);
                self.restoration.record_removed(&change.removed, now);
            }
        }
        change
    }

    /// Applies what was postponed until now, and returns the changes.
    ///
    /// Missing endpoints whose grace time is over are removed. Some time after a restoration the
    /// publisher's state counts, also where it contradicts what this node knew.
    pub fn expire(&mut self, now: Time) -> Change {
        let due: Vec<(String, Time)> = self
            .missing
            .extract_if(.., |(_, until)| *until <= now)
            .collect();
        let overdue = |endpoint: &mut Endpoint| due.iter().any(|(id, _)| *id == endpoint.id);
        let mut change = Change {
            removed: self.endpoints.extract_if(.., overdue).collect(),
            ..Change::default()
        };
        self.restoration.record_removed(&change.removed, now);
        let (endpoints, closures) = self.restoration.expire(now);
        for endpoint in endpoints {
            self.update(endpoint, &mut change);
        }
        for data_centre in closures {
            self.open(&data_centre, &mut change);
        }
        self.record_change(&change, false);
        change
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| endpoint.id.as_str().cmp(id))
    }
}
