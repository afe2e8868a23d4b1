//! How attempts end, what is learnt from it, and what follows.

use std::time::Duration;

use super::{Dispatcher, Suspect, waiting::give_up};
use crate::{
    Verdict,
    dispatch::{
        attempt::{Attempt, End, Next},
        endpoint::Load,
        flight::Flight,
        refusal::Cause,
        strikes,
    },
    id::Time,
};

/// Rejections that one request bears.
const MAX_REJECTIONS: u32 = 3;

/// Time that must be left for another attempt.
const WORTHWHILE: Duration = Duration::from_millis(50);

/// Weight of an end that says little about the endpoint.
const SLIGHT: f64 = 0.5;

impl Dispatcher {
    /// Notes that the answer has begun: the prompt is read.
    pub fn note_read(&mut self, attempt: &mut Attempt, plain: bool, flight: &Flight, now: Time) {
        let observed = now.saturating_sub(attempt.sent);
        let unread = Load {
            unread: attempt.load.unread,
            ..Load::default()
        };
        attempt.load.unread = 0;
        let expected = attempt.expected;
        if let Some(state) = self.state_mut(attempt.key) {
            state.own_load.subtract(unread);
            state.record_answer_time(expected, observed);
        }
        if plain {
            let observed = observed.as_secs_f64() * 1e3;
            self.plain.learn(&flight.service, observed);
        }
        self.fleet.mark_changed();
    }

    /// Takes an attempt back and learns from how it ended.
    pub fn finish(&mut self, attempt: &Attempt, end: End, flight: &Flight, now: Time) {
        self.fleet.mark_changed();
        if end == End::Finished {
            let whole = now.saturating_sub(attempt.sent).as_secs_f64() * 1e3;
            self.whole.learn(&flight.service, whole);
        }
        let failed = matches!(end, End::Failed | End::Broken | End::Garbled);
        let usual = match end {
            End::Cancelled => 0.0,
            _ => self
                .failing
                .learn(&flight.route.name, f64::from(u8::from(failed))),
        };
        let key = attempt.key;
        if let Some(state) = self.state_mut(key) {
            state.own_load.subtract(attempt.load);
            match end {
                End::Finished => state.health.record(true, 1.0, now),
                End::Failed => state.health.record(false, (1.0 - usual).max(0.0), now),
                End::Rejected => state.health.record(false, SLIGHT, now),
                End::Broken | End::Garbled | End::Silent => state.health.record(false, 1.0, now),
                End::TimedOut if attempt.load.unread > 0 => state.health.record(false, 1.0, now),
                _ => {}
            }
            match end {
                End::Broken | End::Silent => state.suspect(now),
                End::Unreachable => state.record_unreachable(now),
                _ => {}
            }
        }
        if matches!(end, End::Unreachable | End::Misdirected) {
            self.prefixes.remove_endpoint(key);
        }
        match end {
            End::Broken => self.suspects.push(Suspect {
                key,
                fingerprint: flight.fingerprint,
                at: now,
            }),
            End::Finished => self.strikes.clear(flight.fingerprint),
            _ => {}
        }
    }

    /// Decides whether a slow attempt should be given up for another endpoint, and pays for that.
    pub fn may_hedge(&mut self, flight: &Flight, now: Time) -> bool {
        let nodes = self.fleet.recent_size(self.options.regions.len(), now);
        flight.may_run_after(flight.runs + 1)
            && flight.left(now) > WORTHWHILE
            && self
                .states
                .iter()
                .any(|state| self.admits(state, flight).is_ok())
            && self.budget.take(&flight.service, nodes, now)
    }

    /// Decides what follows an attempt without a whole answer.
    pub fn next(&mut self, flight: &mut Flight, end: End, now: Time) -> Next {
        let nodes = self.fleet.recent_size(self.options.regions.len(), now);
        match end.verdict() {
            Verdict::NotRun => {
                let worthwhile = flight.left(now) > WORTHWHILE;
                let sent = end != End::Unreachable;
                flight.rejections += u32::from(sent);
                let bearable = flight.rejections <= MAX_REJECTIONS;
                if worthwhile
                    && bearable
                    && (!sent || self.budget.take(&flight.service, nodes, now))
                {
                    return Next::Again;
                }
                let wait = self.return_time(flight, now);
                Next::GiveUp(give_up(flight, Cause::Rejected, Some(wait)))
            }
            Verdict::MayHaveRun | Verdict::Ran => {
                flight.runs += 1;
                let struck = self.strikes.count(flight.fingerprint) >= strikes::LIMIT;
                if flight.may_run_after(flight.runs)
                    && flight.left(now) > WORTHWHILE
                    && !struck
                    && self.budget.take(&flight.service, nodes, now)
                {
                    return Next::Again;
                }
                let cause = if end == End::TimedOut {
                    Cause::TimedOut
                } else {
                    Cause::EndpointFailed
                };
                Next::GiveUp(give_up(flight, cause, None))
            }
        }
    }
}
