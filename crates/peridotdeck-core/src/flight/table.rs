//! All flights of a node and every transition that they make.
//!
//! The transitions stand in one module a stage: [`claiming`], [`asking`], [`running`]; [`upkeep`]
//! is what time and peers bring.

mod attempt;
mod maintenance;
mod reservation;
mod slot_request;

use std::time::Duration;

use peridotdeck_policy::{Pool, Snapshot};
use peridotdeck_wire::{Done, Outcome, Settle, Strike};

use super::{Context, Flight, Outbox, Stage};
use crate::{
    Action, claim, id, limit, poison,
    request::{Call, Cause, Refusal},
    size::Estimate,
};

/// Time between two asks of a request that waits at its owner.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Nodes that may use one endpoint without its owner's grant, one request each.
const SHARERS: usize = 2;

/// First rest before another try; it doubles with each failure.
const REST: Duration = Duration::from_millis(100);

/// Counts that prove the promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that ended, by any end.
    pub ended: u64,
    /// Attempts repeated after a failure.
    pub retries: u64,
    /// Attempts sent without an owner's grant.
    pub direct: u64,
}

/// Requests that an endpoint has finished for this node since it last failed.
#[derive(Clone, Copy, Debug)]
struct Proof {
    endpoint: id::Endpoint,
    finished: u32,
    last: id::Time,
}

#[derive(Clone, Debug)]
struct Settlement {
    witnesses: Vec<id::Node>,
    settle: Settle,
    copies: u32,
    due: id::Time,
}

#[derive(Clone, Debug)]
struct Statement {
    pool: id::Pool,
    owner: id::Node,
    until: id::Time,
    due: id::Time,
}

/// Flights, sorted by request, with the limits and estimates that they share.
#[derive(Clone, Debug)]
pub struct Table {
    flights: Vec<Flight>,
    limits: limit::Table,
    retries: limit::Retries,
    sizes: Estimate,
    quarantine: poison::List,
    settlements: Vec<Settlement>,
    statements: Vec<Statement>,
    proofs: Vec<Proof>,
    attempts: id::Counter,
    counts: Counts,
}

impl Table {
    /// Starts empty.
    #[must_use]
    pub fn new(attempts: id::Counter) -> Self {
        Self {
            flights: Vec::new(),
            limits: limit::Table::default(),
            retries: limit::Retries::default(),
            sizes: Estimate::default(),
            quarantine: poison::List::default(),
            settlements: Vec::new(),
            statements: Vec::new(),
            proofs: Vec::new(),
            attempts,
            counts: Counts::default(),
        }
    }

    /// Returns the flights.
    #[must_use]
    pub fn flights(&self) -> &[Flight] {
        &self.flights
    }

    /// Returns the counts that prove the promises.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether nothing is left to do for a planned leave.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.flights.is_empty() && self.settlements.is_empty()
    }

    /// Returns the requests that crash endpoints.
    #[must_use]
    pub fn quarantine(&self) -> &poison::List {
        &self.quarantine
    }

    /// Admits or refuses a new request; a parked one waits for [`Table::resume`].
    ///
    /// # Panics
    /// If the request is known already, which is a fault of this program.
    pub fn admit(
        &mut self,
        request: id::Request,
        call: Call,
        suspended: bool,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        self.counts.arrived += 1;
        if let Err(refusal) = self.check_admission(&call, context) {
            self.counts.ended += 1;
            out.actions.push(Action::Refuse { request, refusal });
            return;
        }
        if let Some(class) = context.snapshot.class(&call.class) {
            self.retries.earn(&call.class, class.retry_percent);
        }
        let index = self
            .flights
            .partition_point(|flight| flight.request < request);
        assert!(
            self.flights
                .get(index)
                .is_none_or(|flight| flight.request != request),
            "request {request} arrives twice"
        );
        self.flights
            .insert(index, Flight::new(request, call, context.now));
        if !suspended {
            self.start(index, context, out);
        }
    }

    fn check_admission(&mut self, call: &Call, context: &Context<'_>) -> Result<(), Refusal> {
        let not_run = |cause, retry| Err(Refusal::not_run(cause, retry));
        let organisation = context.snapshot.organisation(&call.organisation);
        let known = context
            .snapshot
            .class(&call.class)
            .and(context.snapshot.service(&call.service));
        let (Some(organisation), Some(_)) = (organisation, known) else {
            return not_run(Cause::Unknown, None);
        };
        if self.quarantine.is_quarantined(call.fingerprint) {
            return not_run(Cause::Quarantined, None);
        }
        let share = limit::Share::of(organisation, context.view.live_count());
        match self.limits.admit(&call.organisation, share, context.now) {
            Ok(()) => Ok(()),
            Err(wait) => not_run(Cause::Limited, Some(wait)),
        }
    }

    fn start(&mut self, index: usize, context: &mut Context<'_>, out: &mut Outbox) {
        let flight = &mut self.flights[index];
        if let (Some(claim), None) = (&flight.call.claim, &flight.reservation) {
            let witnesses = claim::choose_witnesses(&claim.key, context.view.members());
            if witnesses.is_empty() {
                let refusal = Refusal::not_run(Cause::NoWitness, Some(KEEPALIVE));
                return self.refuse(index, refusal, out);
            }
            let roster = context.view.roster();
            flight.reservation = Some(claim::Reservation::new(
                flight.request,
                claim,
                witnesses,
                roster,
                context.now,
            ));
            flight.stage = Stage::Claiming;
            return self.advance_claim(index, context, out);
        }
        self.ask(index, context, out);
    }

    /// Lets parked requests go on.
    pub fn resume(&mut self, context: &mut Context<'_>, out: &mut Outbox) {
        for request in self.requests(|flight| matches!(flight.stage, Stage::Suspended)) {
            if let Ok(index) = self.find(request) {
                self.start(index, context, out);
            }
        }
    }

    /// Withdraws every ask after a pause: grants that were made meanwhile are not used.
    pub fn suspend(&mut self) {
        for flight in &mut self.flights {
            let won = flight.reservation.is_none() || !matches!(flight.stage, Stage::Claiming);
            if matches!(
                flight.stage,
                Stage::RequestingSlot(_) | Stage::BackingOff { .. }
            ) && won
            {
                flight.stage = Stage::Suspended;
            }
        }
    }

    fn requests(&self, matches: impl Fn(&Flight) -> bool) -> Vec<id::Request> {
        self.flights
            .iter()
            .filter(|flight| matches(flight))
            .map(|flight| flight.request)
            .collect()
    }

    fn find(&self, request: id::Request) -> Result<usize, usize> {
        self.flights
            .binary_search_by_key(&request, |flight| flight.request)
    }

    fn find_attempt(&self, attempt: id::Attempt) -> Option<usize> {
        self.flights
            .iter()
            .position(|flight| flight.attempt() == Some(attempt))
    }
}

fn done(attempt: id::Attempt, pool: id::Pool, endpoint: id::Endpoint, outcome: Outcome) -> Done {
    Done {
        attempt,
        pool,
        endpoint,
        outcome,
        tokens: 0,
        first_ms: 0,
        gap_us: 0,
    }
}

fn pool_of(snapshot: &Snapshot, endpoint: id::Endpoint) -> id::Pool {
    let holds = |pool: &&Pool| pool.endpoints.binary_search(&endpoint).is_ok();
    snapshot
        .pools()
        .iter()
        .find(holds)
        .map_or(0, |pool| pool.id)
}

fn broadcast(strike: &Strike, context: &Context<'_>, out: &mut Outbox) {
    for member in context.view.members() {
        if member.node != context.view.me() && context.view.is_live(member.node, context.now) {
            out.send(member.node, strike.clone());
        }
    }
}
