//! An entry node's reservation of an idempotency key.

use std::time::Duration;

use peridotdeck_wire::{Answer, Claim, Entry, Phase};

use crate::{id, request};

/// Interval at which the claim is sent again to witnesses that have not granted it.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum wait for votes while no majority of witnesses seems alive. It isn't zero, because the
/// view of live peers may lag.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum wait for votes; afterwards the request is refused.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A claim on a key, with the votes of its witnesses so far.
#[derive(Clone, Debug)]
pub struct Reservation {
    claim: Claim,
    witnesses: Vec<id::Node>,
    votes: Vec<(id::Node, Answer)>,
    started: id::Time,
    sent: Option<id::Time>,
}

/// State of a reservation.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// Votes are still missing.
    Pending,
    /// The key is reserved for this request only.
    Reserved,
    /// An earlier request with the key has run, or may have run.
    AlreadyEnded(Entry),
    /// The key was used for a request with other content.
    KeyReused,
    /// No majority granted the key in time.
    TimedOut {
        /// Whether any witness knows of an earlier request with the key, which may be running.
        earlier_call: bool,
    },
}

impl Reservation {
    /// Creates a reservation for a request, without votes.
    #[must_use]
    pub fn new(
        request: id::Request,
        claim: &request::Claim,
        witnesses: Vec<id::Node>,
        roster: id::Revision,
        now: id::Time,
    ) -> Self {
        let claim = Claim {
            key: claim.key.clone(),
            digest: claim.digest,
            attempt: request,
            roster,
        };
        Self {
            claim,
            witnesses,
            votes: Vec::new(),
            started: now,
            sent: None,
        }
    }

    /// Returns the witnesses of the key.
    #[must_use]
    pub fn witnesses(&self) -> &[id::Node] {
        &self.witnesses
    }

    /// Returns the revision of the VM list from which the witnesses were chosen.
    #[must_use]
    pub fn roster(&self) -> id::Revision {
        self.claim.roster
    }

    /// Replaces the witnesses after a change of the VM list, and discards all votes.
    pub fn change_witnesses(&mut self, witnesses: Vec<id::Node>, roster: id::Revision) {
        if roster != self.claim.roster {
            self.claim.roster = roster;
            self.witnesses = witnesses;
            self.votes.clear();
            self.sent = None;
        }
    }

    /// Records a vote. Votes of other nodes than the witnesses are ignored.
    pub fn record_vote(&mut self, witness: id::Node, answer: Answer) {
        if !self.witnesses.contains(&witness) {
            return;
        }
        match self.votes.binary_search_by_key(&witness, |vote| vote.0) {
            Ok(index) => self.votes[index].1 = answer,
            Err(index) => self.votes.insert(index, (witness, answer)),
        }
    }

    /// Returns the state of the reservation.
    ///
    /// `majority_unreachable` shortens the wait for votes: too few witnesses are alive to grant it.
    #[must_use]
    pub fn state(&self, now: id::Time, majority_unreachable: bool) -> State {
        let earlier_entries = || {
            self.votes.iter().filter_map(|(_, answer)| match answer {
                // A restarted witness may have received this same claim from its peers.
                Answer::Taken(entry) if entry.attempt != self.claim.attempt => Some(entry),
                _ => None,
            })
        };
        if earlier_entries().any(|entry| entry.digest != self.claim.digest) {
            return State::KeyReused;
        }
        if let Some(entry) = earlier_entries().find(|entry| entry.phase == Phase::Ran) {
            return State::AlreadyEnded(entry.clone());
        }
        if let Some(entry) = earlier_entries().find(|entry| entry.phase == Phase::MayHaveRun) {
            return State::AlreadyEnded(entry.clone());
        }
        let granted = self
            .votes
            .iter()
            .filter(|(_, answer)| *answer == Answer::Granted)
            .count();
        if granted > self.witnesses.len() / 2 {
            return State::Reserved;
        }
        let timeout = if majority_unreachable {
            UNREACHABLE_TIMEOUT
        } else {
            TIMEOUT
        };
        if now.saturating_sub(self.started) > timeout {
            return State::TimedOut {
                earlier_call: earlier_entries().next().is_some(),
            };
        }
        State::Pending
    }

    /// Returns the claim and the witnesses to send it to, if it is due to be sent.
    pub fn claim_to_send(&mut self, now: id::Time) -> Option<(Vec<id::Node>, Claim)> {
        if self
            .sent
            .is_some_and(|sent| now.saturating_sub(sent) < RESEND_INTERVAL)
        {
            return None;
        }
        self.sent = Some(now);
        let granted = |node: id::Node| self.votes.contains(&(node, Answer::Granted));
        let missing = self
            .witnesses
            .iter()
            .copied()
            .filter(|&node| !granted(node))
            .collect();
        Some((missing, self.claim.clone()))
    }

    /// Returns the entry that reports to the witnesses how the request ended.
    #[must_use]
    pub fn final_entry(&self, phase: Phase, answer: Option<(u16, String)>, now: id::Time) -> Entry {
        let (status, answer) = answer.unwrap_or_default();
        Entry {
            key: self.claim.key.clone(),
            digest: self.claim.digest,
            attempt: self.claim.attempt,
            phase,
            age_ms: now.saturating_sub(self.started).as_millis() as u32,
            status,
            answer,
        }
    }
}
