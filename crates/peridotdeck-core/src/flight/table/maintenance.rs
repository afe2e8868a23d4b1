//! What time and peers bring: repeated messages, statements of held slots, own shares.

use std::time::Duration;

use peridotdeck_wire::{Held, Holding, Strike};

use super::{KEEPALIVE, SHARERS, Statement, Table};
use crate::{
    flight::{Context, Flight, Outbox, Running, SlotRequest, Stage, candidate::choose_pool},
    id, rank,
};

/// Time after which an unanswered ask is sent again.
const ASK_AGAIN: Duration = Duration::from_millis(150);

/// Asks without answer after which the node helps itself to its small share.
const ASKS: u32 = 2;

/// Time between two full statements of held slots.
const STATEMENT: Duration = Duration::from_secs(2);

/// Time for which statements go on after the last slot of a pool is returned.
const STATEMENT_TAIL: Duration = Duration::from_secs(8);

/// Age of a success that still proves an endpoint warm.
const PROOF_AGE: Duration = Duration::from_secs(10);

impl Table {
    /// Learns of a request that crashed an endpoint elsewhere.
    pub fn record_crash(&mut self, strike: &Strike, now: id::Time) {
        if strike.cleared {
            self.quarantine.clear(strike.fingerprint);
        } else {
            self.quarantine
                .strike(strike.fingerprint, strike.endpoint, now);
            self.disprove(strike.endpoint);
        }
    }

    /// Sends what is due again, and tells owners what is held.
    pub fn tick(&mut self, context: &mut Context<'_>, out: &mut Outbox) {
        self.quarantine.expire(context.now);
        self.proofs
            .retain(|proof| context.now.saturating_sub(proof.last) < PROOF_AGE);
        for request in self.requests(|flight| !matches!(flight.stage, Stage::Suspended)) {
            if let Ok(index) = self.find(request) {
                self.tick_flight(index, context, out);
            }
        }
        self.send_settlements(context.now, out);
        self.state_holdings(context, out);
    }

    pub(super) fn tick_flight(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        match &self.flights[index].stage {
            Stage::Claiming => self.advance_claim(index, context, out),
            Stage::BackingOff { until } if *until <= context.now => self.ask(index, context, out),
            Stage::RequestingSlot(_) => self.tick_ask(index, context, out),
            _ => {}
        }
    }

    pub(super) fn tick_ask(&mut self, index: usize, context: &mut Context<'_>, out: &mut Outbox) {
        let Stage::RequestingSlot(slot_request) = &self.flights[index].stage else {
            return;
        };
        let owner = context.owner(slot_request.pool);
        if owner != Some(slot_request.owner) {
            return self.ask(index, context, out);
        }
        let silence = context.now.saturating_sub(slot_request.sent);
        let due = if slot_request.queued {
            KEEPALIVE
        } else {
            ASK_AGAIN
        };
        if silence < due {
            return;
        }
        if slot_request.unanswered >= ASKS {
            return self.help_itself(index, context, out);
        }
        self.send_ask(index, context.now, out);
    }

    /// The owner does not answer: take the node's own small share of an endpoint proven warm, or
    /// try another data centre.
    pub(super) fn help_itself(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Stage::RequestingSlot(slot_request) = self.flights[index].stage.clone() else {
            return;
        };
        let share = self.own_share(&slot_request, context);
        if let Some(endpoint) = share {
            self.counts.direct += 1;
            let SlotRequest { attempt, pool, .. } = slot_request;
            return self.run(
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
            return self.ask(index, context, out);
        }
        self.find_no_pool(index, context, out);
    }

    /// An endpoint that this node ranks among the first for, so that few nodes share it.
    pub(super) fn own_share(
        &self,
        slot_request: &SlotRequest,
        context: &Context<'_>,
    ) -> Option<id::Endpoint> {
        let pool = context.snapshot.pool(slot_request.pool)?;
        let ranks = |endpoint: id::Endpoint| {
            let live = context.view.live(&pool.place).iter().copied();
            let order = rank::order(
                endpoint.into(),
                live.filter(|&node| node != slot_request.owner),
            );
            order
                .iter()
                .take(SHARERS)
                .any(|&node| node == context.view.me())
        };
        let usable = |number: &id::Endpoint| {
            let endpoint = context.snapshot.endpoint(*number);
            let open = endpoint.is_some_and(|endpoint| context.snapshot.is_open(endpoint));
            open && ranks(*number) && self.is_proven(*number) && !self.uses_directly(*number)
        };
        pool.endpoints.iter().copied().find(usable)
    }

    /// An owner gives a cold endpoint one slot for every two finished requests, although it bears
    /// one for each; so after this many there is room for the nodes that help themselves.
    pub(super) fn is_proven(&self, endpoint: id::Endpoint) -> bool {
        let enough = 2 * SHARERS as u32;
        self.proofs
            .iter()
            .any(|proof| proof.endpoint == endpoint && proof.finished >= enough)
    }

    pub(super) fn uses_directly(&self, endpoint: id::Endpoint) -> bool {
        self.flights.iter().any(|flight| {
            matches!(&flight.stage, Stage::Running(running)
                if running.endpoint == endpoint && running.owner.is_none())
        })
    }

    /// Tells each owner the whole list of slots that this node holds of its pool: a new owner
    /// learns of them, and a lost message does not leak a slot.
    pub(super) fn state_holdings(&mut self, context: &Context<'_>, out: &mut Outbox) {
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
            let until = context.now + STATEMENT_TAIL;
            match self
                .statements
                .binary_search_by_key(&key, |each| (each.pool, each.owner))
            {
                Ok(index) => self.statements[index].until = until,
                Err(index) => {
                    let statement = Statement {
                        pool: key.0,
                        owner,
                        until,
                        due: context.now,
                    };
                    self.statements.insert(index, statement);
                }
            }
        }
        self.statements.retain(|each| each.until > context.now);
        for statement in &mut self.statements {
            if statement.due <= context.now {
                statement.due = context.now + STATEMENT;
                let held = held(&self.flights, statement.pool);
                let (pool, node) = (statement.pool, context.view.me());
                out.send(statement.owner, Holding { pool, node, held });
            }
        }
    }

    /// Returns the requests that a customer has in progress here.
    #[must_use]
    pub fn open_requests(&self, organisation: &str) -> u32 {
        self.limits.open(organisation)
    }

    /// Checks the counts that must agree.
    ///
    /// # Panics
    /// If they do not, which is a fault of this program.
    pub fn check_invariants(&self) {
        assert_eq!(
            self.counts.arrived,
            self.counts.ended + self.flights.len() as u64,
            "each request ends exactly once"
        );
    }
}

fn held(flights: &[Flight], pool: id::Pool) -> Vec<Held> {
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
