//! The reservations that a node remembers as a witness.

use std::time::Duration;

use peridotdeck_wire::{Answer, Claim, Claims, Entry, Member, Phase, Sync};

use super::{WITNESSES_PER_KEY, choose_witnesses};
use crate::id;

/// Time for which a reservation is remembered; a key may be used again afterwards.
pub const RETENTION: Duration = Duration::from_secs(900);

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
    /// Whether this witness granted the reservation itself. One that it learnt from a peer may be
    /// the losing one of two, so it never counts as this witness's vote.
    granted: bool,
}

/// Time after the start of a whole fleet in which its nodes do not yet vouch for each other, so
/// that all of them see that everyone has started empty.
const FLEET_START: Duration = Duration::from_secs(5);

/// A peer whose knowledge this witness needs.
#[derive(Clone, Debug)]
struct Source {
    node: id::Node,
    after: String,
    asked: Option<id::Time>,
    /// It has told all that it knows, but has itself started empty and not yet learnt.
    empty: bool,
}

impl Source {
    fn new(node: id::Node) -> Self {
        Self {
            node,
            after: String::new(),
            asked: None,
            empty: false,
        }
    }
}

/// Reservations, sorted by key.
#[derive(Clone, Debug)]
pub struct Witness {
    me: id::Node,
    records: Vec<Record>,
    roster: id::Revision,
    members: Vec<Member>,
    known: Vec<Member>,
    sources: Vec<Source>,
    since: id::Time,
    vouches_from: Option<id::Time>,
}

impl Witness {
    /// Starts empty; the ledger votes only after [`Witness::follow`] and the transfers that follow.
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
            vouches_from: None,
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
    pub fn update_members(
        &mut self,
        roster: id::Revision,
        members: &[Member],
        transfer: bool,
        now: id::Time,
    ) {
        self.roster = roster;
        self.members = members.to_vec();
        let needed = sources(self.me, members);
        if transfer {
            self.since = now;
            self.sources = needed.into_iter().map(Source::new).collect();
        } else {
            self.sources.retain(|source| needed.contains(&source.node));
        }
        self.finish_transfer(now);
    }

    /// Ends the transfer when all that can be learnt is known.
    ///
    /// Peers that have started empty are no help; if some peer has not, they may have forgotten a
    /// reservation that nobody else holds, and the transfer waits until such a one has expired. If
    /// all have, the whole fleet has started anew and there is nothing to wait for.
    fn finish_transfer(&mut self, now: id::Time) {
        let learnt = self.sources.is_empty();
        let needed = sources(self.me, &self.members).len();
        let all_empty = self.sources.iter().all(|source| source.empty);
        let fleet_starts = self.sources.len() == needed && all_empty;
        if !learnt && !fleet_starts {
            return;
        }
        self.sources.clear();
        self.known = self.members.clone();
        let from = if needed > 0 && learnt {
            now
        } else {
            now + FLEET_START
        };
        self.vouches_from = Some(self.vouches_from.map_or(from, |old| old.min(from)));
    }

    /// Returns whether this witness has forgotten nothing that it voted on.
    fn vouches(&self, now: id::Time) -> bool {
        self.vouches_from.is_some_and(|from| now >= from)
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
                        granted: true,
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
                granted: true,
            };
            return Answer::Granted;
        }
        let mine = record.granted && record.entry.attempt == claim.attempt;
        if mine && record.entry.phase == Phase::Running {
            return Answer::Granted;
        }
        Answer::Taken(self.present(at, now))
    }

    /// A key is safe to vote on if this node was its witness before the transfer began, or the
    /// transfer is complete.
    fn may_vote(&self, key: &str) -> bool {
        self.is_ready() || choose_witnesses(key, &self.known).contains(&self.me)
    }

    /// Learns how a reserved call ended, or of a reservation that a peer holds.
    pub fn merge(&mut self, entry: &Entry, now: id::Time) {
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
                        granted: false,
                    };
                }
            }
            Err(at) if self.records.len() < MAX_ENTRIES => {
                self.records.insert(
                    at,
                    Record {
                        entry: entry.clone(),
                        at: made,
                        granted: false,
                    },
                );
            }
            Err(_) => {}
        }
    }

    /// Answers a peer's transfer request with one page of what that peer must know.
    #[must_use]
    pub fn build_page(&self, peer: id::Node, sync: &Sync, now: id::Time) -> Option<Claims> {
        if self.roster < sync.roster {
            // This node would still vote under the older list; the peer asks again.
            return None;
        }
        let start = self
            .records
            .partition_point(|record| record.entry.key <= sync.after);
        let wanted = (start..self.records.len()).filter(|&at| {
            choose_witnesses(&self.records[at].entry.key, &self.members).contains(&peer)
        });
        let mut page: Vec<usize> = wanted.take(PAGE + 1).collect();
        let last = page.len() <= PAGE;
        page.truncate(PAGE);
        let entries = page.into_iter().map(|at| self.present(at, now)).collect();
        Some(Claims {
            roster: sync.roster,
            entries,
            last,
            vouches: self.vouches(now),
        })
    }

    /// Takes one page of a transfer.
    pub fn receive_page(&mut self, peer: id::Node, claims: &Claims, now: id::Time) {
        for entry in &claims.entries {
            self.merge(entry, now);
        }
        if claims.roster != self.roster {
            return;
        }
        let Some(source) = self.sources.iter_mut().find(|source| source.node == peer) else {
            return;
        };
        match (claims.last, claims.vouches, claims.entries.last()) {
            (true, true, _) => self.sources.retain(|source| source.node != peer),
            (true, false, _) => (source.empty, source.after) = (true, String::new()),
            (false, _, Some(entry)) => (source.after, source.asked) = (entry.key.clone(), None),
            (false, _, None) => {}
        }
        self.finish_transfer(now);
    }

    /// Forgets old reservations and returns the transfer requests to send.
    pub fn tick(&mut self, now: id::Time) -> Vec<(id::Node, Sync)> {
        self.records
            .retain(|record| now.saturating_sub(record.at) < RETENTION);
        if now.saturating_sub(self.since) >= RETENTION && !self.sources.is_empty() {
            // Whatever the silent peers knew is older than any reservation lives.
            self.sources.clear();
            self.finish_transfer(now);
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

/// The peers that may share a key with this node: with three data centres or more, the witnesses
/// of a key stand in different ones.
fn sources(me: id::Node, members: &[Member]) -> Vec<id::Node> {
    let place = members
        .iter()
        .find(|member| member.node == me)
        .map(|member| &member.place);
    let mut places: Vec<&str> = members.iter().map(|member| member.place.as_str()).collect();
    places.sort_unstable();
    places.dedup();
    let spread = places.len() >= WITNESSES_PER_KEY;
    let others = members.iter().filter(|member| member.node != me);
    let sharing = others.filter(|member| !spread || Some(&member.place) != place);
    sharing.map(|member| member.node).collect()
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
