//! What time and peers bring: repeated messages, statements of held slots, own shares.

use std::time::Duration;

use peridotdeck_wire::{Held, Holding, Strike};

use super::{Desk, KEEPALIVE, SHARERS, Statement};
use crate::{
    flight::{Asking, Flight, Outbox, Running, Scene, Stage, candidate::choose},
    id, rendezvous,
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

impl Desk {
    /// Learns of a request that crashed an endpoint elsewhere.
    pub fn strike(&mut self, strike: &Strike, now: id::Time) {
        if strike.cleared {
            self.poison.clear(strike.fingerprint);
        } else {
            self.poison
                .record_crash(strike.fingerprint, strike.endpoint, now);
            self.disprove(strike.endpoint);
        }
    }

    /// Sends what is due again, and tells owners what is held.
    pub fn tick(&mut self, scene: &mut Scene<'_>, out: &mut Outbox) {
        self.poison.expire(scene.now);
        self.proofs
            .retain(|proof| scene.now.saturating_sub(proof.last) < PROOF_AGE);
        for request in self.requests(|flight| !matches!(flight.stage, Stage::Parked)) {
            if let Ok(at) = self.find(request) {
                self.tick_flight(at, scene, out);
            }
        }
        self.send_settlements(scene.now, out);
        self.state_holdings(scene, out);
    }

    pub(super) fn tick_flight(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        match &self.flights[at].stage {
            Stage::Claiming => self.advance_claim(at, scene, out),
            Stage::Resting { until } if *until <= scene.now => self.ask(at, scene, out),
            Stage::Asking(_) => self.tick_ask(at, scene, out),
            _ => {}
        }
    }

    pub(super) fn tick_ask(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let Stage::Asking(asking) = &self.flights[at].stage else {
            return;
        };
        let owner = scene.owner(asking.pool);
        if owner != Some(asking.owner) {
            return self.ask(at, scene, out);
        }
        let silence = scene.now.saturating_sub(asking.sent);
        let due = if asking.queued { KEEPALIVE } else { ASK_AGAIN };
        if silence < due {
            return;
        }
        if asking.unanswered >= ASKS {
            return self.help_itself(at, scene, out);
        }
        self.send_ask(at, scene.now, out);
    }

    /// The owner does not answer: take the node's own small share of an endpoint proven warm, or
    /// try another data centre.
    pub(super) fn help_itself(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let Stage::Asking(asking) = self.flights[at].stage.clone() else {
            return;
        };
        let share = self.own_share(&asking, scene);
        if let Some(endpoint) = share {
            self.counts.direct += 1;
            let Asking { attempt, pool, .. } = asking;
            return self.run(
                at,
                Running {
                    attempt,
                    pool,
                    endpoint,
                    owner: None,
                },
                out,
            );
        }
        self.flights[at].refused.push(asking.pool);
        if choose(&self.flights[at], scene).is_some() {
            return self.ask(at, scene, out);
        }
        self.find_no_pool(at, scene, out);
    }

    /// An endpoint that this node ranks among the first for, so that few nodes share it.
    pub(super) fn own_share(&self, asking: &Asking, scene: &Scene<'_>) -> Option<id::Endpoint> {
        let pool = scene.snapshot.pool(asking.pool)?;
        let ranks = |endpoint: id::Endpoint| {
            let live = scene.view.live_nodes(&pool.place).iter().copied();
            let order =
                rendezvous::order(endpoint.into(), live.filter(|&node| node != asking.owner));
            order
                .iter()
                .take(SHARERS)
                .any(|&node| node == scene.view.local_node())
        };
        let usable = |number: &id::Endpoint| {
            let endpoint = scene.snapshot.endpoint(*number);
            let open = endpoint.is_some_and(|endpoint| scene.snapshot.is_open(endpoint));
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
    pub(super) fn state_holdings(&mut self, scene: &Scene<'_>, out: &mut Outbox) {
        for flight in &mut self.flights {
            let Stage::Running(running) = &mut flight.stage else {
                continue;
            };
            let Some(owner) = scene.owner(running.pool) else {
                continue;
            };
            if running.owner.is_some() {
                running.owner = Some(owner);
            }
            let key = (running.pool, owner);
            let until = scene.now + STATEMENT_TAIL;
            match self
                .statements
                .binary_search_by_key(&key, |each| (each.pool, each.owner))
            {
                Ok(at) => self.statements[at].until = until,
                Err(at) => {
                    let statement = Statement {
                        pool: key.0,
                        owner,
                        until,
                        due: scene.now,
                    };
                    self.statements.insert(at, statement);
                }
            }
        }
        self.statements.retain(|each| each.until > scene.now);
        for statement in &mut self.statements {
            if statement.due <= scene.now {
                statement.due = scene.now + STATEMENT;
                let held = held(&self.flights, statement.pool);
                let (pool, node) = (statement.pool, scene.view.local_node());
                out.tell(statement.owner, Holding { pool, node, held });
            }
        }
    }

    /// Returns the requests that a customer has in progress here.
    #[must_use]
    pub fn open(&self, organisation: &str) -> u32 {
        self.limits.in_progress(organisation)
    }

    /// Checks the counts that must agree.
    ///
    /// # Panics
    /// If they do not, which is a fault of this program.
    pub fn check(&self) {
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
