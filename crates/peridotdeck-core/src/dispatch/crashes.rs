//! Endpoint crashes, the subjects that they are attributed to, and the quarantine of subjects.
//!
//! A subject is a whole request, or a part that prompts share. Requests of an endpoint that had not
//! begun to be answered when it crashed are suspects, with each part of their prompts. An endpoint
//! that answers on a part and stays up clears the part, since a part that crashes endpoints crashes
//! each. A subject that has crashed [`LIMIT`] endpoints and was not cleared is quarantined.
//!
//! Crashes and proofs are announced with their ages, so that all nodes count the same ones, and so
//! that none becomes younger on its way from node to node. `docs/design/CRASHES.md` derives how many
//! endpoints a subject may crash.

mod notice;
mod proofs;
mod suspect;

use std::time::Duration;

pub use notice::Notice;
use proofs::Proofs;
pub use suspect::{Crash, Quarantine, Subject};
use suspect::{MAX_CRASHES_PER_SUSPECT, Suspect};

use super::{Key, Prefix};
use crate::id::{Fingerprint, Time};

/// Number of crashed endpoints after which a subject is quarantined.
pub const LIMIT: usize = 3;

/// Number of crashed endpoints after which a request with the subject is not sent again.
pub const RETRY_LIMIT: usize = 2;

/// Time since the last crash or request for which a subject is remembered.
const RETENTION: Duration = Duration::from_secs(600);

/// Time for which a new crash is announced before others.
const NEWS_PERIOD: Duration = Duration::from_secs(3);

/// Time for which crashes that do not count are kept, so that proofs against them are announced.
const CLEARED_RETENTION: Duration = Duration::from_secs(5);

/// Most subjects that are remembered.
const MAX_SUSPECTS: usize = 1_024;

/// Most notices that wait for the next tick.
const MAX_NOTICES: usize = 256;

/// Crash that a node announces, with the ages of what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Subject of the crash.
    pub subject: Subject,
    /// Endpoint that crashed.
    pub endpoint: Key,
    /// Time since the crash.
    pub age: Duration,
    /// Time since the last crash of the subject, or the last request with it.
    pub idle: Duration,
}

/// Subjects that crashes are attributed to, and proofs that clear them.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Suspects, sorted by subject.
    suspects: Vec<Suspect>,
    proofs: Proofs,
    notices: Vec<Notice>,
}

impl List {
    /// Attributes a crash that this node has found to a subject.
    pub fn record(&mut self, subject: Subject, endpoint: Key, now: Time) {
        let crash = Crash {
            endpoint,
            at: now,
            learnt_at: now,
        };
        self.add(subject, crash, now, false, now);
    }

    /// Adds a crash that a peer has reported.
    pub fn receive(&mut self, report: Report, now: Time) {
        let crash = Crash {
            endpoint: report.endpoint,
            at: now.saturating_sub(report.age),
            learnt_at: now,
        };
        let used = now.saturating_sub(report.idle);
        self.add(report.subject, crash, used, true, now);
    }

    fn add(&mut self, subject: Subject, crash: Crash, used: Time, from_peer: bool, now: Time) {
        let index = match self.find(subject) {
            Ok(index) => index,
            Err(index) => {
                self.suspects.insert(index, Suspect::new(subject, used));
                index
            }
        };
        let proven = self.proofs.last(subject);
        let suspect = &mut self.suspects[index];
        let before = suspect.count(proven);
        suspect.note_use(used);
        if !suspect.add(crash) {
            return;
        }
        let count = suspect.count(proven);
        // One crash is attributed to every request that was at the endpoint.
        if count > 1 || matches!(subject, Subject::Part(_)) {
            self.notify(Notice::Attributed {
                subject,
                endpoint: crash.endpoint,
                count,
                from_peer,
            });
        }
        if before < LIMIT && count >= LIMIT {
            self.notify(Notice::Quarantined { subject, count });
        }
        self.evict(now);
    }

    /// Forgets the least suspect subject, and of those the one that was used longest ago.
    fn evict(&mut self, now: Time) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let proofs = &self.proofs;
        let rank = |suspect: &Suspect| {
            let count = suspect.count(proofs.last(suspect.subject));
            (count, std::cmp::Reverse(suspect.idle(now)))
        };
        let least = (0..self.suspects.len()).min_by_key(|&index| rank(&self.suspects[index]));
        if let Some(index) = least {
            self.suspects.remove(index);
        }
    }

    /// Records that an endpoint has answered on a part and is still up at a time.
    pub fn clear_part(&mut self, part: Prefix, at: Time) {
        self.clear(Subject::Part(part), at);
    }

    /// Records that an endpoint has run a request to its end at a time.
    pub fn clear_request(&mut self, fingerprint: Fingerprint, at: Time) {
        self.clear(Subject::Request(fingerprint), at);
    }

    /// Records that a peer has announced a proof, of a part or of a request with this digest.
    pub fn receive_proof(&mut self, id: u64, at: Time) {
        for subject in [Subject::Part(id), Subject::Request(id)] {
            self.clear(subject, at);
        }
    }

    fn clear(&mut self, subject: Subject, at: Time) {
        let before = self.count(subject);
        self.proofs.record(subject, at);
        if before >= LIMIT && self.count(subject) < LIMIT {
            self.notify(Notice::Released { subject });
        }
    }

    /// Records that a request with a quarantined subject has come.
    pub fn note_use(&mut self, subject: Subject, now: Time) {
        if let Ok(index) = self.find(subject) {
            self.suspects[index].note_use(now);
        }
    }

    /// Returns the number of endpoints that a subject has crashed since it was last cleared.
    #[must_use]
    pub fn count(&self, subject: Subject) -> usize {
        let proven = self.proofs.last(subject);
        self.find(subject)
            .map_or(0, |index| self.suspects[index].count(proven))
    }

    /// Returns whether a crash of a subject at a time would count.
    #[must_use]
    pub fn would_count(&self, subject: Subject, at: Time) -> bool {
        suspect::counts(at, self.proofs.last(subject))
    }

    /// Returns the quarantine of a subject, if it is in quarantine.
    #[must_use]
    pub fn quarantine(&self, subject: Subject, now: Time) -> Option<Quarantine> {
        let index = self.find(subject).ok()?;
        let proven = self.proofs.last(subject);
        self.suspects[index].quarantine(proven, now)
    }

    /// Returns all quarantines.
    pub fn quarantines(&self, now: Time) -> impl Iterator<Item = Quarantine> {
        self.suspects
            .iter()
            .filter_map(move |suspect| suspect.quarantine(self.proofs.last(suspect.subject), now))
    }

    /// Records that a request with a quarantined subject is sent, to learn whether it still crashes
    /// endpoints.
    ///
    /// `id` is the id of the request.
    pub fn start_trial(&mut self, subject: Subject, id: &str, now: Time) {
        if let Ok(index) = self.find(subject) {
            self.suspects[index].start_trial(now);
            self.notify(Notice::Tried {
                subject,
                id: id.to_owned(),
            });
        }
    }

    /// Returns up to `most` crashes to announce.
    ///
    /// At most half of the places are for those of quarantined subjects, which a node that has just
    /// started needs first. New ones follow, those of parts first, since a crash is attributed to many
    /// requests and few parts. `turn` selects some of those that are too many for one heartbeat.
    #[must_use]
    pub fn reports(&self, most: usize, turn: usize, now: Time) -> Vec<Report> {
        let mut groups: [Vec<Report>; 4] = Default::default();
        for suspect in &self.suspects {
            let proven = self.proofs.last(suspect.subject);
            let quarantined = suspect.count(proven) >= LIMIT;
            for crash in suspect.counted(proven) {
                let is_new = now.saturating_sub(crash.learnt_at) < NEWS_PERIOD;
                let group = match suspect.subject {
                    _ if quarantined => 0,
                    Subject::Part(_) if is_new => 1,
                    Subject::Request(_) if is_new => 2,
                    _ => 3,
                };
                groups[group].push(Report {
                    subject: suspect.subject,
                    endpoint: crash.endpoint,
                    age: now.saturating_sub(crash.at),
                    idle: suspect.idle(now),
                });
            }
        }
        let [quarantined, rest @ ..] = groups;
        let mut reports = select(quarantined, most / 2, turn);
        for group in rest {
            let places = most - reports.len();
            reports.extend(select(group, places, turn));
        }
        reports
    }

    /// Returns up to `most` proofs against crashes that peers may still count, with their ages.
    ///
    /// Those of the subjects with the most crashes come first: they are the closest to a quarantine.
    #[must_use]
    pub fn proofs(&self, most: usize, now: Time) -> Vec<(u64, Duration)> {
        let recent = self.suspects.iter().filter_map(|suspect| {
            let age = now.saturating_sub(self.proofs.last(suspect.subject)?);
            (age < CLEARED_RETENTION).then_some((suspect, age))
        });
        let mut recent: Vec<_> = recent.collect();
        recent
            .sort_unstable_by_key(|(suspect, age)| (std::cmp::Reverse(suspect.count(None)), *age));
        recent.truncate(most);
        let proofs = recent.iter();
        proofs
            .map(|(suspect, age)| (suspect.subject.id(), *age))
            .collect()
    }

    /// Takes the notices that have not been logged yet.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Adds a notice for the log; those beyond a limit in one tick are dropped.
    pub fn notify(&mut self, notice: Notice) {
        if self.notices.len() < MAX_NOTICES {
            self.notices.push(notice);
        }
    }

    /// Forgets subjects that were not used for long, cleared crashes and old proofs.
    pub fn expire(&mut self, now: Time) {
        self.proofs.expire(now);
        let proofs = &self.proofs;
        let expired: Vec<Suspect> = self
            .suspects
            .extract_if(.., |suspect| {
                suspect.expire(proofs.last(suspect.subject), CLEARED_RETENTION, now);
                suspect.is_empty() || suspect.idle(now) >= RETENTION
            })
            .collect();
        for suspect in expired {
            if suspect.count(self.proofs.last(suspect.subject)) >= LIMIT {
                self.notify(Notice::Expired {
                    subject: suspect.subject,
                });
            }
        }
    }

    fn find(&self, subject: Subject) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&subject, |suspect| suspect.subject)
    }
}

/// Returns up to `most` reports, another part of them at each turn.
fn select(mut reports: Vec<Report>, most: usize, turn: usize) -> Vec<Report> {
    if reports.len() > most {
        let start = turn * most % reports.len();
        reports.rotate_left(start);
        reports.truncate(most);
    }
    reports
}

const _: () = assert!(MAX_CRASHES_PER_SUSPECT > LIMIT);
