//! Outcomes of attempts: health and load updates, hedging and retries.

use std::time::Duration;

use super::{Dispatcher, waiting::give_up};
use crate::{
    Verdict,
    dispatch::{
        Key,
        attempt::{Attempt, End, Next},
        crashes,
        endpoint::Load,
        flight::Flight,
        refusal::Cause,
    },
    id::Time,
};

/// Number of rejections after which a request is not placed again.
const MAX_REJECTIONS: u32 = 3;

/// Shortest time before the deadline that another attempt needs.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Weight of a rejection in the endpoint's health, since it says little about the endpoint.
const REJECTION_WEIGHT: f64 = 0.5;

/// Longest time for which an endpoint may ask for no requests; a longer one is likely an error.
pub(super) const MAX_PAUSE: Duration = Duration::from_secs(300);

impl Dispatcher {
    /// Records that the answer has begun, which means that the prompt has been read.
    pub fn record_answer_start(
        &mut self,
        attempt: &mut Attempt,
        is_plain: bool,
        flight: &Flight,
        now: Time,
    ) {
        let observed = now.saturating_sub(attempt.sent);
        self.record_answer_speed(attempt, observed);
        let unread = Load {
            unread: attempt.load.unread,
            ..Load::default()
        };
        attempt.load.unread = 0;
        let (expected, sent) = (attempt.expected, attempt.sent);
        if let Some(state) = self.state_mut(attempt.key) {
            state.own_load.subtract(unread);
            state.record_answer_time(expected, observed);
            state.confirm_process(sent);
        }
        if is_plain {
            let observed = observed.as_secs_f64() * 1e3;
            self.plain_answer_ms.add_sample(&flight.service, observed);
        }
        if !is_plain {
            self.note_begun(attempt, flight, now);
        }
        self.fleet.mark_changed();
    }

    /// Records an endpoint's announcement that it is leaving; returns whether it was unknown.
    pub fn record_departure(&mut self, key: Key, now: Time) -> bool {
        let is_new = self.departures.record(key, now);
        if is_new {
            self.fleet.mark_changed();
            if let Some(state) = self.state_mut(key) {
                state.mark_departing();
            }
        }
        is_new
    }

    /// Sends nothing to an endpoint for a time that it has asked for.
    pub fn pause_endpoint(&mut self, key: Key, time: Duration, now: Time) {
        self.note_pause(self.options.node, key, now + time.min(MAX_PAUSE));
        self.fleet.mark_changed();
    }

    /// Sends nothing to an endpoint over the path of an attempt, for a time that it has asked for.
    ///
    /// The peer whose path it was learns of the pause at once.
    pub fn pause_path(&mut self, attempt: &Attempt, time: Duration, now: Time) {
        let Some(peer) = attempt.detour else {
            self.pause_endpoint(attempt.key, time, now);
            return;
        };
        self.note_pause(peer, attempt.key, now + time.min(MAX_PAUSE));
        self.fleet.mark_urgent();
    }

    /// Ends an attempt and updates load, health and expectations from its outcome.
    pub fn finish(&mut self, attempt: &Attempt, end: End, flight: &Flight, now: Time) {
        self.fleet.mark_changed();
        self.end_answer_wait(attempt);
        self.note_end(attempt, end, flight, now);
        if end == End::Finished {
            let whole = now.saturating_sub(attempt.sent).as_secs_f64() * 1e3;
            self.whole_answer_ms.add_sample(&flight.service, whole);
            self.record_duration(attempt, flight, now);
        }
        let failed = matches!(end, End::Failed | End::Broken | End::Garbled);
        let usual_failure_rate = match end {
            End::Cancelled => 0.0,
            _ => self
                .failure_rate
                .add_sample(&flight.route.name, f64::from(u8::from(failed))),
        };
        let key = attempt.key;
        if let Some(state) = self.state_mut(key) {
            state.own_load.subtract(attempt.load);
            match end {
                End::Finished => {
                    state.health.record(true, 1.0, now);
                    state.confirm_process(attempt.sent);
                }
                End::Failed => state
                    .health
                    .record(false, (1.0 - usual_failure_rate).max(0.0), now),
                End::Rejected => state.health.record(false, REJECTION_WEIGHT, now),
                End::Broken | End::Garbled | End::Silent => state.health.record(false, 1.0, now),
                End::TimedOut if attempt.load.unread > 0 => state.health.record(false, 1.0, now),
                _ => {}
            }
            if end == End::Silent {
                state.record_silence(now);
            }
            if end == End::Replaced {
                state.mark_replaced();
            }
            match end {
                End::Broken | End::Unconfirmed | End::Silent | End::Unsent => {
                    state.path.suspect(now);
                }
                _ => {}
            }
        }
        self.end_place(key, end, now);
        match end {
            End::Unreachable if attempt.detour.is_some() => self.end_detour(key, now),
            End::Unreachable => self.record_unreachable(key, now),
            End::Misdirected | End::Replaced => self.prefixes.remove_endpoint(key),
            End::Rejected | End::Silent | End::Forbidden => self.forget_unread(attempt, flight),
            _ => {}
        }
        match end {
            End::Broken | End::Unconfirmed => self.suspect_request(attempt, end, flight, now),
            End::Finished => self.clear_finished(flight, now),
            _ => {}
        }
    }

    /// Forgets the prefixes that an endpoint was expected to read for an attempt, but did not.
    fn forget_unread(&mut self, attempt: &Attempt, flight: &Flight) {
        if attempt.load.unread == 0 {
            return;
        }
        for part in &flight.prompt.shared {
            self.prefixes
                .remove_since(part.prefix, attempt.key, attempt.sent);
        }
    }

    /// Returns whether to abandon a slow attempt and try another endpoint.
    ///
    /// If so, a retry is taken from the service's budget.
    pub fn try_hedge(&mut self, flight: &Flight, now: Time) -> bool {
        let nodes = self.fleet.recent_size(self.options.regions.len(), now);
        let regions = self.current_regions(flight);
        flight.may_run_after(flight.runs + 1)
            && self.suspicion(flight) == 0
            && flight.time_left(now) > MIN_ATTEMPT_TIME
            && self.ends_in_time(flight, now)
            && self.states.iter().any(|state| {
                regions.allows(&state.region)
                    && self.admits(state, flight, now).is_ok()
                    && self.rate_admits(state.key, flight.rank, now)
            })
            && self.budget.take_retry(&flight.service, nodes, now)
    }

    /// Returns the next step after an attempt without a complete answer.
    pub fn next_step(&mut self, flight: &mut Flight, end: End, now: Time) -> Next {
        let next = self.decide_next(flight, end, now);
        if next != Next::Retry {
            self.note_unserved(flight, now);
        }
        next
    }

    fn decide_next(&mut self, flight: &mut Flight, end: End, now: Time) -> Next {
        let nodes = self.fleet.recent_size(self.options.regions.len(), now);
        match end.verdict() {
            Verdict::NotRun => {
                let enough_time = flight.time_left(now) > MIN_ATTEMPT_TIME;
                let was_sent = !matches!(
                    end,
                    End::Unreachable | End::Unsent | End::Replaced | End::Forbidden
                );
                if !was_sent {
                    // The endpoint may soon be reached over another path; a replaced one is not placed to again.
                    flight.tried.pop();
                }
                flight.rejections += u32::from(was_sent);
                let few_rejections = flight.rejections <= MAX_REJECTIONS;
                if enough_time
                    && few_rejections
                    && (!was_sent || self.budget.take_retry(&flight.service, nodes, now))
                {
                    return Next::Retry;
                }
                let wait = self.retry_after(flight, now);
                Next::GiveUp(give_up(flight, Cause::Rejected, Some(wait)))
            }
            Verdict::MayHaveRun | Verdict::Ran => {
                flight.runs += 1;
                flight.failures += 1;
                let suspected = self.suspicion(flight) >= crashes::RETRY_LIMIT;
                if flight.may_run_after(flight.runs)
                    && flight.time_left(now) > MIN_ATTEMPT_TIME
                    && self.ends_in_time(flight, now)
                    && !suspected
                    && self.budget.take_retry(&flight.service, nodes, now)
                {
                    return Next::Retry;
                }
                let cause = match end {
                    End::TimedOut => Cause::TimedOut,
                    End::Abandoned => Cause::Leaving,
                    _ => Cause::EndpointFailed,
                };
                Next::GiveUp(give_up(flight, cause, None))
            }
        }
    }
}
