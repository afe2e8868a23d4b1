//! The configuration and the endpoints in force, which never go back.
//!
//! A publisher reports facts with the revision as of which they hold; a peer hands over a whole
//! [`Snapshot`]. Either is taken only if it is newer than what is in force. The two areas have
//! revisions of their own, because they are watched separately.
//!
//! Two revisions count in each area: as of which the publisher was read last, which orders its
//! reports, and that of the last change, by which nodes compare what they know. The first moves
//! also while nothing changes.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::{Key, config::Config, key};
use crate::id::Time;

/// Time after the last trouble with the publisher until which an endpoint that vanishes is still
/// used: its entry may have lapsed with the publisher, and is back within two seconds of its return.
const LAPSE: Duration = Duration::from_millis(2_600);

/// Changes of the endpoint list that are remembered for peers.
const MOST_RECENT: usize = 1_024;

/// What is published together, with one revision.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Area {
    /// The operators' configuration and the data centres that they have taken out.
    Policy,
    /// The endpoints that have announced themselves.
    Roster,
}

/// Where an endpoint is and how it says it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name that it answers to.
    pub id: String,
    /// Start of its process in Unix milliseconds.
    pub born: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub place: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it says that it is cold.
    pub cold: Duration,
}

impl Endpoint {
    /// Returns the digest of id and start.
    #[must_use]
    pub fn key(&self) -> Key {
        key(&self.id, self.born)
    }
}

/// One thing that a publisher says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A configuration.
    Config(Config),
    /// A data centre takes no new work.
    Closed(String),
    /// A data centre takes work again.
    Opened(String),
    /// An endpoint, new or changed.
    Endpoint(Endpoint),
    /// An endpoint is no longer listed, or its entry cannot be read.
    Gone(String),
}

/// How new an area is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Of the last change.
    pub changed: u64,
    /// As of which the publisher was read last.
    pub read: u64,
}

/// What a publisher reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// What the facts belong to.
    pub area: Area,
    /// Revision as of which the facts hold.
    pub revision: u64,
    /// Revision of the newest fact.
    pub newest: u64,
    /// Whether the facts are all there is, or only what has changed.
    pub whole: bool,
    /// The facts.
    pub facts: Vec<Fact>,
}

/// The whole of one area, as one node hands it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Snapshot {
    /// Configuration and data centres taken out.
    Policy {
        /// Revisions of the area.
        revision: Revision,
        /// Configuration, if one was ever published.
        config: Option<Arc<Config>>,
        /// Data centres taken out.
        closed: Vec<String>,
    },
    /// All endpoints, or what has changed since a revision that the peer knows.
    Roster {
        /// Revisions of the area.
        revision: Revision,
        /// Whether the endpoints are all there are.
        whole: bool,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
        /// Those that have left, where not all are told.
        gone: Vec<String>,
        /// Those that have vanished and may come back, with the time that they have left for it.
        lapsing: Vec<(String, Duration)>,
    },
}

impl Snapshot {
    fn into_facts(self) -> (Area, Revision, bool, Vec<Fact>, Vec<(String, Duration)>) {
        match self {
            Self::Policy {
                revision,
                config,
                closed,
            } => {
                let config = config.map(|config| Fact::Config(Arc::unwrap_or_clone(config)));
                let closed = closed.into_iter().map(Fact::Closed);
                let facts = config.into_iter().chain(closed).collect();
                (Area::Policy, revision, true, facts, Vec::new())
            }
            Self::Roster {
                revision,
                whole,
                endpoints,
                gone,
                lapsing,
            } => {
                let listed = endpoints.into_iter().map(Fact::Endpoint);
                let gone = gone.into_iter().map(Fact::Gone);
                let facts = listed.chain(gone).collect();
                (Area::Roster, revision, whole, facts, lapsing)
            }
        }
    }
}

/// What has changed by a report or a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Version of a configuration that came into force.
    pub version: Option<u64>,
    /// Data centres taken out.
    pub closed: Vec<String>,
    /// Data centres taken back.
    pub opened: Vec<String>,
    /// Endpoints that came or changed.
    pub updated: Vec<Endpoint>,
    /// Endpoints that left the list.
    pub removed: Vec<Endpoint>,
}

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
    pub fn note_trouble(&mut self, now: Time) {
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
        let news = self.recent.iter().filter(|(revision, _)| *revision > known);
        let mut ids: Vec<&String> = news.map(|(_, id)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        let (listed, gone): (Vec<&String>, Vec<&String>) =
            ids.into_iter().partition(|id| self.find(id).is_ok());
        let endpoints = if whole {
            self.endpoints.clone()
        } else {
            let found = listed.iter().filter_map(|id| self.find(id).ok());
            found.map(|at| self.endpoints[at].clone()).collect()
        };
        let lapsing = self.lapsing.iter();
        Snapshot::Roster {
            revision: self.roster,
            whole,
            endpoints,
            gone: gone.into_iter().cloned().collect(),
            lapsing: lapsing
                .map(|(id, until)| (id.clone(), until.saturating_sub(now)))
                .collect(),
        }
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
        let doubts = self.trouble.take();
        let change = self.follow(area, facts, whole, now);
        self.trouble = doubts;
        for (id, left) in lapsing {
            // An entry that this node has given up, or expects back no longer than so, stays as it is.
            let doubted = self.lapsing.iter().any(|(each, _)| *each == id);
            if !doubted && self.find(&id).is_ok() {
                self.lapsing.push((id, now + left));
            }
        }
        *self.revision_mut(area) = Revision {
            changed: revision.changed,
            read: revision.read.max(known.read),
        };
        if area == Area::Roster {
            self.remember(&change, known.changed == 0);
        }
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
        let change = self.follow(report.area, report.facts, report.whole, now);
        // What has vanished from a whole report has changed at an unknown revision before it.
        let changed = if report.whole && change != Change::default() {
            report.revision
        } else {
            report.newest
        };
        *self.revision_mut(report.area) = Revision {
            changed: changed.max(known.changed),
            read: report.revision,
        };
        if report.area == Area::Roster {
            self.remember(&change, known.changed == 0);
        }
        change
    }

    fn revision_mut(&mut self, area: Area) -> &mut Revision {
        match area {
            Area::Policy => &mut self.policy,
            Area::Roster => &mut self.roster,
        }
    }

    fn follow(&mut self, area: Area, facts: Vec<Fact>, whole: bool, now: Time) -> Change {
        let mut change = Change::default();
        match area {
            Area::Policy => self.follow_policy(facts, whole, &mut change),
            Area::Roster => self.follow_roster(facts, whole, now, &mut change),
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

    fn follow_roster(&mut self, facts: Vec<Fact>, whole: bool, now: Time, change: &mut Change) {
        let mut gone: Vec<String> = Vec::new();
        if whole {
            let listed = |id: &str| {
                let same = |fact: &Fact| matches!(fact, Fact::Endpoint(each) if each.id == id);
                facts.iter().any(same)
            };
            let missing = self.endpoints.iter().filter(|each| !listed(&each.id));
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
            self.lose(&id, now, change);
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
    fn lose(&mut self, id: &str, now: Time, change: &mut Change) {
        let Ok(at) = self.find(id) else { return };
        let until = self.trouble.map_or(Time::ZERO, |at| at + LAPSE);
        let suspicious = now < until;
        if !suspicious || self.endpoints[at].draining {
            change.removed.push(self.endpoints.remove(at));
            self.lapsing.retain(|(each, _)| each != id);
        } else if !self.lapsing.iter().any(|(each, _)| each == id) {
            self.lapsing.push((id.to_owned(), until));
        }
    }

    /// Removes entries whose time to come back is over.
    pub fn tick(&mut self, now: Time) -> Vec<Endpoint> {
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
    let id = |fact: &Fact| match fact {
        Fact::Endpoint(endpoint) => Some(endpoint.id.clone()),
        Fact::Gone(id) => Some(id.clone()),
        Fact::Config(_) | Fact::Closed(_) | Fact::Opened(_) => None,
    };
    let mut seen: Vec<String> = Vec::new();
    for fact in facts.into_iter().rev() {
        let Some(id) = id(&fact) else { continue };
        if let Err(at) = seen.binary_search(&id) {
            seen.insert(at, id);
            last.push(fact);
        }
    }
    last.reverse();
    last
}
