//! How attempts end, what is learnt from it, and what follows.

use std::time::Duration;

use super::{Dispatcher, Suspect, waiting::give_up};
use crate::{
    Verdict,
    dispatch::{
        attempt::{Attempt, End, Next},
        crashes,
        endpoint::Load,
        flight::Flight,
        refusal::Cause,
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
    pub fn record_answer_start(
        &mut self,
        attempt: &mut Attempt,
        plain: bool,
        flight: &Flight,
        now: Time,
    ) {
        let observed = now.saturating_sub(attempt.sent);
        let unread = Load {
            unread: attempt.load.unread,
            ..Load::default()
        };
        attempt.load.unread = 0;
        let expected = attempt.expected;
        if let Some(state) = self.state_mut(attempt.key) {
            state.own.subtract(unread);
            state.learn(expected, observed);
        }
        if plain {
            let observed = observed.as_secs_f64() * 1e3;
            self.plain.add_sample(&flight.service, observed);
        }
        self.fleet.touch();
    }

    /// Takes an attempt back and learns from how it ended.
    pub fn finish(&mut self, attempt: &Attempt, end: End, flight: &Flight, now: Time) {
        self.fleet.touch();
        if end == End::Finished {
            let whole = now.saturating_sub(attempt.sent).as_secs_f64() * 1e3;
            self.whole.add_sample(&flight.service, whole);
        }
        let failed = matches!(end, End::Failed | End::Broken | End::Garbled);
        let usual = match end {
            End::Cancelled => 0.0,
            _ => self
                .failing
                .add_sample(&flight.route.name, f64::from(u8::from(failed))),
        };
        let key = attempt.key;
        if let Some(state) = self.state_mut(key) {
            state.own.subtract(attempt.load);
            match end {
                End::Finished => state.health.note(true, 1.0, now),
                End::Failed => state.health.note(false, (1.0 - usual).max(0.0), now),
                End::Rejected => state.health.note(false, SLIGHT, now),
                End::Broken | End::Garbled | End::Silent => state.health.note(false, 1.0, now),
                End::TimedOut if attempt.load.unread > 0 => state.health.note(false, 1.0, now),
                _ => {}
            }
            match end {
                End::Broken | End::Silent => state.suspect(now),
                End::Unreachable => state.fail(now),
                _ => {}
            }
        }
        if matches!(end, End::Unreachable | End::Misdirected) {
            self.prefixes.clear(key);
        }
        match end {
            End::Broken => self.suspects.push(Suspect {
                key,
                fingerprint: flight.fingerprint,
                at: now,
            }),
            End::Finished => self.crashes.clear(flight.fingerprint),
            _ => {}
        }
    }

    /// Decides whether a slow attempt should be given up for another endpoint, and pays for that.
    pub fn try_hedge(&mut self, flight: &Flight, now: Time) -> bool {
        let nodes = self.fleet.size(self.options.regions.len(), now);
        flight.may_run_after(flight.runs + 1)
            && flight.time_left(now) > WORTHWHILE
            && self
                .states
                .iter()
                .any(|state| self.admits(state, flight).is_ok())
            && self.budget.take_retry(&flight.service, nodes, now)
    }

    /// Decides what follows an attempt without a whole answer.
    pub fn next_step(&mut self, flight: &mut Flight, end: End, now: Time) -> Next {
        let nodes = self.fleet.size(self.options.regions.len(), now);
        match end.verdict() {
            Verdict::NotRun => {
                let worthwhile = flight.time_left(now) > WORTHWHILE;
                let sent = end != End::Unreachable;
                flight.rejections += u32::from(sent);
                let bearable = flight.rejections <= MAX_REJECTIONS;
                if worthwhile
                    && bearable
                    && (!sent || self.budget.take_retry(&flight.service, nodes, now))
                {
                    return Next::Retry;
                }
                let wait = self.return_time(flight, now);
                Next::GiveUp(give_up(flight, Cause::Rejected, Some(wait)))
            }
            Verdict::MayHaveRun | Verdict::Ran => {
                flight.runs += 1;
                let struck = self.crashes.count(flight.fingerprint) >= crashes::LIMIT;
                if flight.may_run_after(flight.runs)
                    && flight.time_left(now) > WORTHWHILE
                    && !struck
                    && self.budget.take_retry(&flight.service, nodes, now)
                {
                    return Next::Retry;
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
