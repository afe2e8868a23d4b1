//! The configuration and the endpoints in force, which never go back.
//!
//! A publisher reports facts with the revision as of which they hold; a peer hands over a whole
//! [`Snapshot`]. Either is taken only if it is newer than what is in force. The two areas have
//! revisions of their own, because they are watched separately.
//!
//! Two revisions count in each area: as of which the publisher was read last, which orders its
//! reports, and that of the last change, by which nodes compare what they know. The first moves
//! also while nothing changes.

mod endpoint;
mod report;
mod snapshot;

use std::{sync::Arc, time::Duration};

use super::config::Config;
use crate::id::Time;

pub use endpoint::Endpoint;
pub use report::{Area, Change, Fact, Report, Revision};
pub use snapshot::Snapshot;

/// Time after the last trouble with the publisher until which an endpoint that vanishes is still
/// used: its entry may have lapsed with the publisher, and is back within two seconds of its return.
const LAPSE: Duration = Duration::from_millis(2_600);

/// Changes of the endpoint list that are remembered for peers.
const MOST_RECENT: usize = 1_024;

/// Everything that is in force at this node.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    policy: Revision,
    roster: Revision,
    config: Option<Arc<Config>>,
    closed: Vec<String>,
    endpoints: Vec<Endpoint>,
    lapsing: Vec<(String, Time)>,
    trouble: Option<Time>,
    confirmed: [Time; 2],
    /// What has changed lately in the endpoint list, by revision.
    recent: Vec<(u64, String)>,
    /// Revision after which `recent` is complete.
    recent_from: u64,
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

    /// Returns the data centres that are taken out.
    #[must_use]
    pub fn closed(&self) -> &[String] {
        &self.closed
    }

    /// Returns how new an area is.
    #[must_use]
    pub fn revision(&self, area: Area) -> Revision {
        match area {
            Area::Policy => self.policy,
            Area::Roster => self.roster,
        }
    }

    /// Notes that an area is known to be up to date, by the publisher or by a peer that knows no more.
    pub fn confirm(&mut self, area: Area, now: Time) {
        self.confirmed[area as usize] = now;
    }

    /// Returns the time since an area was known to be up to date.
    #[must_use]
    pub fn age(&self, area: Area, now: Time) -> Duration {
        now.saturating_sub(self.confirmed[area as usize])
    }

    /// Notes that the publisher cannot be reached, or has failed.
    pub fn note_publisher_failure(&mut self, now: Time) {
        self.trouble = Some(now);
    }

    /// Returns what a peer that knows a revision of an area lacks.
    #[must_use]
    pub fn snapshot(&self, area: Area, known: u64, now: Time) -> Snapshot {
        match area {
            Area::Policy => Snapshot::Policy {
                revision: self.policy,
                config: self.config.clone(),
                closed: self.closed.clone(),
            },
            Area::Roster => self.roster_since(known, now),
        }
    }

    /// Most changes concern one endpoint of many, so only what has changed is told where it is known.
    fn roster_since(&self, known: u64, now: Time) -> Snapshot {
        let whole = known < self.recent_from;
        let (endpoints, gone) = if whole {
            (self.endpoints.clone(), Vec::new())
        } else {
            self.changed_since(known)
        };
        let lapsing = self.lapsing.iter();
        Snapshot::Roster {
            revision: self.roster,
            whole,
            endpoints,
            gone,
            lapsing: lapsing
                .map(|(id, until)| (id.clone(), until.saturating_sub(now)))
                .collect(),
        }
    }

    /// Returns the endpoints that came or changed after a revision, and the names of those that left.
    fn changed_since(&self, known: u64) -> (Vec<Endpoint>, Vec<String>) {
        let news = self.recent.iter().filter(|(revision, _)| *revision > known);
        let mut ids: Vec<&String> = news.map(|(_, id)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        let mut endpoints = Vec::new();
        let mut gone = Vec::new();
        for id in ids {
            match self.find(id) {
                Ok(at) => endpoints.push(self.endpoints[at].clone()),
                Err(_) => gone.push(id.clone()),
            }
        }
        (endpoints, gone)
    }

    /// Remembers what a change of the endpoint list concerned; what came before the first is unknown.
    fn remember(&mut self, change: &Change, first: bool) {
        let revision = self.roster.changed;
        if first {
            self.recent_from = revision;
            return;
        }
        let changed = change.updated.iter().chain(&change.removed);
        let ids = changed.map(|endpoint| (revision, endpoint.id.clone()));
        self.recent.extend(ids);
        let surplus = self.recent.len().saturating_sub(MOST_RECENT);
        if surplus > 0 {
            self.recent_from = self.recent[surplus - 1].0;
            self.recent.drain(..surplus);
        }
    }

    /// Takes in a peer's snapshot if it is newer.
    pub fn adopt(&mut self, snapshot: Snapshot, now: Time) -> Change {
        let (area, revision, whole, facts, lapsing) = snapshot.into_facts();
        let known = self.revision(area);
        if revision.changed <= known.changed {
            return Change::default();
        }
        self.confirm(area, now);
        // The peer has seen the publisher later than this node: its doubts count, not this one's.
        let change = self.follow(area, facts, whole, None);
        for (id, left) in lapsing {
            // An entry that this node has given up, or expects back no longer than so, stays as it is.
            let doubted = self.lapsing.iter().any(|(each, _)| *each == id);
            if !doubted && self.find(&id).is_ok() {
                self.lapsing.push((id, now + left));
            }
        }
        let read = revision.read.max(known.read);
        self.advance(area, Revision { read, ..revision }, &change);
        change
    }

    /// Takes in a report if it is newer.
    pub fn apply(&mut self, report: Report, now: Time) -> Change {
        let known = self.revision(report.area);
        if report.revision >= known.read {
            self.confirm(report.area, now);
        }
        if report.revision < known.read || (report.revision == known.read && !report.whole) {
            return Change::default();
        }
        let doubted = self
            .trouble
            .map(|at| at + LAPSE)
            .filter(|until| now < *until);
        let change = self.follow(report.area, report.facts, report.whole, doubted);
        // What has vanished from a whole report has changed at an unknown revision before it.
        let changed = if report.whole && change != Change::default() {
            report.revision
        } else {
            report.newest
        };
        let revision = Revision {
            changed: changed.max(known.changed),
            read: report.revision,
        };
        self.advance(report.area, revision, &change);
        change
    }

    /// Sets the revision that a change has led to.
    fn advance(&mut self, area: Area, revision: Revision, change: &Change) {
        match area {
            Area::Policy => self.policy = revision,
            Area::Roster => {
                let first = self.roster.changed == 0;
                self.roster = revision;
                self.remember(change, first);
            }
        }
    }

    /// Takes in facts; an endpoint that has vanished may come back until `doubted`, if that is given.
    fn follow(
        &mut self,
        area: Area,
        facts: Vec<Fact>,
        whole: bool,
        doubted: Option<Time>,
    ) -> Change {
        let mut change = Change::default();
        match area {
            Area::Policy => self.follow_policy(facts, whole, &mut change),
            Area::Roster => self.follow_roster(facts, whole, doubted, &mut change),
        }
        change
    }

    fn follow_policy(&mut self, facts: Vec<Fact>, whole: bool, change: &mut Change) {
        if whole {
            let stays = |place: &String| facts.contains(&Fact::Closed(place.clone()));
            let opened: Vec<String> = self.closed.extract_if(.., |place| !stays(place)).collect();
            change.opened.extend(opened);
        }
        for fact in facts {
            match fact {
                Fact::Config(config) => self.follow_config(config, change),
                Fact::Closed(place) => {
                    if let Err(at) = self.closed.binary_search(&place) {
                        self.closed.insert(at, place.clone());
                        change.closed.push(place);
                    }
                }
                Fact::Opened(place) => {
                    if let Ok(at) = self.closed.binary_search(&place) {
                        change.opened.push(self.closed.remove(at));
                    }
                }
                Fact::Endpoint(_) | Fact::Gone(_) => {}
            }
        }
    }

    fn follow_config(&mut self, config: Config, change: &mut Change) {
        let version = self.config.as_ref().map(|each| each.version);
        if version.is_none_or(|version| version < config.version) {
            change.version = Some(config.version);
            self.config = Some(Arc::new(config.indexed()));
        }
    }

    fn follow_roster(
        &mut self,
        facts: Vec<Fact>,
        whole: bool,
        doubted: Option<Time>,
        change: &mut Change,
    ) {
        let mut gone: Vec<String> = Vec::new();
        if whole {
            let mut listed: Vec<&str> = facts.iter().filter_map(Fact::listed).collect();
            listed.sort_unstable();
            let stays = |each: &Endpoint| listed.binary_search(&each.id.as_str()).is_ok();
            let missing = self.endpoints.iter().filter(|each| !stays(each));
            gone.extend(missing.map(|each| each.id.clone()));
        }
        for fact in newest(facts) {
            match fact {
                Fact::Endpoint(endpoint) => self.update(endpoint, change),
                Fact::Gone(id) => gone.push(id),
                Fact::Config(_) | Fact::Closed(_) | Fact::Opened(_) => {}
            }
        }
        for id in gone {
            self.lose(&id, doubted, change);
        }
    }

    fn update(&mut self, endpoint: Endpoint, change: &mut Change) {
        let known = self.lapsing.len();
        self.lapsing.retain(|(id, _)| *id != endpoint.id);
        let is_back = self.lapsing.len() < known;
        match self.find(&endpoint.id) {
            // Peers must hear that an entry is back, even if nothing else has changed.
            Ok(at) if self.endpoints[at] == endpoint && !is_back => {}
            Ok(at) => {
                let old = std::mem::replace(&mut self.endpoints[at], endpoint.clone());
                if old.born != endpoint.born {
                    change.removed.push(old);
                }
                change.updated.push(endpoint);
            }
            Err(at) => {
                self.endpoints.insert(at, endpoint.clone());
                change.updated.push(endpoint);
            }
        }
    }

    /// An entry that vanishes means departure, except around an outage of the publisher, when it
    /// may have lapsed for want of a heartbeat.
    fn lose(&mut self, id: &str, doubted: Option<Time>, change: &mut Change) {
        let Ok(at) = self.find(id) else { return };
        match doubted {
            Some(until) if !self.endpoints[at].draining => {
                if !self.lapsing.iter().any(|(each, _)| each == id) {
                    self.lapsing.push((id.to_owned(), until));
                }
            }
            _ => {
                change.removed.push(self.endpoints.remove(at));
                self.lapsing.retain(|(each, _)| each != id);
            }
        }
    }

    /// Removes entries whose time to come back is over.
    pub fn expire(&mut self, now: Time) -> Vec<Endpoint> {
        let due: Vec<(String, Time)> = self
            .lapsing
            .extract_if(.., |(_, until)| *until <= now)
            .collect();
        let overdue = |endpoint: &mut Endpoint| due.iter().any(|(id, _)| *id == endpoint.id);
        let change = Change {
            removed: self.endpoints.extract_if(.., overdue).collect(),
            ..Change::default()
        };
        self.remember(&change, false);
        change.removed
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|each| each.id.as_str().cmp(id))
    }
}

/// Keeps the last fact about each endpoint: a watch that resumes late tells how an entry came before
/// it tells that the entry left.
fn newest(facts: Vec<Fact>) -> Vec<Fact> {
    let mut last: Vec<Fact> = Vec::with_capacity(facts.len());
    let mut seen: Vec<String> = Vec::new();
    for fact in facts.into_iter().rev() {
        let Some(id) = fact.endpoint().map(str::to_owned) else {
            continue;
        };
        if let Err(at) = seen.binary_search(&id) {
            seen.insert(at, id);
            last.push(fact);
        }
    }
    last.reverse();
    last
}
