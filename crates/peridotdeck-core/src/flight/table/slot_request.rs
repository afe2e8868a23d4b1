//! Requests for a slot, and the owner's replies.

use std::time::Duration;

use peridotdeck_wire::{Ask, Deny, Outcome, Reason};
use rand::Rng;

use super::{INITIAL_BACKOFF, KEEPALIVE_INTERVAL, Table, done_message, find_pool};
use crate::{
    Action, Verdict,
    flight::{Context, Outbox, Running, SlotRequest, Stage, candidate::choose_pool},
    id,
    pool::queue_timeout,
    request::{Cause, Refusal},
};

/// Bounds the delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

impl Table {
    /// Starts a new attempt at the best pool.
    pub(super) fn request_slot(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &self.flights[index];
        let Some((pool, owner)) = choose_pool(flight, context) else {
            return self.handle_no_pool(index, context, out);
        };
        let attempt = self.attempt_ids.issue();
        self.flights[index].stage = Stage::RequestingSlot(SlotRequest {
            attempt,
            pool,
            owner,
            sent: context.now,
            unanswered: 0,
            queued: false,
        });
        self.send_slot_request(index, context.now, out);
    }

    /// Sends the slot request, for the first time or again.
    pub(super) fn send_slot_request(&mut self, index: usize, now: id::Time, out: &mut Outbox) {
        let flight = &mut self.flights[index];
        let waited = flight.waited(now);
        let Stage::RequestingSlot(slot_request) = &mut flight.stage else {
            return;
        };
        slot_request.sent = now;
        slot_request.unanswered += 1;
        let call = &flight.call;
        let ask = Ask {
            attempt: slot_request.attempt,
            pool: slot_request.pool,
            class: call.class.clone(),
            organisation: call.organisation.clone(),
            tokens: self
                .output_sizes
                .estimate(&call.class, &call.organisation, call.max_tokens),
            prompt: call.prompt_tokens,
            prefix: call.prefix,
            fingerprint: call.fingerprint,
            strikes: self.quarantine.crashes(call.fingerprint) as u8,
            waited_ms: waited.as_millis() as u32,
            avoid: flight.failed_endpoints.clone(),
        };
        out.send(slot_request.owner, ask);
    }

    /// Handles a request that no pool may take now.
    ///
    /// Bulk backs off until a pool can take it. An interactive request does so only within its
    /// class's queue timeout, because an endpoint may come back. Then it is refused.
    pub(super) fn handle_no_pool(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[index];
        let class = context.snapshot.class(&flight.call.class);
        let waits = class
            .is_some_and(|class| class.bulk || flight.waited(context.now) < queue_timeout(class));
        if waits {
            flight.refused_by.clear();
            return self.back_off(index, INITIAL_BACKOFF, context);
        }
        let cause = Cause::NoEndpoint;
        let verdict = self.verdict(index);
        self.settle_and_refuse(
            index,
            Refusal {
                verdict,
                cause,
                retry_after: Some(KEEPALIVE_INTERVAL),
            },
            context.now,
            out,
        );
    }

    /// Delays the next attempt by an exponential backoff that starts at `initial`, with jitter.
    pub(super) fn back_off(&mut self, index: usize, initial: Duration, context: &mut Context<'_>) {
        let jitter = context.rng.random_range(0.5..1.0);
        let flight = &mut self.flights[index];
        let doubled = initial * 2_u32.saturating_pow(flight.failures.min(8));
        flight.stage = Stage::BackingOff {
            until: context.now + doubled.min(MAX_BACKOFF).mul_f64(jitter),
        };
    }

    /// Records that the owner has queued the request.
    pub fn mark_queued(&mut self, attempt: id::Attempt) {
        if let Some(index) = self.find_attempt(attempt)
            && let Stage::RequestingSlot(slot_request) = &mut self.flights[index].stage
        {
            slot_request.queued = true;
            slot_request.unanswered = 0;
        }
    }

    /// Handles a granted slot. A grant that no request waits for is returned at once.
    pub fn handle_grant(
        &mut self,
        owner: id::Node,
        attempt: id::Attempt,
        endpoint: id::Endpoint,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        if let Some(index) = self.find_attempt(attempt) {
            match &self.flights[index].stage {
                Stage::RequestingSlot(slot_request) if slot_request.owner == owner => {
                    let pool = slot_request.pool;
                    return self.dispatch(
                        index,
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
        let pool = find_pool(context.snapshot, endpoint);
        out.send(
            owner,
            done_message(attempt, pool, endpoint, Outcome::Cancelled),
        );
    }

    /// Starts an attempt at an endpoint.
    pub(super) fn dispatch(&mut self, index: usize, running: Running, out: &mut Outbox) {
        let flight = &mut self.flights[index];
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

    /// Handles the owner's refusal of an attempt.
    pub fn handle_denial(&mut self, deny: &Deny, context: &mut Context<'_>, out: &mut Outbox) {
        let Some(index) = self.find_attempt(deny.attempt) else {
            return;
        };
        let Stage::RequestingSlot(slot_request) = &self.flights[index].stage else {
            return;
        };
        let pool = slot_request.pool;
        match deny.reason {
            Reason::NotOwner => self.back_off(index, INITIAL_BACKOFF, context),
            Reason::NoEndpoint => {
                self.flights[index].refused_by.push(pool);
                self.request_slot(index, context, out);
            }
            Reason::Overload => {
                self.flights[index].refused_by.push(pool);
                if choose_pool(&self.flights[index], context).is_some() {
                    return self.request_slot(index, context, out);
                }
                let retry_after = Some(Duration::from_millis(u64::from(deny.retry_ms).max(500)));
                let verdict = self.verdict(index);
                self.settle_and_refuse(
                    index,
                    Refusal {
                        verdict,
                        cause: Cause::Overload,
                        retry_after,
                    },
                    context.now,
                    out,
                );
            }
            Reason::Quarantined => {
                let verdict = self.verdict(index);
                let refusal = Refusal {
                    verdict,
                    cause: Cause::Quarantined,
                    retry_after: None,
                };
                self.settle_and_refuse(index, refusal, context.now, out);
            }
        }
    }

    /// Returns the verdict of a refusal that would end the request now.
    pub(super) fn verdict(&self, index: usize) -> Verdict {
        if self.flights[index].may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}
