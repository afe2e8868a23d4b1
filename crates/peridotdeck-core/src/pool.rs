//! The scheduler of a pool, run by its owner: one node of the pool's data centre.
//!
//! An entry node requests a slot from the owner and then streams the answer from the endpoint
//! itself. Priority, fairness and cold limits thus hold over all nodes, at the cost of two small
//! messages per request. Entry nodes report to a new owner the slots that they hold. The new owner
//! settles, that is, it waits for these reports before it trusts its own count.
//! `docs/design/POOLS.md` compares the alternatives.

mod handover;
mod placement;
mod preemption;

use std::{sync::Arc, time::Duration};

use peridotdeck_policy::{Class, Pool, Snapshot};
use peridotdeck_wire::{Ask, Body, Deny, Done, Grant, Held, Outcome, Queued, Reason, Summary};

use crate::{
    engine, id,
    mean::Mean,
    quarantine,
    queue::{Entry, Queue},
    strategy::Strategy,
};

/// Time for which a new owner waits for reports of held slots before it trusts its own count.
///
/// During this time cold endpoints get no requests.
pub const SETTLE_PERIOD: Duration = Duration::from_secs(3);

/// Time after which a slot is freed if its entry node no longer reports that it holds it.
///
/// Entry nodes report their slots every two seconds. Waiting requests are removed after the same
/// time if their entry node is silent.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(12);

/// Most bulk requests that wait in one pool; further ones are denied on arrival.
const MAX_QUEUED_BULK: usize = 10_000;

/// Time after an interactive request for which slots are reserved for the next one.
const INTERACTIVE_RESERVE_TIME: Duration = Duration::from_secs(10);

/// Divisor of a pool's limit; the result, rounded up, is reserved for interactive requests.
const RESERVE_DIVISOR: u32 = 10;

/// Preemptions of one bulk request, by fingerprint, after which its runs are not preempted.
const MAX_PREEMPTIONS_PER_REQUEST: u8 = 3;

/// Message and the node that receives it: an entry node or the next owner.
pub type Message = (id::Node, Body);

/// One slot in use and the attempt that runs in it.
#[derive(Clone, Debug)]
struct Run {
    attempt: id::Attempt,
    endpoint: id::Endpoint,
    node: id::Node,
    class: String,
    bulk: bool,
    fingerprint: id::Fingerprint,
    /// Whether the request was running at an endpoint that crashed.
    crash_suspect: bool,
    /// When the slot was granted, or reported to this owner.
    started: id::Time,
    /// When the entry node last reported that it holds the slot.
    confirmed: id::Time,
    /// Whether the entry node was sent a preemption and has not returned the slot yet.
    stopping: bool,
}

impl Run {
    fn to_held(&self) -> Held {
        Held {
            attempt: self.attempt,
            endpoint: self.endpoint,
            class: self.class.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// Counts for metrics and checks; `shed_for_bulk` must stay 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Slots granted.
    pub granted: u64,
    /// Bulk attempts preempted.
    pub preempted: u64,
    /// Interactive requests denied although bulk requests could have been preempted.
    pub shed_for_bulk: u64,
}

/// Queue and slots of one pool.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pool: Pool,
    strategy: Strategy,
    snapshot: Arc<Snapshot>,
    engines: Vec<engine::State>,
    queue: Queue,
    runs: Vec<Run>,
    /// End of the settling time.
    settled_at: id::Time,
    last_interactive: Option<id::Time>,
    /// Mean time for which an interactive request holds a slot.
    service_time: Mean,
    round_robin_turn: usize,
    /// Sorted fingerprints of requests that have finished, so copies may run in parallel.
    completed: Vec<id::Fingerprint>,
    /// Preemptions of each bulk request that has not finished, sorted by fingerprint.
    preemptions: Vec<(id::Fingerprint, u8)>,
    counts: Counts,
}

impl Scheduler {
    /// Creates the scheduler of a pool that this node did not own before; it settles first.
    #[must_use]
    pub fn new(pool: Pool, snapshot: Arc<Snapshot>, strategy: Strategy, now: id::Time) -> Self {
        let mut scheduler = Self {
            pool,
            strategy,
            snapshot: Arc::clone(&snapshot),
            engines: Vec::new(),
            queue: Queue::default(),
            runs: Vec::new(),
            settled_at: now + SETTLE_PERIOD,
            last_interactive: None,
            service_time: Mean::default(),
            round_robin_turn: 0,
            completed: Vec::new(),
            preemptions: Vec::new(),
            counts: Counts::default(),
        };
        scheduler.update(snapshot);
        scheduler
    }

    /// Returns the configuration of the pool.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the counts for metrics and checks.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the state of each endpoint.
    #[must_use]
    pub fn engines(&self) -> &[engine::State] {
        &self.engines
    }

    /// Returns the waiting requests in order of arrival.
    #[must_use]
    pub fn waiting(&self) -> &[Entry] {
        self.queue.entries()
    }

    /// Applies a configuration change; endpoints that remain in the pool keep their state.
    pub fn update(&mut self, snapshot: Arc<Snapshot>) {
        if let Some(pool) = snapshot.pool(self.pool.id) {
            self.pool = pool.clone();
        }
        let old = std::mem::take(&mut self.engines);
        for &number in &self.pool.endpoints {
            let Some(endpoint) = snapshot.endpoint(number) else {
                continue;
            };
            let open = snapshot.is_open(endpoint);
            let mut state = old
                .iter()
                .find(|state| state.id() == number)
                .cloned()
                .unwrap_or_else(|| engine::State::new(endpoint.clone(), open));
            state.update(endpoint.clone(), open);
            self.engines.push(state);
        }
        let engines = &self.engines;
        self.runs
            .retain(|run| engines.iter().any(|state| state.id() == run.endpoint));
        self.snapshot = snapshot;
    }

    /// Handles a request for a slot: grants, queues or denies it.
    pub fn handle_ask(&mut self, node: id::Node, ask: Ask, now: id::Time, out: &mut Vec<Message>) {
        if let Some(run) = self.runs.iter().find(|run| run.attempt == ask.attempt) {
            // The grant may have been lost; repeating it is harmless.
            out.push((
                node,
                Grant {
                    attempt: ask.attempt,
                    endpoint: run.endpoint,
                }
                .into(),
            ));
            return;
        }
        let attempt = ask.attempt;
        if self.queue.contains(attempt) {
            out.push((node, Queued { attempt }.into()));
            return;
        }
        let Some(entry) = self.queue_entry(node, ask, now) else {
            out.push((node, deny(attempt, Reason::NoEndpoint, Duration::ZERO)));
            return;
        };
        if !entry.bulk {
            self.last_interactive = Some(now);
        }
        if let Some(reply) = self.refusal_on_arrival(&entry, now) {
            out.push((node, reply));
            return;
        }
        self.queue.push(entry);
        self.grant_slots(now, out);
        if self.queue.contains(attempt) {
            out.push((node, Queued { attempt }.into()));
        }
    }

    fn queue_entry(&self, node: id::Node, ask: Ask, now: id::Time) -> Option<Entry> {
        let class = self.snapshot.class(&ask.class)?;
        let organisation = self.snapshot.organisation(&ask.organisation)?;
        Some(Entry {
            attempt: ask.attempt,
            node,
            tier: class.tier,
            bulk: class.bulk,
            weight: organisation.weight,
            class: ask.class,
            organisation: ask.organisation,
            output_tokens: ask.tokens,
            prompt_tokens: ask.prompt,
            prefix: ask.prefix,
            fingerprint: ask.fingerprint,
            crashes: ask.strikes,
            avoid: ask.avoid,
            arrived: now.saturating_sub(Duration::from_millis(ask.waited_ms.into())),
        })
    }

    /// Returns the denial of a request that cannot be served in time.
    ///
    /// A denial on arrival costs less than a later one.
    fn refusal_on_arrival(&mut self, entry: &Entry, now: id::Time) -> Option<Body> {
        if usize::from(entry.crashes) >= quarantine::CRASH_LIMIT {
            return Some(deny(entry.attempt, Reason::Quarantined, Duration::ZERO));
        }
        if self
            .engines
            .iter()
            .all(|state| state.limit(now, false) == 0)
        {
            return Some(deny(entry.attempt, Reason::NoEndpoint, Duration::ZERO));
        }
        if self.strategy.is_baseline() {
            return None;
        }
        if entry.bulk {
            let waiting = self
                .queue
                .entries()
                .iter()
                .filter(|entry| entry.bulk)
                .count();
            let retry = Duration::from_secs(60);
            return (waiting >= MAX_QUEUED_BULK)
                .then(|| deny(entry.attempt, Reason::Overload, retry));
        }
        let class = self.snapshot.class(&entry.class)?;
        let wait = self.expected_wait(entry.tier, now);
        let waited = now.saturating_sub(entry.arrived);
        // With a free or preemptible slot a request is never denied, however long it has waited.
        if wait.is_zero() || waited + wait <= queue_timeout(class) {
            return None;
        }
        // The expected wait counts preemptible bulk as free, so nothing is shed to spare bulk and
        // this adds 0.
        self.counts.shed_for_bulk +=
            u64::from(self.preemptible_count() > self.queued_interactive());
        Some(deny(entry.attempt, Reason::Overload, wait))
    }

    /// Returns the expected wait for a slot of one more interactive request of a tier.
    fn expected_wait(&self, tier: u8, now: id::Time) -> Duration {
        /// Service time in milliseconds that is assumed before the first sample.
        const DEFAULT_SERVICE_MS: f64 = 500.0;
        let limit = self.total_limit(now);
        let free = self.total_free(now);
        let ahead = self
            .queue
            .entries()
            .iter()
            .filter(|entry| !entry.bulk && entry.tier <= tier)
            .count();
        let available = free as usize + self.preemptible_count();
        if ahead < available {
            return Duration::ZERO;
        }
        let service_ms = self.service_time.value().unwrap_or(DEFAULT_SERVICE_MS);
        let rounds = (ahead - available + 1) as f64 / f64::from(limit.max(1));
        Duration::from_secs_f64(rounds * service_ms / 1e3)
    }

    /// Returns how many requests all endpoints together may run now.
    fn total_limit(&self, now: id::Time) -> u32 {
        let settling = self.is_settling(now);
        self.engines
            .iter()
            .map(|state| state.limit(now, settling))
            .sum()
    }

    /// Returns the free slots of all endpoints.
    fn total_free(&self, now: id::Time) -> u32 {
        let settling = self.is_settling(now);
        self.engines
            .iter()
            .map(|state| state.free(now, settling))
            .sum()
    }

    /// Returns the number of waiting interactive requests.
    fn queued_interactive(&self) -> usize {
        self.queue
            .entries()
            .iter()
            .filter(|entry| !entry.bulk)
            .count()
    }

    fn is_settling(&self, now: id::Time) -> bool {
        now < self.settled_at
    }

    /// Frees the slot of an attempt, or removes the attempt from the queue.
    pub fn handle_done(&mut self, done: &Done, now: id::Time, out: &mut Vec<Message>) {
        self.queue.remove(done.attempt);
        if let Some(index) = self.runs.iter().position(|run| run.attempt == done.attempt) {
            let run = self.runs.swap_remove(index);
            self.record_outcome(&run, done, now);
        }
        self.grant_slots(now, out);
    }

    /// Updates the state of the request and of the endpoint after a run has ended.
    fn record_outcome(&mut self, run: &Run, done: &Done, now: id::Time) {
        if !run.bulk {
            self.service_time.add(now.saturating_sub(run.started));
        }
        if done.outcome == Outcome::Finished {
            self.record_completed(run.fingerprint);
            if let Ok(index) = self
                .preemptions
                .binary_search_by_key(&run.fingerprint, |entry| entry.0)
            {
                self.preemptions.remove(index);
            }
        }
        if let Some(state) = self
            .engines
            .iter_mut()
            .find(|state| state.id() == run.endpoint)
        {
            let speed = engine::Speed {
                first_token: Duration::from_millis(done.first_ms.into()),
                token_gap: Duration::from_micros(done.gap_us.into()),
            };
            state.finish(done.outcome, speed, now);
        }
    }

    /// Records that a request has finished, so that copies of it may run in parallel.
    fn record_completed(&mut self, fingerprint: id::Fingerprint) {
        /// Most fingerprints in the list; it is cleared as a whole when it is full.
        const MAX_COMPLETED: usize = 8_192;
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.clear();
        }
        if let Err(index) = self.completed.binary_search(&fingerprint) {
            self.completed.insert(index, fingerprint);
        }
    }

    /// Handles a load report of an endpoint.
    pub fn handle_report(
        &mut self,
        endpoint: id::Endpoint,
        report: engine::Report,
        now: id::Time,
        out: &mut Vec<Message>,
    ) {
        if let Some(state) = self.engines.iter_mut().find(|state| state.id() == endpoint) {
            state.handle_report(report, now);
        }
        self.grant_slots(now, out);
    }

    /// Ends backoffs, marks slow endpoints, frees unreported slots and denies overdue requests.
    pub fn tick(&mut self, now: id::Time, out: &mut Vec<Message>) {
        let medians = self.medians();
        for state in &mut self.engines {
            state.tick(now);
            state.compare_with_medians(medians);
        }
        self.release_runs(now, |run| {
            now.saturating_sub(run.confirmed) > HOLDER_TIMEOUT
        });
        self.deny_unservable(now, out);
        self.grant_slots(now, out);
        self.deny_overdue(now, out);
    }

    /// Denies interactive requests that have exceeded their queue timeout.
    ///
    /// Serving them would make others late too. This runs after all grants and preemptions, so the
    /// requests that still wait found neither a free slot nor bulk to preempt.
    fn deny_overdue(&mut self, now: id::Time, out: &mut Vec<Message>) {
        let pending = self.runs.iter().any(|run| run.stopping);
        if self.strategy.is_baseline() || pending || self.preemptible_count() > 0 {
            return;
        }
        let snapshot = Arc::clone(&self.snapshot);
        let is_late = |entry: &Entry| {
            let class = snapshot.class(&entry.class);
            !entry.bulk
                && class
                    .is_some_and(|class| now.saturating_sub(entry.arrived) > queue_timeout(class))
        };
        for entry in self.queue.drain(is_late) {
            let retry = self.expected_wait(entry.tier, now);
            out.push((entry.node, deny(entry.attempt, Reason::Overload, retry)));
        }
    }

    /// Denies all waiting requests when no endpoint is open, so that they go to other pools.
    ///
    /// This happens when operators take a data centre out of service.
    fn deny_unservable(&mut self, now: id::Time, out: &mut Vec<Message>) {
        if self.engines.iter().any(|state| state.limit(now, false) > 0) {
            return;
        }
        for entry in self.queue.drain(|_| true) {
            out.push((
                entry.node,
                deny(entry.attempt, Reason::NoEndpoint, Duration::ZERO),
            ));
        }
    }

    /// Returns the summary of the pool that is sent to other nodes by gossip.
    ///
    /// `stamp` is the owner's heartbeat counter.
    #[must_use]
    pub fn summary(&self, stamp: u32, now: id::Time) -> Summary {
        let free = self.total_free(now);
        let open = self.engines.iter().any(|state| state.limit(now, false) > 0);
        let wait = if open {
            self.expected_wait(u8::MAX, now).as_millis() as u32
        } else {
            u32::MAX
        };
        Summary {
            pool: self.pool.id,
            stamp,
            free: free + self.preemptible_count() as u32,
            queued: self.queued_interactive() as u32,
            wait_ms: wait,
        }
    }

    /// Checks the invariants of slots, queue and counts.
    ///
    /// # Panics
    /// Panics if one is violated, which is a bug in this program.
    pub fn check_invariants(&self) {
        for state in &self.engines {
            let runs = self
                .runs
                .iter()
                .filter(|run| run.endpoint == state.id())
                .count();
            assert_eq!(
                state.in_flight() as usize,
                runs,
                "slots in use and runs differ at endpoint {}",
                state.id()
            );
        }
        let bulk = self
            .queue
            .entries()
            .iter()
            .filter(|entry| entry.bulk)
            .count();
        assert!(bulk <= MAX_QUEUED_BULK, "the bulk queue exceeds its limit");
        assert_eq!(
            self.counts.shed_for_bulk, 0,
            "an interactive request was denied although bulk could be preempted"
        );
    }
}

/// Returns the time for which a request of an interactive class may wait for a slot.
#[must_use]
pub fn queue_timeout(class: &Class) -> Duration {
    /// Divisor of the target for a whole answer: a longer wait would make the answer miss it.
    const WHOLE_ANSWER_DIVISOR: u32 = 2;
    let target = if class.first_token_ms > 0 {
        class.first_token_ms
    } else {
        class.whole_ms / WHOLE_ANSWER_DIVISOR
    };
    Duration::from_millis(target.into())
}

fn deny(attempt: id::Attempt, reason: Reason, retry: Duration) -> Body {
    Deny {
        attempt,
        reason,
        retry_ms: retry.as_millis() as u32,
    }
    .into()
}
