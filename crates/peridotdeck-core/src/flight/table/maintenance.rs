//! Periodic work: resent messages, reports of held slots, and attempts without an owner's grant.

use std::time::Duration;

use peridotdeck_wire::{Held, Holding, Strike};

use super::{HoldingReport, KEEPALIVE_INTERVAL, MAX_DIRECT_NODES, Table};
use crate::{
    flight::{Context, Flight, Outbox, Running, SlotRequest, Stage, candidate::choose_pool},
    id,
    node::RETRY_AFTER,
    rendezvous,
    request::{Cause, Refusal},
};

/// Time after which an unanswered slot request is sent again.
const SLOT_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Unanswered slot requests after which the node stops waiting for the owner.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// Interval between two full reports of held slots to an owner.
const HOLDING_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which reports to an owner continue after the last slot of its pool is returned.
const HOLDING_TAIL: Duration = Duration::from_secs(8);

/// Age of the latest success up to which an endpoint counts as warm.
const MAX_SUCCESS_AGE: Duration = Duration::from_secs(10);

impl Table {
    /// Records a crash that a peer attributes to a request, or clears the request of suspicion.
    pub fn record_crash(&mut self, strike: &Strike, now: id::Time) {
        if strike.is_prefix {
            self.receive_prefix(strike, now);
        } else if strike.cleared {
            self.quarantine.clear(strike.fingerprint);
        } else {
            self.quarantine
                .record_crash(strike.fingerprint, strike.endpoint, now);
            self.clear_successes(strike.endpoint);
        }
    }

    /// Advances every flight, resends due messages and reports held slots to owners.
    pub fn tick(&mut self, context: &mut Context<'_>, out: &mut Outbox) {
        self.tick_limits(context, out);
        self.quarantine.expire(context.now);
        self.prefixes.expire(context.now);
        self.successes
            .retain(|record| context.now.saturating_sub(record.last) < MAX_SUCCESS_AGE);
        for request in self.requests(|flight| !matches!(flight.stage, Stage::Suspended)) {
            if let Ok(index) = self.find(request) {
                self.tick_flight(index, context, out);
            }
        }
        self.send_settlements(context.now, out);
        self.send_holdings(context, out);
    }

    /// Refuses all requests, because the node ends.
    pub fn cut(&mut self, now: id::Time, out: &mut Outbox) {
        for request in self.requests(|_| true) {
            let Ok(index) = self.find(request) else {
                continue;
            };
            let flight = &self.flights[index];
            let may_have_run = flight.may_have_run || matches!(flight.stage, Stage::Running(_));
            let refusal = if may_have_run {
                Refusal::may_have_run(Cause::Leaving)
            } else {
                Refusal::not_run(Cause::Leaving, Some(RETRY_AFTER))
            };
            self.settle_and_refuse(index, refusal, now, out);
        }
    }

    /// Advances one flight whose stage depends on time.
    pub(super) fn tick_flight(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        match &self.flights[index].stage {
            Stage::AwaitingLoan { until } => self.retry_limits(index, *until, context, out),
            Stage::Claiming => self.advance_reservation(index, context, out),
            Stage::BackingOff { until } if *until <= context.now => {
                self.request_slot(index, context, out);
            }
            Stage::RequestingSlot(_) => self.tick_slot_request(index, context, out),
            _ => {}
        }
    }

    /// Moves the request to the pool's new owner, resends it, or gives up on a silent owner.
    pub(super) fn tick_slot_request(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Stage::RequestingSlot(slot_request) = &self.flights[index].stage else {
            return;
        };
        let owner = context.owner(slot_request.pool);
        if owner != Some(slot_request.owner) {
            return self.request_slot(index, context, out);
        }
        let elapsed = context.now.saturating_sub(slot_request.sent);
        let timeout = if slot_request.queued {
            KEEPALIVE_INTERVAL
        } else {
            SLOT_REQUEST_TIMEOUT
        };
        if elapsed < timeout {
            return;
        }
        if slot_request.unanswered >= MAX_UNANSWERED_REQUESTS {
            return self.bypass_owner(index, context, out);
        }
        self.send_slot_request(index, context.now, out);
    }

    /// Handles an owner that does not answer.
    ///
    /// The attempt runs without a grant in this node's small share of a warm endpoint. Without such
    /// an endpoint, the request goes to another pool.
    pub(super) fn bypass_owner(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Stage::RequestingSlot(slot_request) = self.flights[index].stage.clone() else {
            return;
        };
        let direct = self.find_direct_endpoint(&slot_request, context);
        if let Some(endpoint) = direct {
            self.counts.direct += 1;
            let SlotRequest { attempt, pool, .. } = slot_request;
            return self.dispatch(
                index,
                Running {
                    attempt,
                    pool,
                    endpoint,
                    owner: None,
                },
                out,
            );
        }
        self.flights[index].refused_by.push(slot_request.pool);
        if choose_pool(&self.flights[index], context).is_some() {
            return self.request_slot(index, context, out);
        }
        self.handle_no_pool(index, context, out);
    }

    /// Returns a warm endpoint that this node may use without a grant.
    ///
    /// Only the first [`MAX_DIRECT_NODES`] nodes in the endpoint's rendezvous order may use it, so
    /// that few nodes share it.
    pub(super) fn find_direct_endpoint(
        &self,
        slot_request: &SlotRequest,
        context: &Context<'_>,
    ) -> Option<id::Endpoint> {
        let pool = context.snapshot.pool(slot_request.pool)?;
        let ranks_first = |endpoint: id::Endpoint| {
            let live = context.view.live_nodes(&pool.place).iter().copied();
            let order = rendezvous::order(
                endpoint.into(),
                live.filter(|&node| node != slot_request.owner),
            );
            order
                .iter()
                .take(MAX_DIRECT_NODES)
                .any(|&node| node == context.view.local_node())
        };
        let usable = |id: &id::Endpoint| {
            let endpoint = context.snapshot.endpoint(*id);
            let open = endpoint.is_some_and(|endpoint| context.snapshot.is_open(endpoint));
            open && ranks_first(*id) && self.is_warm(*id) && !self.has_direct_attempt(*id)
        };
        pool.endpoints.iter().copied().find(usable)
    }

    /// Returns whether an endpoint is warm enough for attempts without a grant.
    ///
    /// A cold endpoint can take one more request for each that it finished, but its owner grants a
    /// slot only for every two. After twice [`MAX_DIRECT_NODES`] successes, the difference leaves
    /// room for the nodes that run there without a grant.
    pub(super) fn is_warm(&self, endpoint: id::Endpoint) -> bool {
        let required = 2 * MAX_DIRECT_NODES as u32;
        self.successes
            .iter()
            .any(|record| record.endpoint == endpoint && record.finished >= required)
    }

    /// Returns whether this node already runs an attempt there without a grant.
    pub(super) fn has_direct_attempt(&self, endpoint: id::Endpoint) -> bool {
        self.flights.iter().any(|flight| {
            matches!(&flight.stage, Stage::Running(running)
                if running.endpoint == endpoint && running.owner.is_none())
        })
    }

    /// Reports to each pool's owner all slots of the pool that this node holds.
    ///
    /// The full list informs a new owner, and keeps a lost message from leaking a slot.
    pub(super) fn send_holdings(&mut self, context: &Context<'_>, out: &mut Outbox) {
        for flight in &mut self.flights {
            let Stage::Running(running) = &mut flight.stage else {
                continue;
            };
            let Some(owner) = context.owner(running.pool) else {
                continue;
            };
            if running.owner.is_some() {
                running.owner = Some(owner);
            }
            let key = (running.pool, owner);
            let expires = context.now + HOLDING_TAIL;
            match self
                .holding_reports
                .binary_search_by_key(&key, |report| (report.pool, report.owner))
            {
                Ok(index) => self.holding_reports[index].expires = expires,
                Err(index) => {
                    let report = HoldingReport {
                        pool: key.0,
                        owner,
                        expires,
                        next_send: context.now,
                    };
                    self.holding_reports.insert(index, report);
                }
            }
        }
        self.holding_reports
            .retain(|report| report.expires > context.now);
        for report in &mut self.holding_reports {
            if report.next_send <= context.now {
                report.next_send = context.now + HOLDING_INTERVAL;
                let held = held_slots(&self.flights, report.pool);
                let (pool, node) = (report.pool, context.view.local_node());
                out.send(report.owner, Holding { pool, node, held });
            }
        }
    }

    /// Checks that every admitted request is either in the table or has ended once.
    ///
    /// # Panics
    /// Panics if the counters disagree, which is a bug.
    pub fn check_invariants(&self) {
        assert_eq!(
            self.counts.arrived,
            self.counts.ended + self.flights.len() as u64,
            "each request ends exactly once"
        );
    }
}

/// Returns the slots of a pool in which flights run.
fn held_slots(flights: &[Flight], pool: id::Pool) -> Vec<Held> {
    let running = flights.iter().filter_map(|flight| match &flight.stage {
        Stage::Running(running) if running.pool == pool => Some((flight, running)),
        _ => None,
    });
    running
        .map(|(flight, running)| Held {
            attempt: running.attempt,
            endpoint: running.endpoint,
            class: flight.call.class.clone(),
            fingerprint: flight.call.fingerprint,
        })
        .collect()
}
