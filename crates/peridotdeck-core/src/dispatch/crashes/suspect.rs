//! A subject with the endpoints that crashed while they ran it.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::LIMIT;
use crate::{
    dispatch::{Key, Prefix},
    id::{Fingerprint, Time},
};

/// Time for which a proof also covers later crashes.
///
/// Many requests share some parts, so several endpoints that crash together for another reason have
/// such a part in common. A part that crashes endpoints has no recent proof.
const PROOF_COVER: Duration = Duration::from_secs(2);

/// Time from the last crash of a quarantined subject to its first trial.
const FIRST_TRIAL: Duration = Duration::from_secs(20);

/// Most doublings of the time between trials.
const MAX_DOUBLINGS: usize = 6;

/// Most crashes that are remembered of one subject; more do not change a decision.
pub const MAX_CRASHES_PER_SUSPECT: usize = LIMIT + MAX_DOUBLINGS;

/// What a crash is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Subject {
    /// A request, with its caller and its whole content.
    Request(Fingerprint),
    /// A part that prompts share.
    Part(Prefix),
}

impl Subject {
    /// Returns the digest that identifies the subject among those of its kind.
    #[must_use]
    pub fn id(self) -> u64 {
        match self {
            Self::Request(id) | Self::Part(id) => id,
        }
    }
}

/// Crash of one endpoint while it ran a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Endpoint that crashed.
    pub endpoint: Key,
    /// Time of the crash.
    pub at: Time,
    /// Time at which this node learnt of it.
    pub learnt_at: Time,
}

/// State of a subject that must not be sent to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The subject.
    pub subject: Subject,
    /// Number of endpoints that it has crashed.
    pub crashes: usize,
    /// Time since the last crash, or the last request with the subject.
    pub idle: Duration,
    /// Time until one request may be sent to learn whether it still crashes endpoints.
    pub trial_in: Duration,
}

/// Returns whether a crash at a time counts, given the time of the last proof.
pub(super) fn counts(crashed_at: Time, proven: Option<Time>) -> bool {
    proven.is_none_or(|proven| crashed_at > proven + PROOF_COVER)
}

/// A subject, and the endpoints that crashed while they ran it.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) subject: Subject,
    crashes: Vec<Crash>,
    used: Time,
    trial: Option<Time>,
}

impl Suspect {
    pub(super) fn new(subject: Subject, used: Time) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            used,
            trial: None,
        }
    }

    /// Adds a crash; returns whether its endpoint is new.
    ///
    /// If the list is full, the oldest crash makes room.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let mut known = self.crashes.iter();
        if known.any(|known| known.endpoint == crash.endpoint) {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES_PER_SUSPECT {
            let oldest = (0..self.crashes.len()).min_by_key(|&index| self.crashes[index].at);
            if let Some(oldest) = oldest {
                self.crashes.remove(oldest);
            }
        }
        self.crashes.push(crash);
        true
    }

    pub(super) fn note_use(&mut self, at: Time) {
        self.used = self.used.max(at);
    }

    pub(super) fn idle(&self, now: Time) -> Duration {
        now.saturating_sub(self.used)
    }

    /// Returns the crashes that count, given the time of the last proof.
    pub(super) fn counted(&self, proven: Option<Time>) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(move |crash| counts(crash.at, proven))
    }

    pub(super) fn count(&self, proven: Option<Time>) -> usize {
        self.counted(proven).count()
    }

    /// Returns the quarantine of the subject, if it has crashed enough endpoints.
    pub(super) fn quarantine(&self, proven: Option<Time>, now: Time) -> Option<Quarantine> {
        let crashes = self.count(proven);
        let last = self.counted(proven).map(|crash| crash.at).max()?;
        if crashes < LIMIT {
            return None;
        }
        // Trials become rarer with each one that fails.
        let doublings = (crashes - LIMIT).min(MAX_DOUBLINGS) as u32;
        let due = last.max(self.trial.unwrap_or(last)) + FIRST_TRIAL * 2_u32.pow(doublings);
        Some(Quarantine {
            subject: self.subject,
            crashes,
            idle: self.idle(now),
            trial_in: due.saturating_sub(now),
        })
    }

    pub(super) fn start_trial(&mut self, now: Time) {
        self.trial = Some(now);
    }

    /// Forgets crashes that do not count and are older than `retention`.
    pub(super) fn expire(&mut self, proven: Option<Time>, retention: Duration, now: Time) {
        self.crashes
            .retain(|crash| counts(crash.at, proven) || now.saturating_sub(crash.at) < retention);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
