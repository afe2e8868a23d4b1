//! All flights of a node and every transition that they make.
//!
//! The transitions stand in one module a stage: [`claiming`], [`asking`], [`running`]; [`upkeep`]
//! is what time and peers bring.

mod asking;
mod claiming;
mod running;
mod upkeep;

use std::time::Duration;

use peridotdeck_policy::{Pool, Snapshot};
use peridotdeck_wire::{Done, Outcome, Settle, Strike};

use super::{Flight, Outbox, Scene, Stage};
use crate::{
    Action, claim, id, limit,
    output_size::Estimator,
    quarantine,
    request::{Call, Cause, Refusal},
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
pub struct Desk {
    flights: Vec<Flight>,
    limits: limit::Table,
    retries: limit::RetryBudgets,
    sizes: Estimator,
    poison: quarantine::List,
    settlements: Vec<Settlement>,
    statements: Vec<Statement>,
    proofs: Vec<Proof>,
    attempts: id::Generator,
    counts: Counts,
}

impl Desk {
    /// Starts empty.
    #[must_use]
    pub fn new(attempts: id::Generator) -> Self {
        Self {
            flights: Vec::new(),
            limits: limit::Table::default(),
            retries: limit::RetryBudgets::default(),
            sizes: Estimator::default(),
            poison: quarantine::List::default(),
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
    pub fn poison(&self) -> &quarantine::List {
        &self.poison
    }

    /// Admits or refuses a new request; a parked one waits for [`Desk::resume`].
    ///
    /// # Panics
    /// If the request is known already, which is a fault of this program.
    pub fn arrive(
        &mut self,
        request: id::Request,
        call: Call,
        parked: bool,
        scene: &mut Scene<'_>,
        out: &mut Outbox,
    ) {
        self.counts.arrived += 1;
        if let Err(refusal) = self.admit(&call, scene) {
            self.counts.ended += 1;
            out.actions.push(Action::Refuse { request, refusal });
            return;
        }
        if let Some(class) = scene.snapshot.class(&call.class) {
            self.retries.earn(&call.class, class.retry_percent);
        }
        let at = self
            .flights
            .partition_point(|flight| flight.request < request);
        assert!(
            self.flights
                .get(at)
                .is_none_or(|flight| flight.request != request),
            "request {request} arrives twice"
        );
        self.flights
            .insert(at, Flight::new(request, call, scene.now));
        if !parked {
            self.start(at, scene, out);
        }
    }

    fn admit(&mut self, call: &Call, scene: &Scene<'_>) -> Result<(), Refusal> {
        let not_run = |cause, retry| Err(Refusal::not_run(cause, retry));
        let organisation = scene.snapshot.organisation(&call.organisation);
        let known = scene
            .snapshot
            .class(&call.class)
            .and(scene.snapshot.service(&call.service));
        let (Some(organisation), Some(_)) = (organisation, known) else {
            return not_run(Cause::Unknown, None);
        };
        if self.poison.is_quarantined(call.fingerprint) {
            return not_run(Cause::Quarantined, None);
        }
        let share = limit::Share::of(organisation, scene.view.live_count());
        match self.limits.admit(&call.organisation, share, scene.now) {
            Ok(()) => Ok(()),
            Err(wait) => not_run(Cause::Limited, Some(wait)),
        }
    }

    fn start(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        if let (Some(claim), None) = (&flight.call.claim, &flight.round) {
            let witnesses = claim::witnesses(&claim.key, scene.view.members());
            if witnesses.is_empty() {
                let refusal = Refusal::not_run(Cause::NoWitness, Some(KEEPALIVE));
                return self.refuse(at, refusal, out);
            }
            let roster = scene.view.vm_list_revision();
            flight.round = Some(claim::Round::new(
                flight.request,
                claim,
                witnesses,
                roster,
                scene.now,
            ));
            flight.stage = Stage::Claiming;
            return self.advance_claim(at, scene, out);
        }
        self.ask(at, scene, out);
    }

    /// Lets parked requests go on.
    pub fn resume(&mut self, scene: &mut Scene<'_>, out: &mut Outbox) {
        for request in self.requests(|flight| matches!(flight.stage, Stage::Parked)) {
            if let Ok(at) = self.find(request) {
                self.start(at, scene, out);
            }
        }
    }

    /// Withdraws every ask after a pause: grants that were made meanwhile are not used.
    pub fn park(&mut self) {
        for flight in &mut self.flights {
            let won = flight.round.is_none() || !matches!(flight.stage, Stage::Claiming);
            if matches!(flight.stage, Stage::Asking(_) | Stage::Resting { .. }) && won {
                flight.stage = Stage::Parked;
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

fn broadcast(strike: &Strike, scene: &Scene<'_>, out: &mut Outbox) {
    for member in scene.view.members() {
        if member.node != scene.view.local_node() && scene.view.is_live(member.node, scene.now) {
            out.tell(member.node, strike.clone());
        }
    }
}
