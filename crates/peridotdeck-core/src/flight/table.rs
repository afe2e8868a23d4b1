//! The table of a node's flights, with every transition between their stages.
//!
//! Each stage has a module with its transitions: [`reservation`] for idempotency keys,
//! [`slot_request`] for requests to pool owners, and [`attempt`] for runs at endpoints.
//! [`limits`] counts requests towards their organisations' limits. [`maintenance`] holds the periodic work, and [`prefix`] the quarantine of prompt prefixes.

mod attempt;
mod limits;
mod maintenance;
mod prefix;
mod reservation;
mod slot_request;

use std::time::Duration;

use peridotdeck_policy::{Pool, Snapshot};
use peridotdeck_wire::{Done, Outcome, Settle, Strike};

use super::{Context, Flight, Outbox, Stage};
use crate::{
    Action, claim,
    dispatch::crashes,
    id, limit,
    output_size::Estimator,
    quarantine,
    request::{Call, Cause, Refusal},
};

/// Interval at which a request in an owner's queue repeats its slot request. Refusals that may pass
/// soon also carry it as `retry_after`.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the nodes that may use one endpoint without its owner's grant, one request each.
const MAX_DIRECT_NODES: usize = 2;

/// Delay before a retry. It doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Counters of requests and attempts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that ended for any reason, refusals at admission included.
    pub ended: u64,
    /// Retries after a failed attempt.
    pub retries: u64,
    /// Attempts sent without an owner's grant.
    pub direct: u64,
}

/// Requests that an endpoint finished for this node since its last failure.
#[derive(Clone, Copy, Debug)]
struct Successes {
    endpoint: id::Endpoint,
    finished: u32,
    /// Time of the latest success.
    last: id::Time,
}

/// The end of a reservation, which is still being announced to the key's witnesses.
#[derive(Clone, Debug)]
struct Settlement {
    witnesses: Vec<id::Node>,
    settle: Settle,
    copies_sent: u32,
    next_send: id::Time,
}

/// Schedule of the reports to a pool's owner about the slots that this node holds.
#[derive(Clone, Debug)]
struct HoldingReport {
    pool: id::Pool,
    owner: id::Node,
    expires: id::Time,
    next_send: id::Time,
}

/// All flights, sorted by request id, with the limits and estimates that they share.
#[derive(Clone, Debug)]
pub struct Table {
    flights: Vec<Flight>,
    limits: limit::Table,
    /// In place of `limits`, where shares follow demand.
    shares: Option<limit::Shares>,
    retries: limit::RetryBudgets,
    output_sizes: Estimator,
    quarantine: quarantine::List,
    /// Prompt prefixes that crashes are attributed to.
    prefixes: crashes::List,
    settlements: Vec<Settlement>,
    holding_reports: Vec<HoldingReport>,
    successes: Vec<Successes>,
    attempt_ids: id::Generator,
    counts: Counts,
}

impl Table {
    /// Creates an empty table that takes the ids of attempts from `attempt_ids`.
    ///
    /// Organisations' limits follow demand if there are `shares`.
    #[must_use]
    pub fn new(attempt_ids: id::Generator, shares: Option<limit::Shares>) -> Self {
        Self {
            flights: Vec::new(),
            limits: limit::Table::default(),
            shares,
            retries: limit::RetryBudgets::default(),
            output_sizes: Estimator::default(),
            quarantine: quarantine::List::default(),
            prefixes: crashes::List::default(),
            settlements: Vec::new(),
            holding_reports: Vec::new(),
            successes: Vec::new(),
            attempt_ids,
            counts: Counts::default(),
        }
    }

    /// Returns the flights, sorted by request id.
    #[must_use]
    pub fn flights(&self) -> &[Flight] {
        &self.flights
    }

    /// Returns the counters of requests and attempts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether a draining node may stop: no flight and no settlement is left.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.flights.is_empty() && self.settlements.is_empty()
    }

    /// Returns the requests suspected of crashing endpoints.
    #[must_use]
    pub fn quarantine(&self) -> &quarantine::List {
        &self.quarantine
    }

    /// Admits or refuses a new request.
    ///
    /// A `suspended` request waits for [`Table::resume`].
    ///
    /// # Panics
    /// Panics if the table already holds the request, which is a bug.
    pub fn admit(
        &mut self,
        request: id::Request,
        call: Call,
        suspended: bool,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        self.counts.arrived += 1;
        let stage = match self.check_admission(&call, context) {
            Ok(stage) => stage,
            Err(refusal) => {
                self.counts.ended += 1;
                out.actions.push(Action::Refuse { request, refusal });
                return;
            }
        };
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
            "request {request} was admitted twice"
        );
        let mut flight = Flight::new(request, call, context.now);
        flight.stage = stage;
        let is_admitted = matches!(flight.stage, Stage::Suspended);
        self.flights.insert(index, flight);
        if is_admitted && !suspended {
            self.start(index, context, out);
        }
    }

    /// Returns the first stage of a request that is not refused.
    fn check_admission(&mut self, call: &Call, context: &Context<'_>) -> Result<Stage, Refusal> {
        let not_run = |cause, retry| Err(Refusal::not_run(cause, retry));
        let organisation = context.snapshot.organisation(&call.organisation);
        let known = context
            .snapshot
            .class(&call.class)
            .and(context.snapshot.service(&call.service));
        let (Some(organisation), Some(_)) = (organisation, known) else {
            return not_run(Cause::Unknown, None);
        };
        if self.quarantine.is_quarantined(call.fingerprint) || !self.may_send_prefix(call, context)
        {
            return not_run(Cause::Quarantined, None);
        }
        self.check_limits(organisation, context)
            .or_else(|wait| not_run(Cause::Limited, Some(wait)))
    }

    /// Reserves the idempotency key if the request has one, or else requests a slot.
    fn start(&mut self, index: usize, context: &mut Context<'_>, out: &mut Outbox) {
        let flight = &mut self.flights[index];
        if let (Some(claim), None) = (&flight.call.claim, &flight.reservation) {
            let witnesses = claim::choose_witnesses(&claim.key, context.view.members());
            if witnesses.is_empty() {
                let refusal = Refusal::not_run(Cause::NoWitness, Some(KEEPALIVE_INTERVAL));
                return self.refuse(index, refusal, out);
            }
            let roster = context.view.vm_list_revision();
            flight.reservation = Some(claim::Reservation::new(
                flight.request,
                claim,
                witnesses,
                roster,
                context.now,
            ));
            flight.stage = Stage::Claiming;
            return self.advance_reservation(index, context, out);
        }
        self.request_slot(index, context, out);
    }

    /// Continues all suspended requests.
    pub fn resume(&mut self, context: &mut Context<'_>, out: &mut Outbox) {
        for request in self.requests(|flight| matches!(flight.stage, Stage::Suspended)) {
            if let Ok(index) = self.find(request) {
                self.start(index, context, out);
            }
        }
    }

    /// Suspends requests that wait for a slot or a retry, after the process was paused.
    ///
    /// Grants that owners made during the pause are thereby returned unused.
    pub fn suspend(&mut self) {
        for flight in &mut self.flights {
            let reserved = flight.reservation.is_none() || !matches!(flight.stage, Stage::Claiming);
            if matches!(
                flight.stage,
                Stage::RequestingSlot(_) | Stage::BackingOff { .. }
            ) && reserved
            {
                flight.stage = Stage::Suspended;
            }
        }
    }

    /// Returns the ids of all requests that match, so that transitions may change the table.
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

    /// Returns the index of the flight whose current attempt is `attempt`.
    fn find_attempt(&self, attempt: id::Attempt) -> Option<usize> {
        self.flights
            .iter()
            .position(|flight| flight.attempt() == Some(attempt))
    }
}

/// Returns the message that reports the end of an attempt, without measurements.
fn done_message(
    attempt: id::Attempt,
    pool: id::Pool,
    endpoint: id::Endpoint,
    outcome: Outcome,
) -> Done {
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

/// Returns the pool of an endpoint, or 0 if no pool of the configuration has it.
fn find_pool(snapshot: &Snapshot, endpoint: id::Endpoint) -> id::Pool {
    let holds = |pool: &&Pool| pool.endpoints.binary_search(&endpoint).is_ok();
    snapshot
        .pools()
        .iter()
        .find(holds)
        .map_or(0, |pool| pool.id)
}

/// Sends a strike to all other live nodes.
fn broadcast_strike(strike: &Strike, context: &Context<'_>, out: &mut Outbox) {
    for member in context.view.members() {
        if member.node != context.view.local_node()
            && context.view.is_live(member.node, context.now)
        {
            out.send(member.node, strike.clone());
        }
    }
}
