//! The scheduler of a pool, run by its owner: one node of the pool's data centre.
//!
//! An entry node requests a slot from the owner and then streams the answer from the endpoint
//! itself. Priority, fairness and cold limits thus hold over all nodes, at the cost of two small
//! messages per request. Entry nodes report to a new owner the slots that they hold. The new owner
//! settles, that is, it waits for these reports before it trusts its own count.
//! `docs/design/POOLS.md` compares the alternatives.

mod denial;
mod handover;
mod placement;
mod preemption;
mod run;

pub use denial::queue_timeout;

use std::{sync::Arc, time::Duration};

use denial::{MAX_QUEUED_BULK, deny};
use peridotdeck_policy::{Pool, Snapshot};
use peridotdeck_wire::{Ask, Body, Done, Grant, Outcome, Queued, Reason, Summary};
use run::Run;

use crate::{
    engine, id,
    mean::Mean,
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

/// Time after an interactive request for which slots are reserved for the next one.
const INTERACTIVE_RESERVE_TIME: Duration = Duration::from_secs(10);

/// Divisor of a pool's limit; the result, rounded up, is reserved for interactive requests.
const RESERVE_DIVISOR: u32 = 10;

/// Preemptions of one bulk request, by fingerprint, after which its runs are not preempted.
const MAX_PREEMPTIONS_PER_REQUEST: u8 = 3;

/// Message and the node that receives it: an entry node or the next owner.
pub type Message = (id::Node, Body);

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
