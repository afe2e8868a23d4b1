//! The scheduler of a pool, held by one owner node of the pool's data centre.
//!
//! Entry nodes ask the owner for a slot and stream the answer from the endpoint themselves, so
//! priority, fairness and cold limits hold over all nodes at the cost of two small messages a
//! request. A new owner is told by the entry nodes what they hold, and settles before it trusts its
//! own count. `docs/design/POOLS.md` weighs the alternatives.

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

/// Time for which a new owner does not trust its own count.
pub const SETTLE_PERIOD: Duration = Duration::from_secs(3);

/// Time after which a slot is free again if its holder no longer states that it holds it, or a
/// request is dropped whose node is silent. Holders state their slots every two seconds.
const HOLDER_SILENCE: Duration = Duration::from_secs(12);

/// Bulk requests that wait in one pool at most; more are refused at the door.
const MAX_BULK: usize = 10_000;

/// Time since the last interactive request for which slots are kept free for the next.
const RECENT: Duration = Duration::from_secs(10);

/// One slot of this many is kept free of bulk while interactive work is recent.
const RESERVE_PART: u32 = 10;

/// Preemptions that one bulk attempt bears before it is left alone.
const MAX_PREEMPTIONS: u8 = 3;

/// Message to the entry node of an attempt.
pub type Message = (id::Node, Body);

/// One slot in use.
#[derive(Clone, Debug)]
struct Run {
    attempt: id::Attempt,
    endpoint: id::Endpoint,
    node: id::Node,
    class: String,
    bulk: bool,
    fingerprint: id::Fingerprint,
    suspect: bool,
    since: id::Time,
    /// When its holder last stated that it holds the slot.
    confirmed: id::Time,
    stopping: bool,
}

impl Run {
    fn held(&self) -> Held {
        Held {
            attempt: self.attempt,
            endpoint: self.endpoint,
            class: self.class.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// Counts that prove the promises; all but `granted` and `preempted` stay 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Slots granted.
    pub granted: u64,
    /// Bulk attempts preempted.
    pub preempted: u64,
    /// Interactive requests refused while bulk could have been preempted.
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
    settled: id::Time,
    last_interactive: Option<id::Time>,
    busy: Mean,
    turn: usize,
    proven: Vec<id::Fingerprint>,
    preemptions: Vec<(id::Fingerprint, u8)>,
    counts: Counts,
}

impl Scheduler {
    /// Starts the scheduler of a pool that has been owned by another node or by none.
    #[must_use]
    pub fn new(pool: Pool, snapshot: Arc<Snapshot>, strategy: Strategy, now: id::Time) -> Self {
        let mut scheduler = Self {
            pool,
            strategy,
            snapshot: Arc::clone(&snapshot),
            engines: Vec::new(),
            queue: Queue::default(),
            runs: Vec::new(),
            settled: now + SETTLE_PERIOD,
            last_interactive: None,
            busy: Mean::default(),
            turn: 0,
            proven: Vec::new(),
            preemptions: Vec::new(),
            counts: Counts::default(),
        };
        scheduler.update(snapshot);
        scheduler
    }

    /// Returns the pool.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the counts that prove the promises.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns what is known about each endpoint.
    #[must_use]
    pub fn engines(&self) -> &[engine::State] {
        &self.engines
    }

    /// Returns the waiting requests.
    #[must_use]
    pub fn waiting(&self) -> &[Entry] {
        self.queue.entries()
    }

    /// Follows a configuration change.
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

    /// Handles a request for a slot.
    pub fn handle_ask(&mut self, node: id::Node, ask: Ask, now: id::Time, out: &mut Vec<Message>) {
        if let Some(run) = self.runs.iter().find(|run| run.attempt == ask.attempt) {
            // The grant was lost on its way; the same grant again is harmless.
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
        let Some(entry) = self.entry(node, ask, now) else {
            out.push((node, deny(attempt, Reason::NoEndpoint, Duration::ZERO)));
            return;
        };
        if !entry.bulk {
            self.last_interactive = Some(now);
        }
        if let Some(reply) = self.refuse(&entry, now) {
            out.push((node, reply));
            return;
        }
        self.queue.push(entry);
        self.pump(now, out);
        if self.queue.contains(attempt) {
            out.push((node, Queued { attempt }.into()));
        }
    }

    fn entry(&self, node: id::Node, ask: Ask, now: id::Time) -> Option<Entry> {
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

    /// Refuses at the door what cannot be served in time; later it would cost more.
    fn refuse(&mut self, entry: &Entry, now: id::Time) -> Option<Body> {
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
            let waiting = self.queue.entries().iter().filter(|each| each.bulk).count();
            let retry = Duration::from_secs(60);
            return (waiting >= MAX_BULK).then(|| deny(entry.attempt, Reason::Overload, retry));
        }
        let class = self.snapshot.class(&entry.class)?;
        let wait = self.wait(entry.tier, now);
        let waited = now.saturating_sub(entry.arrived);
        // A slot that is free, or that bulk can give up, is never refused, however late it is.
        if wait.is_zero() || waited + wait <= queue_timeout(class) {
            return None;
        }
        // The expected wait counts preemptible bulk as free, so nothing is shed to spare bulk.
        self.counts.shed_for_bulk += u64::from(self.preemptible() > self.waiting_interactive());
        Some(deny(entry.attempt, Reason::Overload, wait))
    }

    /// Returns the expected wait of one more interactive request of a tier.
    fn wait(&self, tier: u8, now: id::Time) -> Duration {
        /// Service time in milliseconds assumed before the first answer.
        const UNKNOWN_MS: f64 = 500.0;
        let limit = self.limit(now);
        let free = self.free(now);
        let ahead = self
            .queue
            .entries()
            .iter()
            .filter(|each| !each.bulk && each.tier <= tier)
            .count();
        let available = free as usize + self.preemptible();
        if ahead < available {
            return Duration::ZERO;
        }
        let busy_ms = self.busy.value().unwrap_or(UNKNOWN_MS);
        let turns = (ahead - available + 1) as f64 / f64::from(limit.max(1));
        Duration::from_secs_f64(turns * busy_ms / 1e3)
    }

    /// Returns the requests that all endpoints together may run now.
    fn limit(&self, now: id::Time) -> u32 {
        let settling = self.is_settling(now);
        self.engines
            .iter()
            .map(|state| state.limit(now, settling))
            .sum()
    }

    /// Returns the free slots of all endpoints.
    fn free(&self, now: id::Time) -> u32 {
        let settling = self.is_settling(now);
        self.engines
            .iter()
            .map(|state| state.free(now, settling))
            .sum()
    }

    fn waiting_interactive(&self) -> usize {
        self.queue
            .entries()
            .iter()
            .filter(|entry| !entry.bulk)
            .count()
    }

    fn is_settling(&self, now: id::Time) -> bool {
        now < self.settled
    }

    /// Takes a slot back, or removes a request that still waits.
    pub fn handle_done(&mut self, done: &Done, now: id::Time, out: &mut Vec<Message>) {
        self.queue.remove(done.attempt);
        if let Some(at) = self.runs.iter().position(|run| run.attempt == done.attempt) {
            let run = self.runs.swap_remove(at);
            self.learn(&run, done, now);
        }
        self.pump(now, out);
    }

    fn learn(&mut self, run: &Run, done: &Done, now: id::Time) {
        if !run.bulk {
            self.busy.add(now.saturating_sub(run.since));
        }
        if done.outcome == Outcome::Finished {
            self.prove(run.fingerprint);
            if let Ok(at) = self
                .preemptions
                .binary_search_by_key(&run.fingerprint, |each| each.0)
            {
                self.preemptions.remove(at);
            }
        }
        if let Some(state) = self
            .engines
            .iter_mut()
            .find(|state| state.id() == run.endpoint)
        {
            let speed = engine::Speed {
                first: Duration::from_millis(done.first_ms.into()),
                gap: Duration::from_micros(done.gap_us.into()),
            };
            state.finish(done.outcome, speed, now);
        }
    }

    fn prove(&mut self, fingerprint: id::Fingerprint) {
        /// Fingerprints remembered; all are forgotten together when it is full.
        const MAX_PROVEN: usize = 8_192;
        if self.proven.len() >= MAX_PROVEN {
            self.proven.clear();
        }
        if let Err(at) = self.proven.binary_search(&fingerprint) {
            self.proven.insert(at, fingerprint);
        }
    }

    /// Learns from a load report.
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
        self.pump(now, out);
    }

    /// Ends rests, marks slow endpoints, and refuses what has no endpoint left.
    pub fn tick(&mut self, now: id::Time, out: &mut Vec<Message>) {
        let medians = self.medians();
        for state in &mut self.engines {
            state.tick(now);
            state.compare(medians);
        }
        self.release(now, |run| {
            now.saturating_sub(run.confirmed) > HOLDER_SILENCE
        });
        self.refuse_stranded(now, out);
        self.pump(now, out);
        self.refuse_late(now, out);
    }

    /// Refuses interactive requests that have missed their target while they waited: serving them
    /// would make others late too. What still waits here after the pump found neither a free slot
    /// nor bulk to displace.
    fn refuse_late(&mut self, now: id::Time, out: &mut Vec<Message>) {
        let coming = self.runs.iter().any(|run| run.stopping);
        if self.strategy.is_baseline() || coming || self.preemptible() > 0 {
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
            let retry = self.wait(entry.tier, now);
            out.push((entry.node, deny(entry.attempt, Reason::Overload, retry)));
        }
    }

    /// Sends waiting requests elsewhere when no endpoint is open, as when operators take a data
    /// centre out.
    fn refuse_stranded(&mut self, now: id::Time, out: &mut Vec<Message>) {
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

    /// Returns the pool's state for gossip.
    #[must_use]
    pub fn summary(&self, stamp: u32, now: id::Time) -> Summary {
        let free = self.free(now);
        let open = self.engines.iter().any(|state| state.limit(now, false) > 0);
        let wait = if open {
            self.wait(u8::MAX, now).as_millis() as u32
        } else {
            u32::MAX
        };
        Summary {
            pool: self.pool.id,
            stamp,
            free: free + self.preemptible() as u32,
            queued: self.waiting_interactive() as u32,
            wait_ms: wait,
        }
    }

    /// Checks the counts that must agree.
    ///
    /// # Panics
    /// If they do not, which is a fault of this program.
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
                "slots of endpoint {}",
                state.id()
            );
        }
        let bulk = self
            .queue
            .entries()
            .iter()
            .filter(|entry| entry.bulk)
            .count();
        assert!(bulk <= MAX_BULK, "bulk queue is bounded");
        assert_eq!(
            self.counts.shed_for_bulk, 0,
            "interactive work is never shed for bulk"
        );
    }
}

/// Returns how long a request of an interactive class may wait for a slot.
#[must_use]
pub fn queue_timeout(class: &Class) -> Duration {
    /// A plain call that waits longer than this part of its target would miss it.
    const WHOLE_PART: u32 = 2;
    let target = if class.first_token_ms > 0 {
        class.first_token_ms
    } else {
        class.whole_ms / WHOLE_PART
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
