//! The batch, the cache and the faults of an engine.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use peridotdeck_http::server::AcceptState;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::text::BYTES_PER_TOKEN;

/// Part by which a full batch slows each step.
const BATCH_SLOWDOWN: f64 = 0.5;

/// Requests finished by a cold engine that turn it warm, as a multiple of its slots.
const WARM_AFTER: u32 = 2;

/// Bytes of the prompt's beginning that name a cached prefix.
const PREFIX_BYTES: usize = 64;

/// Cache events kept for readers.
const EVENTS: usize = 256;

/// Behaviour of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Setting {
    /// Name of the model.
    pub model: String,
    /// Seed of jitter and event gaps.
    pub seed: u64,
    /// Requests that run at one time when warm.
    pub slots: u32,
    /// Requests that a cold engine bears; it bears one more for each that it finishes.
    pub cold_slots: u32,
    /// Whether it starts cold.
    pub starts_cold: bool,
    /// Prefill time per prompt token in microseconds.
    pub prefill_us: u32,
    /// Time between tokens of a lone request in microseconds.
    pub step_us: u32,
    /// Prefixes kept in the cache.
    pub cache: usize,
    /// Age of a load report in milliseconds.
    pub report_lag: u32,
    /// Time from a crash to the cold restart in milliseconds.
    pub restart: u32,
    /// Whether it refuses an order with an old fencing number.
    pub fences: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            model: "model".to_owned(),
            seed: 1,
            slots: 8,
            cold_slots: 2,
            starts_cold: false,
            prefill_us: 300,
            step_us: 8_000,
            cache: 32,
            report_lag: 500,
            restart: 2_000,
            fences: false,
        }
    }
}

/// A fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It dies with all requests and restarts cold.
    Crash,
    /// Every step takes this many times as long; 1 heals it.
    Slow(f64),
    /// It turns cold without notice.
    TurnCold,
    /// The next answer carries another request's id.
    Cross,
    /// Running streams go silent and stay open.
    Silence,
    /// The next continuation of an answer gets this status instead.
    Deny(u16),
    /// The next continuation of an answer begins so many tokens too late; too early if negative.
    Shift(i32),
}

/// What an engine has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that began to run.
    pub runs: u64,
    /// Output tokens generated, by class.
    pub tokens: BTreeMap<String, u64>,
    /// Tokens of prompts computed, cached prefixes not counted.
    pub prefilled: u64,
    /// Requests accepted beyond what a cold engine bears.
    pub cold_exceeded: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Load as `/load` reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Start of the process.
    pub boot: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Whether it bears its full load.
    pub warm: bool,
}

/// A cache event: a prefix came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap shows that events were lost.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// Whether it is now cached.
    pub cached: bool,
}

#[derive(Debug)]
struct Inner {
    boot: u64,
    running: u32,
    waiting: Vec<(u8, u64)>,
    next_ticket: u64,
    cold: bool,
    finished: u32,
    slowdown: f64,
    silence: u64,
    cross: bool,
    denial: Option<u16>,
    shift: i32,
    fence: u64,
    cache: Vec<u64>,
    events: Vec<(Instant, CacheEvent)>,
    sequence: u64,
    reports: Vec<(Instant, Load)>,
    rng: SmallRng,
    counts: Counts,
}

/// An engine's state, shared by its requests.
#[derive(Debug)]
pub struct State {
    /// Behaviour.
    pub setting: Setting,
    inner: Mutex<Inner>,
    gate: Mutex<Option<Arc<AcceptState>>>,
}

/// The engine has died since the request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Dead;

/// A place in the batch; dropping it gives the place up.
#[derive(Debug)]
pub struct Seat {
    state: Arc<State>,
    boot: u64,
    silence: u64,
    class: String,
    finished: bool,
}

impl State {
    /// Starts an engine's state.
    pub fn new(setting: Setting) -> Self {
        let inner = Inner {
            boot: 1,
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            cold: setting.starts_cold,
            finished: 0,
            slowdown: 1.0,
            silence: 0,
            cross: false,
            denial: None,
            shift: 0,
            fence: 0,
            cache: Vec::new(),
            events: Vec::new(),
            sequence: 0,
            reports: Vec::new(),
            rng: SmallRng::seed_from_u64(setting.seed),
            counts: Counts::default(),
        };
        Self {
            setting,
            inner: Mutex::new(inner),
            gate: Mutex::new(None),
        }
    }

    /// Learns the gate that a crash shuts.
    pub fn watch(&self, gate: Arc<AcceptState>) {
        *self.gate.lock().unwrap_or_else(PoisonError::into_inner) = Some(gate);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what has been counted.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Injects a fault.
    pub fn inject(self: Arc<Self>, fault: Fault) {
        match fault {
            Fault::Crash => self.crash(),
            Fault::Slow(factor) => self.lock().slowdown = factor.max(0.1),
            Fault::TurnCold => {
                let mut inner = self.lock();
                inner.cold = true;
                inner.finished = 0;
                inner.cache.clear();
            }
            Fault::Cross => self.lock().cross = true,
            Fault::Deny(status) => self.lock().denial = Some(status),
            Fault::Shift(tokens) => self.lock().shift = tokens,
            Fault::Silence => self.lock().silence += 1,
        }
    }

    /// Dies with all requests; a restart follows.
    pub fn crash(self: Arc<Self>) {
        let boot = {
            let mut inner = self.lock();
            inner.boot += 1;
            inner.running = 0;
            inner.waiting.clear();
            inner.cold = true;
            inner.finished = 0;
            inner.cache.clear();
            inner.reports.clear();
            inner.counts.crashes += 1;
            inner.boot
        };
        self.set_shut(true);
        task::spawn(async move {
            task::sleep(Duration::from_millis(self.setting.restart.into())).await;
            if self.lock().boot == boot {
                self.set_shut(false);
            }
        });
    }

    fn set_shut(&self, shut: bool) {
        if let Some(gate) = self
            .gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
        {
            gate.set_rejecting(shut);
        }
    }

    /// Takes the status that a continuation gets instead of the rest of its answer.
    pub fn take_denial(&self) -> Option<u16> {
        self.lock().denial.take()
    }

    /// Takes the tokens by which a continuation begins too late.
    pub fn take_shift(&self) -> i32 {
        std::mem::take(&mut self.lock().shift)
    }

    /// Takes the fault that crosses one answer.
    pub fn take_cross(&self) -> bool {
        std::mem::take(&mut self.lock().cross)
    }

    /// Waits for a place in the batch, by priority and then by arrival; none if the engine dies.
    pub async fn enter(self: &Arc<Self>, priority: u8, class: &str) -> Option<Seat> {
        /// Time between two looks at the batch.
        const LOOK: Duration = Duration::from_millis(2);
        let (boot, ticket) = {
            let mut inner = self.lock();
            inner.next_ticket += 1;
            let ticket = (priority, inner.next_ticket);
            inner.waiting.push(ticket);
            inner.waiting.sort_unstable();
            (inner.boot, ticket)
        };
        let waiting = Waiting {
            state: self,
            ticket,
        };
        let falls = self.overloads_cold();
        if falls {
            Arc::clone(self).crash();
            return None;
        }
        loop {
            if let Some(seat) = self.try_enter(boot, ticket, class).ok()? {
                drop(waiting);
                return Some(seat);
            }
            task::sleep(LOOK).await;
        }
    }

    /// Counts a request that a cold engine cannot bear; such an engine falls over.
    fn overloads_cold(&self) -> bool {
        let mut inner = self.lock();
        let load = inner.running + inner.waiting.len() as u32;
        let bears = self.setting.cold_slots + inner.finished;
        let exceeded = inner.cold && load > bears;
        inner.counts.cold_exceeded += u64::from(exceeded);
        exceeded
    }

    fn try_enter(
        self: &Arc<Self>,
        boot: u64,
        ticket: (u8, u64),
        class: &str,
    ) -> Result<Option<Seat>, Dead> {
        let mut inner = self.lock();
        if inner.boot != boot {
            return Err(Dead);
        }
        if inner.running >= self.setting.slots || inner.waiting.first() != Some(&ticket) {
            return Ok(None);
        }
        inner.waiting.remove(0);
        inner.running += 1;
        inner.counts.runs += 1;
        let silence = inner.silence;
        Ok(Some(Seat {
            state: Arc::clone(self),
            boot,
            silence,
            class: class.to_owned(),
            finished: false,
        }))
    }

    /// Returns the load as it was some time ago.
    pub fn report(&self) -> Load {
        let mut inner = self.lock();
        let load = Load {
            boot: inner.boot,
            running: inner.running,
            queued: inner.waiting.len() as u32,
            warm: !inner.cold,
        };
        let now = Instant::now();
        let lag = Duration::from_millis(self.setting.report_lag.into());
        inner.reports.push((now, load));
        let old = inner
            .reports
            .partition_point(|(at, _)| now.duration_since(*at) >= lag);
        inner.reports.drain(..old.saturating_sub(1));
        inner.reports[0].1
    }

    /// Returns the cache events after a sequence number, late and with gaps.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let inner = self.lock();
        let lag = Duration::from_millis(self.setting.report_lag.into());
        let late = inner.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        late.map(|(_, event)| *event)
            .filter(|event| event.sequence > after)
            .collect()
    }

    /// Accepts or refuses an order by its fencing number.
    pub fn order(&self, fence: u64) -> bool {
        let mut inner = self.lock();
        if self.setting.fences && fence < inner.fence {
            return false;
        }
        inner.fence = inner.fence.max(fence);
        true
    }

    /// Adds an imported prefix to the cache.
    pub fn import(&self, prefix: u64) {
        self.lock().keep(prefix, self.setting.cache);
    }

    /// Returns whether a prefix can be exported.
    pub fn holds(&self, prefix: u64) -> bool {
        self.lock().cache.contains(&prefix)
    }
}

impl Inner {
    fn keep(&mut self, prefix: u64, limit: usize) -> bool {
        let hit = self.cache.contains(&prefix);
        self.cache.retain(|&each| each != prefix);
        self.cache.push(prefix);
        if !hit {
            self.publish(prefix, true);
        }
        if self.cache.len() > limit {
            let evicted = self.cache.remove(0);
            self.publish(evicted, false);
        }
        hit
    }

    fn publish(&mut self, prefix: u64, cached: bool) {
        /// Chance that an event is lost.
        const LOSS: f64 = 0.1;
        self.sequence += 1;
        if self.rng.random_bool(LOSS) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            cached,
        };
        self.events.push((Instant::now(), event));
        let extra = self.events.len().saturating_sub(EVENTS);
        self.events.drain(..extra);
    }
}

/// A request in the queue; dropping it leaves the queue.
#[derive(Debug)]
struct Waiting<'a> {
    state: &'a State,
    ticket: (u8, u64),
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.state
            .lock()
            .waiting
            .retain(|each| *each != self.ticket);
    }
}

impl Seat {
    /// Computes the prompt, less a cached prefix; tells whether the engine lived through it.
    pub async fn prefill(&self, prompt: &str, resumed: u32) -> bool {
        let mut end = PREFIX_BYTES.min(prompt.len());
        while !prompt.is_char_boundary(end) {
            end -= 1;
        }
        let prefix = xxhash_rust::xxh3::xxh3_64(&prompt.as_bytes()[..end]);
        let size = (prompt.len() / BYTES_PER_TOKEN) as u32 + resumed;
        let time = {
            let mut inner = self.state.lock();
            let hit = inner.keep(prefix, self.state.setting.cache);
            let computed = if hit { size / 2 } else { size };
            inner.counts.prefilled += u64::from(computed);
            Duration::from_micros((computed * self.state.setting.prefill_us).into())
                .mul_f64(inner.slowdown)
        };
        task::sleep(time).await;
        self.lives()
    }

    /// Generates one token; tells whether the engine lived through it.
    pub async fn step(&self) -> bool {
        let time = {
            let inner = self.state.lock();
            let fill = f64::from(inner.running) / f64::from(self.state.setting.slots.max(1));
            let step = Duration::from_micros(self.state.setting.step_us.into());
            step.mul_f64((1.0 + BATCH_SLOWDOWN * fill) * inner.slowdown)
        };
        task::sleep(time).await;
        self.rest_if_silenced().await;
        let lives = self.lives();
        if lives {
            let mut inner = self.state.lock();
            *inner.counts.tokens.entry(self.class.clone()).or_default() += 1;
        }
        lives
    }

    async fn rest_if_silenced(&self) {
        if self.state.lock().silence != self.silence {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the engine has not died since the request entered.
    pub fn lives(&self) -> bool {
        self.state.lock().boot == self.boot
    }

    /// Ends the request well.
    pub fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let slots = self.state.setting.slots;
        let mut inner = self.state.lock();
        if inner.boot != self.boot {
            return;
        }
        inner.running -= 1;
        if self.finished && inner.cold {
            inner.finished += 1;
            inner.cold = inner.finished < WARM_AFTER * slots;
        }
    }
}
