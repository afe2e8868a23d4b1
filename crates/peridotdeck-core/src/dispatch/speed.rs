//! Lasting speeds of endpoints, and their short stalls.
//!
//! Endpoints of one service may differ in speed for as long as they run, and any of them may be slow
//! for a fraction of a second. Both show as late answers, but they ask for different decisions: a
//! slow endpoint gets less work, a stalled one gets its work back as soon as the stall is over.
//!
//! Each endpoint has a [`Speed`]. Its two [`Figure`]s are long robust means: of the time to read
//! prompts or to answer a plain request, and of the time between the events of streams, which
//! [`Gaps`] collects for one stream. [`Usual`] compares them with the median of the service, and
//! ignores what may be chance. A [`Stall`] is what the last gaps or an overdue answer show; it
//! counts for as long as stalls have lasted. Nodes share both in a [`Message`] beside their
//! heartbeats, since one node alone sees each endpoint rarely. See `docs/design/SPEED.md`.

mod figure;
mod gaps;
mod message;
mod notice;
mod stall;
mod usual;

use std::time::Duration;

use crate::id::Time;

pub use figure::Figure;
pub use gaps::{Gap, Gaps};
pub use message::{Message, Observation, StallReport};
pub use notice::Notice;
pub use stall::Stall;
pub use usual::{Pace, Usual};

/// Multiple of the expected time from which an answer or a gap counts as a sign of a stall.
const STALL_RATIO: f64 = 2.0;

/// Digest of an endpoint's id, the same for all processes under it.
pub type Subject = u32;

/// An answer that this node waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Wait {
    sent: Time,
    /// Time at which the answer was expected.
    expected: Time,
    /// Time from which the answer is overdue.
    overdue: Time,
}

/// What is known of the speed of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    /// Time to read prompts, or to answer plain requests, over the expected time.
    pub reading: Figure,
    /// Time between the events of streams, over the mean of their route.
    pub step: Figure,
    /// Own samples of both that peers were not told of yet.
    untold: [Figure; 2],
    /// Stall that gaps have shown to this node, or that a peer has told of.
    stall: Option<Stall>,
    waits: Vec<Wait>,
}

impl Speed {
    /// Adds a sample of the time to an answer; `ratio` is the observed over the expected time.
    pub fn record_reading(&mut self, ratio: f64) {
        self.reading.add(ratio, 1);
        self.untold[0].add(ratio, 1);
    }

    /// Adds a sample of the time between events; `ratio` is the observed over the usual time.
    pub fn record_step(&mut self, ratio: f64) {
        self.step.add(ratio, 1);
        self.untold[1].add(ratio, 1);
    }

    /// Returns whether anything was ever observed.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.reading.count() + self.step.count() > 0
    }

    /// Returns what a process that replaces this one under the same id starts with.
    ///
    /// It runs on the same VM, so its speed is likely the same; a few samples can show otherwise.
    #[must_use]
    pub fn inherited(&self) -> Self {
        Self {
            reading: self.reading.doubted(),
            step: self.step.doubted(),
            ..Self::default()
        }
    }

    /// Returns the own samples since the last call, if there are any.
    pub fn take_untold(&mut self) -> Option<[Figure; 2]> {
        let untold = std::mem::take(&mut self.untold);
        untold
            .iter()
            .any(|figure| figure.count() > 0)
            .then_some(untold)
    }

    /// Records that a request was sent whose answer is expected after a time.
    pub fn await_answer(&mut self, sent: Time, expected: Duration) {
        self.waits.push(Wait {
            sent,
            expected: sent + expected,
            overdue: sent + expected.mul_f64(STALL_RATIO),
        });
    }

    /// Records that an answer has begun, or is no longer waited for.
    pub fn end_wait(&mut self, sent: Time) {
        if let Some(index) = self.waits.iter().position(|wait| wait.sent == sent) {
            self.waits.swap_remove(index);
        }
    }

    /// Records a stall that gaps have shown; returns whether none was known.
    pub fn record_stall(&mut self, stall: Stall) -> bool {
        let is_known = self
            .stall
            .is_some_and(|known| known.is_own || !stall.is_own);
        if !is_known {
            self.stall = Some(stall);
        }
        !is_known
    }

    /// Ends the stall that this node has seen, and returns how long it has lasted.
    pub fn end_stall(&mut self, now: Time) -> Option<Duration> {
        let stall = self.stall.take_if(|stall| stall.is_own)?;
        Some(now.saturating_sub(stall.began))
    }

    /// Forgets a stall that has lasted for longer than stalls do.
    pub fn expire_stall(&mut self, usual: Duration, now: Time) {
        self.stall.take_if(|stall| stall.left(usual, now).is_zero());
    }

    /// Returns the stall that gaps or an overdue answer show now.
    #[must_use]
    pub fn stall(&self, now: Time) -> Option<Stall> {
        let overdue = self.waits.iter().filter(|wait| now >= wait.overdue);
        let oldest = overdue.map(|wait| wait.expected).min();
        self.stall.or(oldest.map(|began| Stall {
            began,
            is_own: true,
        }))
    }
}
