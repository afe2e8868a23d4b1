//! Attempts at endpoints: their ends, retries, and the end of a flight.

use peridotdeck_policy::Class;
use peridotdeck_wire::{Done, Outcome, Phase, Strike};

use super::{Desk, KEEPALIVE, Proof, REST, broadcast, done};
use crate::{
    Action, Verdict,
    event::End,
    flight::{Outbox, Running, Scene, Stage},
    id,
    quarantine::CRASH_LIMIT,
    request::{Cause, Refusal},
};

/// Failed attempts after which an interactive request is given up.
const MAX_FAILURES: u32 = 4;

impl Desk {
    /// The owner takes a slot back from a bulk attempt.
    pub fn preempt(&mut self, attempt: id::Attempt, out: &mut Outbox) {
        let Some(at) = self.find_attempt(attempt) else {
            return;
        };
        let flight = &self.flights[at];
        // What cannot go on elsewhere would be generated twice, so it keeps its slot.
        if flight.call.resumable && matches!(flight.stage, Stage::Running(_)) {
            out.actions.push(Action::Stop { attempt });
        }
    }

    /// An attempt has ended at its endpoint.
    pub fn ended(
        &mut self,
        attempt: id::Attempt,
        end: End,
        scene: &mut Scene<'_>,
        out: &mut Outbox,
    ) {
        let Some(at) = self.find_attempt(attempt) else {
            return;
        };
        let Stage::Running(running) = self.flights[at].stage.clone() else {
            return;
        };
        Self::return_slot(&running, &end, scene, out);
        let flight = &mut self.flights[at];
        flight.delivered += end.tokens;
        if flight.delivered > 0 {
            flight.since = scene.now;
        }
        match end.outcome {
            Outcome::Finished => self.finish(at, running.endpoint, end, scene, out),
            Outcome::Cancelled => self.cancel(at, scene.now),
            Outcome::Preempted => {
                self.flights[at].may_have_run = true;
                self.ask(at, scene, out);
            }
            Outcome::Refused | Outcome::Unreachable => self.retry(at, running.endpoint, scene, out),
            Outcome::Broken | Outcome::Silent | Outcome::Crossed => {
                self.fail(at, &running, end.outcome, scene, out);
            }
        }
    }

    pub(super) fn return_slot(running: &Running, end: &End, scene: &Scene<'_>, out: &mut Outbox) {
        let report = Done {
            tokens: end.tokens,
            first_ms: end
                .time_to_first_token
                .map_or(0, |first| first.as_millis().max(1) as u32),
            gap_us: end
                .inter_token_latency()
                .map_or(0, |gap| gap.as_micros() as u32),
            ..done(running.attempt, running.pool, running.endpoint, end.outcome)
        };
        let current = scene.owner(running.pool);
        if let Some(owner) = running.owner {
            out.tell(owner, report.clone());
        }
        if let Some(owner) = current
            && running.owner != current
        {
            out.tell(owner, report);
        }
    }

    pub(super) fn finish(
        &mut self,
        at: usize,
        endpoint: id::Endpoint,
        end: End,
        scene: &Scene<'_>,
        out: &mut Outbox,
    ) {
        let flight = &self.flights[at];
        let (call, total) = (&flight.call, flight.delivered);
        self.sizes.observe(&call.class, &call.organisation, total);
        if self.poison.crashes(call.fingerprint) > 0 {
            let fingerprint = call.fingerprint;
            self.poison.clear(fingerprint);
            broadcast(
                &Strike {
                    fingerprint,
                    endpoint,
                    cleared: true,
                },
                scene,
                out,
            );
        }
        self.prove(endpoint, scene.now);
        self.settle(at, Phase::Ran, end.answer, scene.now);
        self.end(at);
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

    pub(super) fn cancel(&mut self, at: usize, now: id::Time) {
        if self.flights[at].round.is_some() {
            self.settle(at, Phase::MayHaveRun, None, now);
        }
        self.end(at);
    }

    /// The endpoint provably did not run the attempt, so any request may try again.
    pub(super) fn retry(
        &mut self,
        at: usize,
        endpoint: id::Endpoint,
        scene: &mut Scene<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[at];
        flight.failures += 1;
        flight.avoid.push(endpoint);
        self.disprove(endpoint);
        let flight = &self.flights[at];
        let class = scene.snapshot.class(&flight.call.class);
        if self.may_retry(at, class) {
            self.counts.retries += 1;
            return self.rest(at, REST / 4, scene);
        }
        let verdict = self.verdict(at);
        let refusal = Refusal {
            verdict,
            cause: Cause::EndpointFailed,
            retry_after: Some(KEEPALIVE),
        };
        self.conclude(at, refusal, scene.now, out);
    }

    /// Bulk must finish, so only its pace is limited; interactive work has a budget.
    pub(super) fn may_retry(&mut self, at: usize, class: Option<&Class>) -> bool {
        let flight = &self.flights[at];
        let bulk = class.is_some_and(|class| class.bulk);
        bulk || (flight.failures <= MAX_FAILURES && self.retries.spend(&flight.call.class))
    }

    /// The attempt may have run: repeatable work goes on elsewhere, the rest is told so.
    pub(super) fn fail(
        &mut self,
        at: usize,
        running: &Running,
        outcome: Outcome,
        scene: &mut Scene<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[at];
        flight.may_have_run = true;
        let fingerprint = flight.call.fingerprint;
        if outcome == Outcome::Broken
            && self
                .poison
                .record_crash(fingerprint, running.endpoint, scene.now)
        {
            let endpoint = running.endpoint;
            broadcast(
                &Strike {
                    fingerprint,
                    endpoint,
                    cleared: false,
                },
                scene,
                out,
            );
        }
        let flight = &self.flights[at];
        let quarantined = self.poison.crashes(fingerprint) >= CRASH_LIMIT;
        let continues = flight.delivered == 0 || flight.call.resumable;
        if flight.call.idempotent && continues && !quarantined {
            return self.retry(at, running.endpoint, scene, out);
        }
        let cause = if quarantined {
            Cause::Quarantined
        } else {
            Cause::EndpointFailed
        };
        self.conclude(at, Refusal::may_have_run(cause), scene.now, out);
    }

    /// The caller has gone. A call that may not be repeated is seen through, so that its caller
    /// can ask again for the answer.
    pub fn abandon(&mut self, request: id::Request, scene: &Scene<'_>, out: &mut Outbox) {
        let Ok(at) = self.find(request) else { return };
        let flight = &mut self.flights[at];
        match &flight.stage {
            Stage::Running(_) if flight.round.is_some() => flight.orphan = true,
            Stage::Running(running) => out.actions.push(Action::Stop {
                attempt: running.attempt,
            }),
            Stage::Asking(asking) => {
                let report = done(asking.attempt, asking.pool, 0, Outcome::Cancelled);
                out.tell(asking.owner, report);
                self.drop_unsent(at, scene.now);
            }
            Stage::Parked | Stage::Claiming | Stage::Resting { .. } => {
                self.drop_unsent(at, scene.now);
            }
        }
    }

    pub(super) fn drop_unsent(&mut self, at: usize, now: id::Time) {
        let phase = if self.flights[at].may_have_run {
            Phase::MayHaveRun
        } else {
            Phase::NotRun
        };
        self.settle(at, phase, None, now);
        self.end(at);
    }

    /// Ends a flight with a refusal and settles its reservation accordingly.
    pub(super) fn conclude(
        &mut self,
        at: usize,
        refusal: Refusal,
        now: id::Time,
        out: &mut Outbox,
    ) {
        let phase = match refusal.verdict {
            Verdict::NotRun => Phase::NotRun,
            Verdict::MayHaveRun => Phase::MayHaveRun,
            Verdict::Ran => Phase::Ran,
        };
        self.settle(at, phase, None, now);
        self.refuse(at, refusal, out);
    }

    pub(super) fn refuse(&mut self, at: usize, refusal: Refusal, out: &mut Outbox) {
        let flight = &self.flights[at];
        assert!(
            refusal.verdict != Verdict::NotRun || !flight.may_have_run,
            "request {} may have run and must not be called not run",
            flight.request
        );
        if !flight.orphan {
            out.actions.push(Action::Refuse {
                request: flight.request,
                refusal,
            });
        }
        self.end(at);
    }

    pub(super) fn end(&mut self, at: usize) {
        let flight = self.flights.remove(at);
        self.limits.release(&flight.call.organisation);
        self.counts.ended += 1;
    }
}
