//! The reservations that a node remembers as a witness.

use std::time::Duration;

use peridotdeck_wire::{Answer, Claim, Claims, Entry, Member, Phase, Sync};

use super::witnesses;
use crate::id;

/// Time for which a reservation is remembered; a key may be used again afterwards.
pub const HORIZON: Duration = Duration::from_secs(900);

/// Reservations that a witness holds at most; a full witness does not vote.
const MAX_ENTRIES: usize = 100_000;

/// Reservations in one page of a transfer.
const PAGE: usize = 64;

/// Time after which an unanswered transfer request is sent again.
const RESEND: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Record {
    entry: Entry,
    at: id::Time,
}

/// A peer that has not yet told all that it knows.
#[derive(Clone, Debug)]
struct Source {
    node: id::Node,
    after: String,
    asked: Option<id::Time>,
}

/// Reservations, sorted by key.
#[derive(Clone, Debug)]
pub struct Ledger {
    me: id::Node,
    records: Vec<Record>,
    roster: id::Revision,
    members: Vec<Member>,
    known: Vec<Member>,
    sources: Vec<Source>,
    since: id::Time,
}

impl Ledger {
    /// Starts empty; the ledger votes only after [`Ledger::follow`] and the transfers that follow.
    #[must_use]
    pub fn new(me: id::Node) -> Self {
        Self {
            me,
            records: Vec::new(),
            roster: 0,
            members: Vec::new(),
            known: Vec::new(),
            sources: Vec::new(),
            since: id::Time::ZERO,
        }
    }

    /// Returns the reservations held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no reservation is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether the ledger votes on every key that it witnesses.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.roster > 0 && self.sources.is_empty()
    }

    /// Follows a newer VM list; `transfer` tells whether keys may be new to this witness.
    pub fn follow(
        &mut self,
        roster: id::Revision,
        members: &[Member],
        transfer: bool,
        now: id::Time,
    ) {
        self.roster = roster;
        self.members = members.to_vec();
        let others = || members.iter().filter(|member| member.node != self.me);
        if transfer {
            self.since = now;
            self.sources = others()
                .map(|member| Source {
                    node: member.node,
                    after: String::new(),
                    asked: None,
                })
                .collect();
        } else {
            let gone = |source: &Source| !others().any(|member| member.node == source.node);
            self.sources = self
                .sources
                .iter()
                .filter(|source| !gone(source))
                .cloned()
                .collect();
        }
        self.finish_transfer();
    }

    fn finish_transfer(&mut self) {
        if self.sources.is_empty() {
            self.known = self.members.clone();
        }
    }

    /// Votes on a reservation.
    pub fn vote(&mut self, claim: &Claim, now: id::Time) -> Answer {
        if claim.roster != self.roster {
            return Answer::Stale;
        }
        let at = match self.find(&claim.key) {
            Ok(at) => at,
            Err(at) => {
                if !self.may_vote(&claim.key) || self.records.len() >= MAX_ENTRIES {
                    return Answer::Unready;
                }
                self.records.insert(
                    at,
                    Record {
                        entry: reserve(claim),
                        at: now,
                    },
                );
                return Answer::Granted;
            }
        };
        let record = &mut self.records[at];
        if record.entry.phase == Phase::NotRun {
            if record.entry.attempt == claim.attempt {
                // A late copy of a claim that its holder has given up must not reserve again.
                return Answer::Stale;
            }
            *record = Record {
                entry: reserve(claim),
                at: now,
            };
            return Answer::Granted;
        }
        if record.entry.attempt == claim.attempt && record.entry.phase == Phase::Running {
            return Answer::Granted;
        }
        Answer::Taken(self.present(at, now))
    }

    /// A key is safe to vote on if this node was its witness before the transfer began, or the
    /// transfer is complete.
    fn may_vote(&self, key: &str) -> bool {
        self.is_ready() || witnesses(key, &self.known).contains(&self.me)
    }

    /// Learns how a reserved call ended, or of a reservation that a peer holds.
    pub fn absorb(&mut self, entry: &Entry, now: id::Time) {
        let made = now.saturating_sub(Duration::from_millis(entry.age_ms.into()));
        match self.find(&entry.key) {
            Ok(at) => {
                let record = &mut self.records[at];
                let same = record.entry.attempt == entry.attempt;
                if (same && rank_of(entry.phase) > rank_of(record.entry.phase))
                    || (!same && supersedes(entry.phase, record.entry.phase))
                {
                    *record = Record {
                        entry: entry.clone(),
                        at: made,
                    };
                }
            }
            Err(at) if self.records.len() < MAX_ENTRIES => {
                self.records.insert(
                    at,
                    Record {
                        entry: entry.clone(),
                        at: made,
                    },
                );
            }
            Err(_) => {}
        }
    }

    /// Answers a peer's transfer request with one page of what that peer must know.
    #[must_use]
    pub fn page(&self, peer: id::Node, sync: &Sync, now: id::Time) -> Option<Claims> {
        if self.roster < sync.roster {
            // This node would still vote under the older list; the peer asks again.
            return None;
        }
        let start = self
            .records
            .partition_point(|record| record.entry.key <= sync.after);
        let wanted = (start..self.records.len())
            .filter(|&at| witnesses(&self.records[at].entry.key, &self.members).contains(&peer));
        let mut page: Vec<usize> = wanted.take(PAGE + 1).collect();
        let last = page.len() <= PAGE;
        page.truncate(PAGE);
        let entries = page.into_iter().map(|at| self.present(at, now)).collect();
        Some(Claims {
            roster: sync.roster,
            entries,
            last,
        })
    }

    /// Takes one page of a transfer.
    pub fn receive(&mut self, peer: id::Node, claims: &Claims, now: id::Time) {
        for entry in &claims.entries {
            self.absorb(entry, now);
        }
        if claims.roster != self.roster {
            return;
        }
        if let Some(at) = self.sources.iter().position(|source| source.node == peer) {
            if claims.last {
                self.sources.remove(at);
            } else if let Some(entry) = claims.entries.last() {
                let after = entry.key.clone();
                self.sources[at] = Source {
                    node: peer,
                    after,
                    asked: None,
                };
            }
        }
        self.finish_transfer();
    }

    /// Forgets old reservations and returns the transfer requests to send.
    pub fn tick(&mut self, now: id::Time) -> Vec<(id::Node, Sync)> {
        self.records
            .retain(|record| now.saturating_sub(record.at) < HORIZON);
        if now.saturating_sub(self.since) >= HORIZON && !self.sources.is_empty() {
            // Whatever the silent peers knew is older than any reservation lives.
            self.sources.clear();
            self.finish_transfer();
        }
        let mut requests = Vec::new();
        for source in &mut self.sources {
            if source
                .asked
                .is_none_or(|asked| now.saturating_sub(asked) >= RESEND)
            {
                source.asked = Some(now);
                requests.push((
                    source.node,
                    Sync {
                        roster: self.roster,
                        after: source.after.clone(),
                    },
                ));
            }
        }
        requests
    }

    /// Returns all reservations, for a planned leave.
    #[must_use]
    pub fn entries(&self, now: id::Time) -> Vec<Entry> {
        (0..self.records.len())
            .map(|at| self.present(at, now))
            .collect()
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.entry.key.as_str().cmp(key))
    }

    fn present(&self, at: usize, now: id::Time) -> Entry {
        let record = &self.records[at];
        let age = now.saturating_sub(record.at).as_millis();
        Entry {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..record.entry.clone()
        }
    }
}

fn reserve(claim: &Claim) -> Entry {
    Entry {
        key: claim.key.clone(),
        digest: claim.digest,
        attempt: claim.attempt,
        phase: Phase::Running,
        age_ms: 0,
        status: 0,
        answer: String::new(),
    }
}

/// Later phases of one reservation replace earlier ones.
fn rank_of(phase: Phase) -> u8 {
    match phase {
        Phase::Running => 0,
        Phase::NotRun | Phase::MayHaveRun => 1,
        Phase::Ran => 2,
    }
}

/// Of two reservations of one key, the one that ran is the truth, and one that did not run is none.
fn supersedes(new: Phase, old: Phase) -> bool {
    match (new, old) {
        (Phase::NotRun, _) => false,
        (_, Phase::NotRun) | (Phase::Ran | Phase::MayHaveRun, Phase::Running) => true,
        (new, old) => rank_of(new) > rank_of(old),
    }
}
