//! A node that leaves: which requests can still end there.
//!
//! See `docs/design/DISPATCH.md`.

use super::{Dispatcher, waiting::give_up};
use crate::{
    dispatch::{
        attempt::Attempt,
        duration::Sample,
        flight::Flight,
        refusal::{Cause, Refusal},
    },
    id::Time,
};

impl Dispatcher {
    /// Starts to leave the fleet. Requests that are still open at `end` are cut.
    pub fn leave(&mut self, end: Time) {
        self.fleet.leave();
        self.end = Some(end);
    }

    /// Returns whether a request that is sent now ends before this node does, as far as is known.
    ///
    /// It ends at its deadline at the latest. Before that it ends if it takes no longer than others of
    /// its route have taken; of a route without a complete answer nothing is known.
    pub(super) fn ends_in_time(&self, flight: &Flight, now: Time) -> bool {
        let Some(end) = self.end else {
            return true;
        };
        let left = end.saturating_sub(now);
        let tokens = flight.prompt.output;
        let bound = self.durations.bound(&flight.route.name, tokens);
        flight.time_left(now) <= left || bound.is_some_and(|bound| bound <= left)
    }

    /// Returns the refusal of a request that this node would have to cut.
    pub(super) fn refuse_late(&mut self, flight: &Flight, now: Time) -> Option<Refusal> {
        if self.ends_in_time(flight, now) {
            return None;
        }
        let wait = self.retry_after(flight, now);
        Some(give_up(flight, Cause::Leaving, Some(wait)))
    }

    /// Records how long a complete answer took.
    ///
    /// An answer that another attempt began, or that a caller takes up, is shorter than others.
    pub(super) fn record_duration(&mut self, attempt: &Attempt, flight: &Flight, now: Time) {
        if flight.resumes.is_some() || flight.runs > 0 {
            return;
        }
        let answered = attempt.answered.unwrap_or(now);
        let sample = Sample {
            first: answered.saturating_sub(attempt.sent),
            rest: now.saturating_sub(answered),
            tokens: flight.prompt.output,
        };
        self.durations.record(&flight.route.name, sample);
    }
}
