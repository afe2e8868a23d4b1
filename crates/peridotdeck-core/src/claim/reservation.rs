//! One entry node's effort to reserve a key.

use std::time::Duration;

use peridotdeck_wire::{Answer, Claim, Entry, Phase};

use crate::{id, request};

/// Time after which the claim is sent again to witnesses that have not granted it.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Effort while too few witnesses seem alive to win; the view may be a little late.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest effort; afterwards the caller is told.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Votes of the witnesses so far.
#[derive(Clone, Debug)]
pub struct Reservation {
    claim: Claim,
    witnesses: Vec<id::Node>,
    votes: Vec<(id::Node, Answer)>,
    started: id::Time,
    sent: Option<id::Time>,
}

/// Where a round stands.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// Votes are missing.
    Pending,
    /// The key is reserved for this request, and for no other.
    Reserved,
    /// An earlier call with the key has ended.
    AlreadyEnded(Entry),
    /// The key was used with another call.
    KeyReused,
    /// Time is up. Tells whether an earlier call with the key may be running.
    TimedOut {
        /// Whether any witness knows of an earlier call.
        earlier_call: bool,
    },
}

impl Reservation {
    /// Starts a round for a request.
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

    /// Returns the witnesses.
    #[must_use]
    pub fn witnesses(&self) -> &[id::Node] {
        &self.witnesses
    }

    /// Returns the index of the VM list that named the witnesses.
    #[must_use]
    pub fn roster(&self) -> id::Revision {
        self.claim.roster
    }

    /// Moves to another set of witnesses after the VM list changed; old votes count no more.
    pub fn change_witnesses(&mut self, witnesses: Vec<id::Node>, roster: id::Revision) {
        if roster != self.claim.roster {
            self.claim.roster = roster;
            self.witnesses = witnesses;
            self.votes.clear();
            self.sent = None;
        }
    }

    /// Takes a vote.
    pub fn record_vote(&mut self, witness: id::Node, answer: Answer) {
        if !self.witnesses.contains(&witness) {
            return;
        }
        match self.votes.binary_search_by_key(&witness, |vote| vote.0) {
            Ok(index) => self.votes[index].1 = answer,
            Err(index) => self.votes.insert(index, (witness, answer)),
        }
    }

    /// Returns where the round stands; `hopeless` if too few witnesses are alive to win.
    #[must_use]
    pub fn state(&self, now: id::Time, majority_unreachable: bool) -> State {
        let earlier_entries = || {
            self.votes.iter().filter_map(|(_, answer)| match answer {
                // A witness that has restarted may know this very claim from its peers.
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

    /// Returns the witnesses to ask (again) and the claim for them.
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

    /// Returns the record that tells the witnesses how the call ended.
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
