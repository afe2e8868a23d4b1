//! Attempts at endpoints: their ends, retries, and the end of a flight.

use peridotdeck_policy::Class;
use peridotdeck_wire::{Done, Outcome, Phase, Strike};

use super::{KEEPALIVE, Proof, REST, Table, broadcast, done};
use crate::{
    Action, Verdict,
    event::End,
    flight::{Context, Outbox, Running, Stage},
    id,
    poison::QUARANTINE_STRIKES,
    request::{Cause, Refusal},
};

/// Failed attempts after which an interactive request is given up.
const MAX_FAILURES: u32 = 4;

impl Table {
    /// The owner takes a slot back from a bulk attempt.
    pub fn handle_preemption(&mut self, attempt: id::Attempt, out: &mut Outbox) {
        let Some(index) = self.find_attempt(attempt) else {
            return;
        };
        let flight = &self.flights[index];
        // What cannot go on elsewhere would be generated twice, so it keeps its slot.
        if flight.call.resumable && matches!(flight.stage, Stage::Running(_)) {
            out.actions.push(Action::Stop { attempt });
        }
    }

    /// An attempt has ended at its endpoint.
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
            Outcome::Cancelled => self.cancel(index, context.now),
            Outcome::Preempted => {
                self.flights[index].may_have_run = true;
                self.ask(index, context, out);
            }
            Outcome::Refused | Outcome::Unreachable => {
                self.retry(index, running.endpoint, context, out)
            }
            Outcome::Broken | Outcome::Silent | Outcome::Crossed => {
                self.fail(index, &running, end.outcome, context, out);
            }
        }
    }

    pub(super) fn return_slot(
        running: &Running,
        end: &End,
        context: &Context<'_>,
        out: &mut Outbox,
    ) {
        let report = Done {
            tokens: end.tokens,
            first_ms: end.first.map_or(0, |first| first.as_millis().max(1) as u32),
            gap_us: end.gap().map_or(0, |gap| gap.as_micros() as u32),
            ..done(running.attempt, running.pool, running.endpoint, end.outcome)
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
        self.sizes.learn(&call.class, &call.organisation, total);
        if self.quarantine.strikes(call.fingerprint) > 0 {
            let fingerprint = call.fingerprint;
            self.quarantine.clear(fingerprint);
            broadcast(
                &Strike {
                    fingerprint,
                    endpoint,
                    cleared: true,
                },
                context,
                out,
            );
        }
        self.prove(endpoint, context.now);
        self.settle(index, Phase::Ran, end.answer, context.now);
        self.end(index);
    }

    pub(super) fn prove(&mut self, endpoint: id::Endpoint, now: id::Time) {
        match self
            .proofs
            .iter_mut()
            .find(|proof| proof.endpoint == endpoint)
        {
            Some(proof) => (proof.finished, proof.last) = (proof.finished + 1, now),
            None => self.proofs.push(Proof {
                endpoint,
                finished: 1,
                last: now,
            }),
        }
    }

    pub(super) fn disprove(&mut self, endpoint: id::Endpoint) {
        self.proofs.retain(|proof| proof.endpoint != endpoint);
    }

    pub(super) fn cancel(&mut self, index: usize, now: id::Time) {
        if self.flights[index].reservation.is_some() {
            self.settle(index, Phase::MayHaveRun, None, now);
        }
        self.end(index);
    }

    /// The endpoint provably did not run the attempt, so any request may try again.
    pub(super) fn retry(
        &mut self,
        index: usize,
        endpoint: id::Endpoint,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[index];
        flight.failures += 1;
        flight.failed_endpoints.push(endpoint);
        self.disprove(endpoint);
        let flight = &self.flights[index];
        let class = context.snapshot.class(&flight.call.class);
        if self.may_retry(index, class) {
            self.counts.retries += 1;
            return self.rest(index, REST / 4, context);
        }
        let verdict = self.verdict(index);
        let refusal = Refusal {
            verdict,
            cause: Cause::EndpointFailed,
            retry_after: Some(KEEPALIVE),
        };
        self.conclude(index, refusal, context.now, out);
    }

    /// Bulk must finish, so only its pace is limited; interactive work has a budget.
    pub(super) fn may_retry(&mut self, index: usize, class: Option<&Class>) -> bool {
        let flight = &self.flights[index];
        let bulk = class.is_some_and(|class| class.bulk);
        bulk || (flight.failures <= MAX_FAILURES && self.retries.spend(&flight.call.class))
    }

    /// The attempt may have run: repeatable work goes on elsewhere, the rest is told so.
    pub(super) fn fail(
        &mut self,
        index: usize,
        running: &Running,
        outcome: Outcome,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[index];
        flight.may_have_run = true;
        let fingerprint = flight.call.fingerprint;
        if outcome == Outcome::Broken
            && self
                .quarantine
                .strike(fingerprint, running.endpoint, context.now)
        {
            let endpoint = running.endpoint;
            broadcast(
                &Strike {
                    fingerprint,
                    endpoint,
                    cleared: false,
                },
                context,
                out,
            );
        }
        let flight = &self.flights[index];
        let quarantined = self.quarantine.strikes(fingerprint) >= QUARANTINE_STRIKES;
        let continues = flight.delivered_tokens == 0 || flight.call.resumable;
        if flight.call.repeatable && continues && !quarantined {
            return self.retry(index, running.endpoint, context, out);
        }
        let cause = if quarantined {
            Cause::Quarantined
        } else {
            Cause::EndpointFailed
        };
        self.conclude(index, Refusal::may_have_run(cause), context.now, out);
    }

    /// The caller has gone. A call that may not be repeated is seen through, so that its caller
    /// can ask again for the answer.
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
                let report = done(
                    slot_request.attempt,
                    slot_request.pool,
                    0,
                    Outcome::Cancelled,
                );
                out.send(slot_request.owner, report);
                self.drop_unsent(index, context.now);
            }
            Stage::Suspended | Stage::Claiming | Stage::BackingOff { .. } => {
                self.drop_unsent(index, context.now);
            }
        }
    }

    pub(super) fn drop_unsent(&mut self, index: usize, now: id::Time) {
        let phase = if self.flights[index].may_have_run {
            Phase::MayHaveRun
        } else {
            Phase::NotRun
        };
        self.settle(index, phase, None, now);
        self.end(index);
    }

    /// Ends a flight with a refusal and settles its reservation accordingly.
    pub(super) fn conclude(
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
        self.settle(index, phase, None, now);
        self.refuse(index, refusal, out);
    }

    pub(super) fn refuse(&mut self, index: usize, refusal: Refusal, out: &mut Outbox) {
        let flight = &self.flights[index];
        assert!(
            refusal.verdict != Verdict::NotRun || !flight.may_have_run,
            "request {} may have run and must not be called not run",
            flight.request
        );
        if !flight.orphaned {
            out.actions.push(Action::Refuse {
                request: flight.request,
                refusal,
            });
        }
        self.end(index);
    }

    pub(super) fn end(&mut self, index: usize) {
        let flight = self.flights.remove(index);
        self.limits.release(&flight.call.organisation);
        self.counts.ended += 1;
    }
}
