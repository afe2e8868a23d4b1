//! Asking the owner of a pool for a slot.

use std::time::Duration;

use peridotdeck_wire::{Ask, Deny, Outcome, Reason};
use rand::Rng;

use super::{Desk, KEEPALIVE, REST, done, pool_of};
use crate::{
    Action, Verdict,
    flight::{Asking, Outbox, Running, Scene, Stage, candidate::choose},
    id,
    pool::queue_timeout,
    request::{Cause, Refusal},
};

/// Longest rest before another try.
const MAX_REST: Duration = Duration::from_secs(5);

impl Desk {
    pub(super) fn ask(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let flight = &self.flights[at];
        let Some((pool, owner)) = choose(flight, scene) else {
            return self.find_no_pool(at, scene, out);
        };
        let attempt = self.attempts.issue();
        self.flights[at].stage = Stage::Asking(Asking {
            attempt,
            pool,
            owner,
            sent: scene.now,
            unanswered: 0,
            queued: false,
        });
        self.send_ask(at, scene.now, out);
    }

    pub(super) fn send_ask(&mut self, at: usize, now: id::Time, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        let waited = flight.waited(now);
        let Stage::Asking(asking) = &mut flight.stage else {
            return;
        };
        asking.sent = now;
        asking.unanswered += 1;
        let call = &flight.call;
        let ask = Ask {
            attempt: asking.attempt,
            pool: asking.pool,
            class: call.class.clone(),
            organisation: call.organisation.clone(),
            tokens: self
                .sizes
                .estimate(&call.class, &call.organisation, call.max_tokens),
            prompt: call.prompt_tokens,
            prefix: call.prefix,
            fingerprint: call.fingerprint,
            strikes: self.poison.crashes(call.fingerprint) as u8,
            waited_ms: waited.as_millis() as u32,
            avoid: flight.avoid.clone(),
        };
        out.tell(asking.owner, ask);
    }

    /// No pool may take the request now. Bulk waits; interactive work waits as long as its class
    /// allows, because an endpoint may come back.
    pub(super) fn find_no_pool(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        let class = scene.snapshot.class(&flight.call.class);
        let waits = class
            .is_some_and(|class| class.bulk || flight.waited(scene.now) < queue_timeout(class));
        if waits {
            flight.refused.clear();
            return self.rest(at, REST, scene);
        }
        let cause = Cause::NoEndpoint;
        let verdict = self.verdict(at);
        self.conclude(
            at,
            Refusal {
                verdict,
                cause,
                retry_after: Some(KEEPALIVE),
            },
            scene.now,
            out,
        );
    }

    pub(super) fn rest(&mut self, at: usize, shortest: Duration, scene: &mut Scene<'_>) {
        let jitter = scene.rng.random_range(0.5..1.0);
        let flight = &mut self.flights[at];
        let doubled = shortest * 2_u32.saturating_pow(flight.failures.min(8));
        flight.stage = Stage::Resting {
            until: scene.now + doubled.min(MAX_REST).mul_f64(jitter),
        };
    }

    /// The owner says that the request waits.
    pub fn queued(&mut self, attempt: id::Attempt) {
        if let Some(at) = self.find_attempt(attempt)
            && let Stage::Asking(asking) = &mut self.flights[at].stage
        {
            asking.queued = true;
            asking.unanswered = 0;
        }
    }

    /// The owner grants a slot; a grant that nobody waits for is returned at once.
    pub fn grant(
        &mut self,
        owner: id::Node,
        attempt: id::Attempt,
        endpoint: id::Endpoint,
        scene: &mut Scene<'_>,
        out: &mut Outbox,
    ) {
        if let Some(at) = self.find_attempt(attempt) {
            match &self.flights[at].stage {
                Stage::Asking(asking) if asking.owner == owner => {
                    let pool = asking.pool;
                    return self.run(
                        at,
                        Running {
                            attempt,
                            pool,
                            endpoint,
                            owner: Some(owner),
                        },
                        out,
                    );
                }
                Stage::Running(running)
                    if running.owner == Some(owner) && running.endpoint == endpoint =>
                {
                    return;
                }
                _ => {}
            }
        }
        let pool = pool_of(scene.snapshot, endpoint);
        out.tell(owner, done(attempt, pool, endpoint, Outcome::Cancelled));
    }

    pub(super) fn run(&mut self, at: usize, running: Running, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        assert!(
            flight.call.idempotent || !flight.may_have_run,
            "request {} may have run and must not run again",
            flight.request
        );
        out.actions.push(Action::Dispatch {
            request: flight.request,
            attempt: running.attempt,
            endpoint: running.endpoint,
        });
        flight.stage = Stage::Running(running);
    }

    /// The owner refuses the attempt.
    pub fn deny(&mut self, deny: &Deny, scene: &mut Scene<'_>, out: &mut Outbox) {
        let Some(at) = self.find_attempt(deny.attempt) else {
            return;
        };
        let Stage::Asking(asking) = &self.flights[at].stage else {
            return;
        };
        let pool = asking.pool;
        match deny.reason {
            Reason::NotOwner => self.rest(at, REST, scene),
            Reason::NoEndpoint => {
                self.flights[at].refused.push(pool);
                self.ask(at, scene, out);
            }
            Reason::Overload => {
                self.flights[at].refused.push(pool);
                if choose(&self.flights[at], scene).is_some() {
                    return self.ask(at, scene, out);
                }
                let retry_after = Some(Duration::from_millis(u64::from(deny.retry_ms).max(500)));
                let verdict = self.verdict(at);
                self.conclude(
                    at,
                    Refusal {
                        verdict,
                        cause: Cause::Overload,
                        retry_after,
                    },
                    scene.now,
                    out,
                );
            }
            Reason::Quarantined => {
                let verdict = self.verdict(at);
                let refusal = Refusal {
                    verdict,
                    cause: Cause::Quarantined,
                    retry_after: None,
                };
                self.conclude(at, refusal, scene.now, out);
            }
        }
    }

    pub(super) fn verdict(&self, at: usize) -> Verdict {
        if self.flights[at].may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}
