//! The reservations that a node stores as a witness.

use std::time::Duration;

use peridotdeck_wire::{Answer, Claim, Claims, Entry, Member, Phase, Sync};

use super::{WITNESSES_PER_KEY, choose_witnesses};
use crate::id;

/// Time for which a witness stores a reservation. Afterwards the key may be used again.
pub const RETENTION: Duration = Duration::from_secs(900);

/// Bounds the stored reservations. A full witness does not vote on new keys.
const MAX_ENTRIES: usize = 100_000;

/// Bounds the reservations in one page of a transfer.
const PAGE_ENTRIES: usize = 64;

/// Interval at which an unanswered transfer request is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Record {
    entry: Entry,
    reserved_at: id::Time,
    /// Whether this witness granted the reservation itself. A reservation received from a peer may
    /// have lost against a competing one, so it never counts as this witness's vote.
    granted: bool,
}

/// Delay after the start of a whole fleet before its nodes vouch for their records. Until then, all
/// nodes can see that every node has started empty.
const FLEET_START_DELAY: Duration = Duration::from_secs(5);

/// A peer whose reservations this witness still needs.
#[derive(Clone, Debug)]
struct TransferSource {
    node: id::Node,
    /// Last key received; the next page starts after it.
    after: String,
    requested_at: Option<id::Time>,
    /// Whether the peer has sent all its records but cannot vouch for them, because it started
    /// empty and its own transfer is incomplete.
    started_empty: bool,
}

impl TransferSource {
    fn new(node: id::Node) -> Self {
        Self {
            node,
            after: String::new(),
            requested_at: None,
            started_empty: false,
        }
    }
}

/// The reservations that this node witnesses, sorted by key.
#[derive(Clone, Debug)]
pub struct Witness {
    me: id::Node,
    records: Vec<Record>,
    roster: id::Revision,
    members: Vec<Member>,
    /// VM list at the end of the last complete transfer.
    synced_members: Vec<Member>,
    sources: Vec<TransferSource>,
    transfer_started: id::Time,
    vouches_from: Option<id::Time>,
}

impl Witness {
    /// Creates a witness without reservations.
    ///
    /// It votes only after [`Witness::update_members`] and the transfers that it starts.
    #[must_use]
    pub fn new(me: id::Node) -> Self {
        Self {
            me,
            records: Vec::new(),
            roster: 0,
            members: Vec::new(),
            synced_members: Vec::new(),
            sources: Vec::new(),
            transfer_started: id::Time::ZERO,
            vouches_from: None,
        }
    }

    /// Returns the number of stored reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no reservation is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether this node votes on every key of which it is a witness.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.roster > 0 && self.sources.is_empty()
    }

    /// Adopts a newer VM list.
    ///
    /// With `transfer`, reservations are requested from peers again, because this node may witness
    /// keys that are new to it.
    pub fn update_members(
        &mut self,
        roster: id::Revision,
        members: &[Member],
        transfer: bool,
        now: id::Time,
    ) {
        self.roster = roster;
        self.members = members.to_vec();
        let needed = find_sources(self.me, members);
        if transfer {
            self.transfer_started = now;
            self.sources = needed.into_iter().map(TransferSource::new).collect();
        } else {
            self.sources.retain(|source| needed.contains(&source.node));
        }
        self.finish_transfer(now);
    }

    /// Ends the transfer once all peers have sent their reservations, or all have started empty.
    ///
    /// If only some peers have started empty, they may have lost a reservation that no other node
    /// stores. The transfer then waits until any such reservation has expired. If all have started
    /// empty, the whole fleet has restarted and there is nothing to wait for.
    fn finish_transfer(&mut self, now: id::Time) {
        let all_received = self.sources.is_empty();
        let needed = find_sources(self.me, &self.members).len();
        let all_empty = self.sources.iter().all(|source| source.started_empty);
        let fleet_started_empty = self.sources.len() == needed && all_empty;
        if !all_received && !fleet_started_empty {
            return;
        }
        self.sources.clear();
        self.synced_members = self.members.clone();
        let from = if needed > 0 && all_received {
            now
        } else {
            now + FLEET_START_DELAY
        };
        self.vouches_from = Some(self.vouches_from.map_or(from, |old| old.min(from)));
    }

    /// Returns whether this witness still stores every reservation that it voted on.
    fn vouches(&self, now: id::Time) -> bool {
        self.vouches_from.is_some_and(|from| now >= from)
    }

    /// Votes on a claim, and stores the reservation if it is granted.
    pub fn vote(&mut self, claim: &Claim, now: id::Time) -> Answer {
        if claim.roster != self.roster {
            return Answer::Stale;
        }
        let index = match self.find(&claim.key) {
            Ok(index) => index,
            Err(index) => {
                if !self.may_vote(&claim.key) || self.records.len() >= MAX_ENTRIES {
                    return Answer::Unready;
                }
                self.records.insert(
                    index,
                    Record {
                        entry: new_entry(claim),
                        reserved_at: now,
                        granted: true,
                    },
                );
                return Answer::Granted;
            }
        };
        let record = &mut self.records[index];
        if record.entry.phase == Phase::NotRun {
            if record.entry.attempt == claim.attempt {
                // A delayed copy of a claim that its sender has released must not reserve again.
                return Answer::Stale;
            }
            *record = Record {
                entry: new_entry(claim),
                reserved_at: now,
                granted: true,
            };
            return Answer::Granted;
        }
        let own_vote = record.granted && record.entry.attempt == claim.attempt;
        if own_vote && record.entry.phase == Phase::Running {
            return Answer::Granted;
        }
        Answer::Taken(self.entry_at(index, now))
    }

    /// Returns whether it is safe to vote on a key.
    ///
    /// It is if the transfer is complete, or if this node was a witness of the key before the
    /// transfer began.
    fn may_vote(&self, key: &str) -> bool {
        self.is_ready() || choose_witnesses(key, &self.synced_members).contains(&self.me)
    }

    /// Merges the end of a request that reserved a key, or a reservation that a peer stores.
    pub fn merge(&mut self, entry: &Entry, now: id::Time) {
        let reserved = now.saturating_sub(Duration::from_millis(entry.age_ms.into()));
        match self.find(&entry.key) {
            Ok(index) => {
                let record = &mut self.records[index];
                let same_claim = record.entry.attempt == entry.attempt;
                if (same_claim && phase_order(entry.phase) > phase_order(record.entry.phase))
                    || (!same_claim && supersedes(entry.phase, record.entry.phase))
                {
                    *record = Record {
                        entry: entry.clone(),
                        reserved_at: reserved,
                        granted: false,
                    };
                }
            }
            Err(index) if self.records.len() < MAX_ENTRIES => {
                self.records.insert(
                    index,
                    Record {
                        entry: entry.clone(),
                        reserved_at: reserved,
                        granted: false,
                    },
                );
            }
            Err(_) => {}
        }
    }

    /// Returns one page of the reservations that a peer needs as a witness.
    ///
    /// Returns `None` if this node's VM list is older than the peer's.
    #[must_use]
    pub fn build_page(&self, peer: id::Node, sync: &Sync, now: id::Time) -> Option<Claims> {
        if self.roster < sync.roster {
            // This node would still vote under the older list. The peer sends its request again.
            return None;
        }
        let start = self
            .records
            .partition_point(|record| record.entry.key <= sync.after);
        let requested = (start..self.records.len()).filter(|&index| {
            choose_witnesses(&self.records[index].entry.key, &self.members).contains(&peer)
        });
        let mut page: Vec<usize> = requested.take(PAGE_ENTRIES + 1).collect();
        let last = page.len() <= PAGE_ENTRIES;
        page.truncate(PAGE_ENTRIES);
        let entries = page
            .into_iter()
            .map(|index| self.entry_at(index, now))
            .collect();
        Some(Claims {
            roster: sync.roster,
            entries,
            last,
            vouches: self.vouches(now),
        })
    }

    /// Merges one page of a transfer.
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
            (true, false, _) => (source.started_empty, source.after) = (true, String::new()),
            (false, _, Some(entry)) => {
                (source.after, source.requested_at) = (entry.key.clone(), None);
            }
            (false, _, None) => {}
        }
        self.finish_transfer(now);
    }

    /// Removes expired reservations, and returns the transfer requests to send.
    pub fn tick(&mut self, now: id::Time) -> Vec<(id::Node, Sync)> {
        self.records
            .retain(|record| now.saturating_sub(record.reserved_at) < RETENTION);
        if now.saturating_sub(self.transfer_started) >= RETENTION && !self.sources.is_empty() {
            // The reservations that the missing peers may have stored have all expired.
            self.sources.clear();
            self.finish_transfer(now);
        }
        let mut requests = Vec::new();
        for source in &mut self.sources {
            if source
                .requested_at
                .is_none_or(|sent| now.saturating_sub(sent) >= RESEND_INTERVAL)
            {
                source.requested_at = Some(now);
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

    /// Returns all reservations, which a draining node sends to the remaining witnesses.
    #[must_use]
    pub fn entries(&self, now: id::Time) -> Vec<Entry> {
        (0..self.records.len())
            .map(|index| self.entry_at(index, now))
            .collect()
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.entry.key.as_str().cmp(key))
    }

    /// Returns a stored entry with its current age.
    fn entry_at(&self, index: usize, now: id::Time) -> Entry {
        let record = &self.records[index];
        let age = now.saturating_sub(record.reserved_at).as_millis();
        Entry {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..record.entry.clone()
        }
    }
}

/// Returns the peers that may be witnesses of a key together with this node.
///
/// With at least [`WITNESSES_PER_KEY`] data centres, the witnesses of a key are in different ones.
fn find_sources(me: id::Node, members: &[Member]) -> Vec<id::Node> {
    let data_centre = members
        .iter()
        .find(|member| member.node == me)
        .map(|member| &member.place);
    let mut data_centres: Vec<&str> = members.iter().map(|member| member.place.as_str()).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    let distinct = data_centres.len() >= WITNESSES_PER_KEY;
    let others = members.iter().filter(|member| member.node != me);
    let sources = others.filter(|member| !distinct || Some(&member.place) != data_centre);
    sources.map(|member| member.node).collect()
}

fn new_entry(claim: &Claim) -> Entry {
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

/// Returns the order of phases: a later phase of one reservation replaces an earlier one.
fn phase_order(phase: Phase) -> u8 {
    match phase {
        Phase::Running => 0,
        Phase::NotRun | Phase::MayHaveRun => 1,
        Phase::Ran => 2,
    }
}

/// Returns whether a reservation in phase `new` replaces another reservation of the same key.
///
/// The reservation whose request ran is authoritative. One whose request did not run never replaces
/// another, and any other replaces it.
fn supersedes(new: Phase, old: Phase) -> bool {
    match (new, old) {
        (Phase::NotRun, _) => false,
        (_, Phase::NotRun) | (Phase::Ran | Phase::MayHaveRun, Phase::Running) => true,
        (new, old) => phase_order(new) > phase_order(old),
    }
}
