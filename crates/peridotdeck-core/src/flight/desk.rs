//! All flights of a node and every transition that they make.

use std::{sync::Arc, time::Duration};

use peridotdeck_policy::{Class, Pool, Snapshot};
use peridotdeck_wire::{
    Answer, Ask, Body, Deny, Done, Held, Holding, Outcome, Phase, Reason, Settle, Strike,
};
use rand::{Rng, rngs::SmallRng};

use super::{Asking, Flight, Running, Stage};
use crate::{
    Action, Verdict, claim,
    event::End,
    id, limit,
    member::View,
    poison::{self, QUARANTINE_STRIKES},
    pool::patience,
    rank,
    request::{Call, Cause, Refusal},
    size::Estimate,
};

/// Time after which an unanswered ask is sent again.
const ASK_AGAIN: Duration = Duration::from_millis(150);

/// Asks without answer after which the node helps itself to its small share.
const ASKS: u32 = 2;

/// Time between two asks of a request that waits at its owner.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Time between two full statements of held slots.
const STATEMENT: Duration = Duration::from_secs(2);

/// Time for which statements go on after the last slot of a pool is returned.
const STATEMENT_TAIL: Duration = Duration::from_secs(8);

/// Age of a success that still proves an endpoint warm.
const PROOF_AGE: Duration = Duration::from_secs(10);

/// Nodes that may use one endpoint without its owner's grant, one request each.
const SHARERS: usize = 2;

/// First rest before another try; it doubles with each failure.
const REST: Duration = Duration::from_millis(100);

/// Longest rest before another try.
const MAX_REST: Duration = Duration::from_secs(5);

/// Failed attempts after which an interactive request is given up.
const MAX_FAILURES: u32 = 4;

/// Expected wait in milliseconds of a pool in the own region that is not the nearest.
const REGION_PATH_MS: u64 = 2;

/// Expected extra delay in milliseconds of a pool in another region.
const REMOTE_PATH_MS: u64 = 40;

/// Copies of a settlement that are sent, because datagrams get lost.
const SETTLE_COPIES: u32 = 3;

/// Time between two copies of a settlement.
const SETTLE_AGAIN: Duration = Duration::from_millis(300);

/// What a transition looks at besides the flights.
#[derive(Debug)]
pub struct Scene<'a> {
    /// Time of the event.
    pub now: id::Time,
    /// Peers and owners.
    pub view: &'a View,
    /// Configuration in force.
    pub snapshot: &'a Arc<Snapshot>,
    /// Seeded random numbers.
    pub rng: &'a mut SmallRng,
}

/// What transitions produce.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Requests to the shell.
    pub actions: Vec<Action>,
    /// Messages to nodes, this one included.
    pub letters: Vec<(id::Node, Body)>,
}

impl Outbox {
    /// Adds a message.
    pub fn tell(&mut self, node: id::Node, body: impl Into<Body>) {
        self.letters.push((node, body.into()));
    }
}

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
    retries: limit::Retries,
    sizes: Estimate,
    poison: poison::List,
    settlements: Vec<Settlement>,
    statements: Vec<Statement>,
    proofs: Vec<Proof>,
    attempts: id::Counter,
    counts: Counts,
}

impl Desk {
    /// Starts empty.
    #[must_use]
    pub fn new(attempts: id::Counter) -> Self {
        Self {
            flights: Vec::new(),
            limits: limit::Table::default(),
            retries: limit::Retries::default(),
            sizes: Estimate::default(),
            poison: poison::List::default(),
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
    pub fn poison(&self) -> &poison::List {
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
            let roster = scene.view.roster();
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

    // Reservation of idempotency keys.

    /// Takes a witness's vote.
    pub fn vote(
        &mut self,
        witness: id::Node,
        request: id::Request,
        answer: Answer,
        scene: &mut Scene<'_>,
        out: &mut Outbox,
    ) {
        let Ok(at) = self.find(request) else { return };
        let flight = &mut self.flights[at];
        if !matches!(flight.stage, Stage::Claiming) {
            return;
        }
        if let Some(round) = &mut flight.round {
            round.vote(witness, answer);
        }
        self.advance_claim(at, scene, out);
    }

    fn advance_claim(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        let (Some(round), Some(claim)) = (&mut flight.round, &flight.call.claim) else {
            return;
        };
        if round.roster() != scene.view.roster() {
            round.move_to(
                claim::witnesses(&claim.key, scene.view.members()),
                scene.view.roster(),
            );
        }
        let reachable = round
            .witnesses()
            .iter()
            .filter(|&&node| scene.view.is_live(node, scene.now));
        let hopeless = reachable.count() <= round.witnesses().len() / 2;
        match round.state(scene.now, hopeless) {
            claim::State::Open => {
                if let Some((witnesses, claim)) = round.send(scene.now) {
                    for witness in witnesses {
                        out.tell(witness, claim.clone());
                    }
                }
            }
            claim::State::Won => self.ask(at, scene, out),
            claim::State::Ended(entry) if !entry.answer.is_empty() => {
                let request = flight.request;
                out.actions.push(Action::Replay {
                    request,
                    status: entry.status,
                    body: entry.answer,
                });
                self.end(at);
            }
            claim::State::Ended(entry) => {
                let (verdict, cause) = match entry.phase {
                    Phase::Ran => (Verdict::Ran, Cause::AlreadyRan),
                    _ => (Verdict::MayHaveRun, Cause::MayHaveRun),
                };
                self.refuse(
                    at,
                    Refusal {
                        verdict,
                        cause,
                        retry_after: None,
                    },
                    out,
                );
            }
            claim::State::Reused => self.refuse(at, Refusal::not_run(Cause::KeyReused, None), out),
            claim::State::Lost { taken: true } => {
                self.give_up_claim(at, scene.now);
                self.refuse(at, Refusal::may_have_run(Cause::MayHaveRun), out);
            }
            claim::State::Lost { taken: false } => {
                self.give_up_claim(at, scene.now);
                let refusal = Refusal::not_run(Cause::NoWitness, Some(KEEPALIVE));
                self.refuse(at, refusal, out);
            }
        }
    }

    fn give_up_claim(&mut self, at: usize, now: id::Time) {
        self.settle(at, Phase::NotRun, None, now);
    }

    fn settle(&mut self, at: usize, phase: Phase, answer: Option<(u16, String)>, now: id::Time) {
        if let Some(round) = &self.flights[at].round {
            self.settlements.push(Settlement {
                witnesses: round.witnesses().to_vec(),
                settle: Settle {
                    entry: round.settle(phase, answer, now),
                },
                copies: 0,
                due: now,
            });
        }
    }

    fn send_settlements(&mut self, now: id::Time, out: &mut Outbox) {
        for settlement in &mut self.settlements {
            if settlement.due <= now {
                settlement.copies += 1;
                settlement.due = now + SETTLE_AGAIN;
                for &witness in &settlement.witnesses {
                    out.tell(witness, settlement.settle.clone());
                }
            }
        }
        self.settlements
            .retain(|settlement| settlement.copies < SETTLE_COPIES);
    }

    // Asking for a slot.

    fn ask(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
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

    fn send_ask(&mut self, at: usize, now: id::Time, out: &mut Outbox) {
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
                .tokens(&call.class, &call.organisation, call.max_tokens),
            prompt: call.prompt,
            prefix: call.prefix,
            fingerprint: call.fingerprint,
            strikes: self.poison.strikes(call.fingerprint) as u8,
            waited_ms: waited.as_millis() as u32,
            avoid: flight.avoid.clone(),
        };
        out.tell(asking.owner, ask);
    }

    /// No pool may take the request now. Bulk waits; interactive work waits as long as its class
    /// allows, because an endpoint may come back.
    fn find_no_pool(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        let class = scene.snapshot.class(&flight.call.class);
        let waits =
            class.is_some_and(|class| class.bulk || flight.waited(scene.now) < patience(class));
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

    fn rest(&mut self, at: usize, shortest: Duration, scene: &mut Scene<'_>) {
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

    fn run(&mut self, at: usize, running: Running, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        assert!(
            flight.call.repeatable || !flight.may_have_run,
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

    fn verdict(&self, at: usize) -> Verdict {
        if self.flights[at].may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    // Running.

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

    fn return_slot(running: &Running, end: &End, scene: &Scene<'_>, out: &mut Outbox) {
        let report = Done {
            tokens: end.tokens,
            first_ms: end.first.map_or(0, |first| first.as_millis().max(1) as u32),
            gap_us: end.gap().map_or(0, |gap| gap.as_micros() as u32),
            ..done(running.attempt, running.pool, running.endpoint, end.outcome)
        };
        let current = scene
            .snapshot
            .pool(running.pool)
            .and_then(|pool| scene.view.owner(pool));
        if let Some(owner) = running.owner {
            out.tell(owner, report.clone());
        }
        if let Some(owner) = current
            && running.owner != current
        {
            out.tell(owner, report);
        }
    }

    fn finish(
        &mut self,
        at: usize,
        endpoint: id::Endpoint,
        end: End,
        scene: &Scene<'_>,
        out: &mut Outbox,
    ) {
        let flight = &self.flights[at];
        let (call, total) = (&flight.call, flight.delivered);
        self.sizes.learn(&call.class, &call.organisation, total);
        if self.poison.strikes(call.fingerprint) > 0 {
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

    fn prove(&mut self, endpoint: id::Endpoint, now: id::Time) {
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

    fn disprove(&mut self, endpoint: id::Endpoint) {
        self.proofs.retain(|proof| proof.endpoint != endpoint);
    }

    fn cancel(&mut self, at: usize, now: id::Time) {
        if self.flights[at].round.is_some() {
            self.settle(at, Phase::MayHaveRun, None, now);
        }
        self.end(at);
    }

    /// The endpoint provably did not run the attempt, so any request may try again.
    fn retry(
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
    fn may_retry(&mut self, at: usize, class: Option<&Class>) -> bool {
        let flight = &self.flights[at];
        let bulk = class.is_some_and(|class| class.bulk);
        bulk || (flight.failures <= MAX_FAILURES && self.retries.spend(&flight.call.class))
    }

    /// The attempt may have run: repeatable work goes on elsewhere, the rest is told so.
    fn fail(
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
            && self.poison.strike(fingerprint, running.endpoint, scene.now)
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
        let quarantined = self.poison.strikes(fingerprint) >= QUARANTINE_STRIKES;
        let continues = flight.delivered == 0 || flight.call.resumable;
        if flight.call.repeatable && continues && !quarantined {
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

    fn drop_unsent(&mut self, at: usize, now: id::Time) {
        let phase = if self.flights[at].may_have_run {
            Phase::MayHaveRun
        } else {
            Phase::NotRun
        };
        self.settle(at, phase, None, now);
        self.end(at);
    }

    /// Ends a flight with a refusal and settles its reservation accordingly.
    fn conclude(&mut self, at: usize, refusal: Refusal, now: id::Time, out: &mut Outbox) {
        let phase = match refusal.verdict {
            Verdict::NotRun => Phase::NotRun,
            Verdict::MayHaveRun => Phase::MayHaveRun,
            Verdict::Ran => Phase::Ran,
        };
        self.settle(at, phase, None, now);
        self.refuse(at, refusal, out);
    }

    fn refuse(&mut self, at: usize, refusal: Refusal, out: &mut Outbox) {
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

    fn end(&mut self, at: usize) {
        let flight = self.flights.remove(at);
        self.limits.release(&flight.call.organisation);
        self.counts.ended += 1;
    }

    // Time and peers.

    /// Learns of a request that crashed an endpoint elsewhere.
    pub fn strike(&mut self, strike: &Strike, now: id::Time) {
        if strike.cleared {
            self.poison.clear(strike.fingerprint);
        } else {
            self.poison.strike(strike.fingerprint, strike.endpoint, now);
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

    fn tick_flight(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        match &self.flights[at].stage {
            Stage::Claiming => self.advance_claim(at, scene, out),
            Stage::Resting { until } if *until <= scene.now => self.ask(at, scene, out),
            Stage::Asking(_) => self.tick_ask(at, scene, out),
            _ => {}
        }
    }

    fn tick_ask(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let Stage::Asking(asking) = &self.flights[at].stage else {
            return;
        };
        let owner = scene
            .snapshot
            .pool(asking.pool)
            .and_then(|pool| scene.view.owner(pool));
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
    fn help_itself(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
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
    fn own_share(&self, asking: &Asking, scene: &Scene<'_>) -> Option<id::Endpoint> {
        let pool = scene.snapshot.pool(asking.pool)?;
        let ranks = |endpoint: id::Endpoint| {
            let live = scene.view.live(&pool.place).iter().copied();
            let order = rank::order(endpoint.into(), live.filter(|&node| node != asking.owner));
            order
                .iter()
                .take(SHARERS)
                .any(|&node| node == scene.view.me())
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
    fn is_proven(&self, endpoint: id::Endpoint) -> bool {
        let enough = 2 * SHARERS as u32;
        self.proofs
            .iter()
            .any(|proof| proof.endpoint == endpoint && proof.finished >= enough)
    }

    fn uses_directly(&self, endpoint: id::Endpoint) -> bool {
        self.flights.iter().any(|flight| {
            matches!(&flight.stage, Stage::Running(running)
                if running.endpoint == endpoint && running.owner.is_none())
        })
    }

    /// Tells each owner the whole list of slots that this node holds of its pool: a new owner
    /// learns of them, and a lost message does not leak a slot.
    fn state_holdings(&mut self, scene: &Scene<'_>, out: &mut Outbox) {
        for flight in &mut self.flights {
            let Stage::Running(running) = &mut flight.stage else {
                continue;
            };
            let Some(pool) = scene.snapshot.pool(running.pool) else {
                continue;
            };
            let Some(owner) = scene.view.owner(pool) else {
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
                let (pool, node) = (statement.pool, scene.view.me());
                out.tell(statement.owner, Holding { pool, node, held });
            }
        }
    }

    /// Returns the requests that a customer has in progress here.
    #[must_use]
    pub fn open(&self, organisation: &str) -> u32 {
        self.limits.open(organisation)
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
        if member.node != scene.view.me() && scene.view.is_live(member.node, scene.now) {
            out.tell(member.node, strike.clone());
        }
    }
}

/// A pool that may take a request, and what speaks for and against it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Whether the class's promise would be missed there.
    pub late: bool,
    /// Delay of the path in milliseconds.
    pub path_ms: u64,
    /// Expected wait for a slot in milliseconds.
    pub wait_ms: u64,
    /// Slots in use rather than free, so that the freest pool comes first.
    pub scarcity: u32,
    /// The pool.
    pub pool: id::Pool,
    /// Node that schedules it.
    pub owner: id::Node,
}

/// Returns the pools that may take a request, best first.
///
/// The nearest pools come first; a farther one is better only if the nearer ones cannot keep the
/// class's promise, because paths between regions are slow and paid by volume.
#[must_use]
pub fn candidates(
    call: &Call,
    waited: Duration,
    view: &View,
    snapshot: &Snapshot,
    now: id::Time,
) -> Vec<Candidate> {
    let Some(class) = snapshot.class(&call.class) else {
        return Vec::new();
    };
    let slack_ms = patience(class).saturating_sub(waited).as_millis() as u64;
    let open = snapshot
        .pools()
        .iter()
        .filter(|pool| pool.service == call.service && is_open(pool, snapshot));
    let mut candidates: Vec<Candidate> = open
        .filter_map(|pool| {
            let owner = view.owner(pool)?;
            let path_ms = path_ms(pool, view.place(), snapshot);
            let summary = view.summary(pool.id, now);
            let wait_ms = summary.map_or(0, |summary| u64::from(summary.wait_ms));
            let late = !class.bulk && wait_ms + path_ms > slack_ms;
            let scarcity = u32::MAX - summary.map_or(0, |summary| summary.free);
            Some(Candidate {
                late,
                path_ms,
                wait_ms,
                scarcity,
                pool: pool.id,
                owner,
            })
        })
        .collect();
    candidates.sort();
    candidates
}

fn path_ms(pool: &Pool, here: &str, snapshot: &Snapshot) -> u64 {
    if pool.place == here {
        0
    } else if snapshot.same_region(&pool.place, here) {
        REGION_PATH_MS
    } else {
        REMOTE_PATH_MS
    }
}

fn is_open(pool: &Pool, snapshot: &Snapshot) -> bool {
    let endpoints = pool
        .endpoints
        .iter()
        .filter_map(|&number| snapshot.endpoint(number));
    endpoints
        .into_iter()
        .any(|endpoint| snapshot.is_open(endpoint))
}

/// Chooses the pool to ask among those that have not refused the request.
fn choose(flight: &Flight, scene: &Scene<'_>) -> Option<(id::Pool, id::Node)> {
    let waited = flight.waited(scene.now);
    candidates(&flight.call, waited, scene.view, scene.snapshot, scene.now)
        .into_iter()
        .find(|candidate| !flight.refused.contains(&candidate.pool))
        .map(|candidate| (candidate.pool, candidate.owner))
}
