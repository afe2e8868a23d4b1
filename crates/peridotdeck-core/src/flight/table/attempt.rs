//! Ends of attempts at endpoints, retries, and the removal of flights.

use peridotdeck_policy::Class;
use peridotdeck_wire::{Done, Outcome, Phase, Strike};

use super::{
    INITIAL_BACKOFF, KEEPALIVE_INTERVAL, Successes, Table, broadcast_strike, done_message,
};
use crate::{
    Action, Verdict,
    event::End,
    flight::{Context, Outbox, Running, Stage},
    id,
    quarantine::CRASH_LIMIT,
    request::{Cause, Refusal},
};

/// Bounds the failed attempts of an interactive request that may be followed by a retry.
const MAX_FAILURES: u32 = 4;

impl Table {
    /// Handles an owner's preemption of a bulk attempt.
    pub fn handle_preemption(&mut self, attempt: id::Attempt, out: &mut Outbox) {
        let Some(index) = self.find_attempt(attempt) else {
            return;
        };
        let flight = &self.flights[index];
        // An answer that cannot resume elsewhere would be generated twice, so it keeps its slot.
        if flight.call.resumable && matches!(flight.stage, Stage::Running(_)) {
            out.actions.push(Action::Stop { attempt });
        }
    }

    /// Handles the end of an attempt at its endpoint.
    pub fn handle_attempt_end(
        &mut self,
        attempt: id::Attempt,
        end: End,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Some(index) = self.find_attempt(attempt) else {
            return;
        };
        let Stage::Running(running) = self.flights[index].stage.clone() else {
            return;
        };
        Self::return_slot(&running, &end, context, out);
        let flight = &mut self.flights[index];
        flight.delivered_tokens += end.tokens;
        if flight.delivered_tokens > 0 {
            flight.waiting_since = context.now;
        }
        match end.outcome {
            Outcome::Finished => self.finish(index, running.endpoint, end, context, out),
            Outcome::Cancelled => self.end_cancelled(index, context.now),
            Outcome::Preempted => {
                self.flights[index].may_have_run = true;
                self.request_slot(index, context, out);
            }
            Outcome::Refused | Outcome::Unreachable => {
                self.retry_or_refuse(index, running.endpoint, context, out);
            }
            Outcome::Broken | Outcome::Silent | Outcome::Crossed => {
                self.handle_failure(index, &running, &end, context, out);
            }
        }
    }

    /// Reports the end of an attempt to the owner that granted its slot and to the current owner.
    pub(super) fn return_slot(
        running: &Running,
        end: &End,
        context: &Context<'_>,
        out: &mut Outbox,
    ) {
        let report = Done {
            tokens: end.tokens,
            first_ms: end
                .time_to_first_token
                .map_or(0, |first| first.as_millis().max(1) as u32),
            gap_us: end
                .inter_token_latency()
                .map_or(0, |gap| gap.as_micros() as u32),
            ..done_message(running.attempt, running.pool, running.endpoint, end.outcome)
        };
        let current = context.owner(running.pool);
        if let Some(owner) = running.owner {
            out.send(owner, report.clone());
        }
        if let Some(owner) = current
            && running.owner != current
        {
            out.send(owner, report);
        }
    }

    /// Ends a flight whose answer is complete.
    pub(super) fn finish(
        &mut self,
        index: usize,
        endpoint: id::Endpoint,
        end: End,
        context: &Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &self.flights[index];
        let (call, total) = (&flight.call, flight.delivered_tokens);
        self.output_sizes
            .observe(&call.class, &call.organisation, total);
        if self.quarantine.crashes(call.fingerprint) > 0 {
            let fingerprint = call.fingerprint;
            self.quarantine.clear(fingerprint);
            broadcast_strike(
                &Strike {
                    fingerprint,
                    endpoint,
                    cleared: true,
                    is_prefix: false,
                },
                context,
                out,
            );
        }
        self.clear_prefix(self.flights[index].call.prefix, endpoint, context, out);
        self.record_success(endpoint, context.now);
        self.settle_reservation(index, Phase::Ran, end.answer, context.now);
        self.remove(index);
    }

    pub(super) fn record_success(&mut self, endpoint: id::Endpoint, now: id::Time) {
        match self
            .successes
            .iter_mut()
            .find(|record| record.endpoint == endpoint)
        {
            Some(record) => (record.finished, record.last) = (record.finished + 1, now),
            None => self.successes.push(Successes {
                endpoint,
                finished: 1,
                last: now,
            }),
        }
    }

    pub(super) fn clear_successes(&mut self, endpoint: id::Endpoint) {
        self.successes.retain(|record| record.endpoint != endpoint);
    }

    /// Ends a flight whose attempt was stopped because the caller disconnected.
    pub(super) fn end_cancelled(&mut self, index: usize, now: id::Time) {
        if self.flights[index].reservation.is_some() {
            self.settle_reservation(index, Phase::MayHaveRun, None, now);
        }
        self.remove(index);
    }

    /// Retries a failed attempt, or refuses the request if no retry is left.
    pub(super) fn retry_or_refuse(
        &mut self,
        index: usize,
        endpoint: id::Endpoint,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[index];
        flight.failures += 1;
        flight.failed_endpoints.push(endpoint);
        self.clear_successes(endpoint);
        let flight = &self.flights[index];
        let class = context.snapshot.class(&flight.call.class);
        if self.spend_retry(index, class) {
            self.counts.retries += 1;
            return self.back_off(index, INITIAL_BACKOFF / 4, context);
        }
        let verdict = self.verdict(index);
        let refusal = Refusal {
            verdict,
            cause: Cause::EndpointFailed,
            retry_after: Some(KEEPALIVE_INTERVAL),
        };
        self.settle_and_refuse(index, refusal, context.now, out);
    }

    /// Returns whether the request may be retried, and spends one retry of its class's budget.
    ///
    /// Bulk must finish, so only the rate of its retries is limited, by backoff.
    pub(super) fn spend_retry(&mut self, index: usize, class: Option<&Class>) -> bool {
        let flight = &self.flights[index];
        let bulk = class.is_some_and(|class| class.bulk);
        bulk || (flight.failures <= MAX_FAILURES && self.retries.spend(&flight.call.class))
    }

    /// Handles a failed attempt that may have run.
    ///
    /// Repeatable requests continue at another endpoint. All others are refused with a verdict that
    /// says so.
    pub(super) fn handle_failure(
        &mut self,
        index: usize,
        running: &Running,
        end: &End,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[index];
        flight.may_have_run = true;
        let fingerprint = flight.call.fingerprint;
        if end.outcome == Outcome::Broken
            && self
                .quarantine
                .record_crash(fingerprint, running.endpoint, context.now)
        {
            let endpoint = running.endpoint;
            broadcast_strike(
                &Strike {
                    fingerprint,
                    endpoint,
                    cleared: false,
                    is_prefix: false,
                },
                context,
                out,
            );
        }
        if end.outcome == Outcome::Broken {
            self.blame_prefix(index, running.endpoint, context, out);
        }
        let flight = &self.flights[index];
        let quarantined = self.quarantine.crashes(fingerprint) >= CRASH_LIMIT
            || self.is_suspected(flight.call.prefix);
        let continues = !end.is_partial && (flight.delivered_tokens == 0 || flight.call.resumable);
        if flight.call.idempotent && continues && !quarantined {
            return self.retry_or_refuse(index, running.endpoint, context, out);
        }
        let cause = if quarantined {
            Cause::Quarantined
        } else {
            Cause::EndpointFailed
        };
        self.settle_and_refuse(index, Refusal::may_have_run(cause), context.now, out);
    }

    /// Handles a caller that disconnected.
    ///
    /// A running request with an idempotency key runs to its end, so that the caller can send it
    /// again and receive the answer.
    pub fn handle_disconnect(
        &mut self,
        request: id::Request,
        context: &Context<'_>,
        out: &mut Outbox,
    ) {
        let Ok(index) = self.find(request) else {
            return;
        };
        let flight = &mut self.flights[index];
        match &flight.stage {
            Stage::Running(_) if flight.reservation.is_some() => flight.orphaned = true,
            Stage::Running(running) => out.actions.push(Action::Stop {
                attempt: running.attempt,
            }),
            Stage::RequestingSlot(slot_request) => {
                let report = done_message(
                    slot_request.attempt,
                    slot_request.pool,
                    0,
                    Outcome::Cancelled,
                );
                out.send(slot_request.owner, report);
                self.drop_waiting(index, context.now);
            }
            Stage::Suspended
            | Stage::AwaitingLoan { .. }
            | Stage::Claiming
            | Stage::BackingOff { .. } => {
                self.drop_waiting(index, context.now);
            }
        }
    }

    /// Ends a flight that is not running, without a refusal.
    pub(super) fn drop_waiting(&mut self, index: usize, now: id::Time) {
        let phase = if self.flights[index].may_have_run {
            Phase::MayHaveRun
        } else {
            Phase::NotRun
        };
        self.settle_reservation(index, phase, None, now);
        self.remove(index);
    }

    /// Refuses a request, and settles its reservation according to the verdict.
    pub(super) fn settle_and_refuse(
        &mut self,
        index: usize,
        refusal: Refusal,
        now: id::Time,
        out: &mut Outbox,
    ) {
        let phase = match refusal.verdict {
            Verdict::NotRun => Phase::NotRun,
            Verdict::MayHaveRun => Phase::MayHaveRun,
            Verdict::Ran => Phase::Ran,
        };
        self.settle_reservation(index, phase, None, now);
        self.refuse(index, refusal, out);
    }

    /// Refuses a request, unless its caller has disconnected, and removes the flight.
    pub(super) fn refuse(&mut self, index: usize, refusal: Refusal, out: &mut Outbox) {
        let flight = &self.flights[index];
        assert!(
            refusal.verdict != Verdict::NotRun || !flight.may_have_run,
            "request {} may have run, so its verdict must not be `NotRun`",
            flight.request
        );
        if !flight.orphaned {
            out.actions.push(Action::Refuse {
                request: flight.request,
                refusal,
            });
        }
        self.remove(index);
    }

    /// Removes a flight from the table and from its organisation's concurrency.
    pub(super) fn remove(&mut self, index: usize) {
        let flight = self.flights.remove(index);
        self.release_limits(&flight);
        self.counts.ended += 1;
    }
}
