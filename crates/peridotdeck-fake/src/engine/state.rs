//! The batch, the cache and the faults of an engine.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use peridotdeck_http::server::AcceptState;
use serde::{Deserialize, Serialize};

use super::{
    cache::{Cache, CacheEvent},
    seat::{Seat, Waiting},
    setting::Setting,
};

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

/// The part of the state that changes.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) boot: u64,
    pub(super) running: u32,
    pub(super) waiting: Vec<(u8, u64)>,
    next_ticket: u64,
    pub(super) cold: bool,
    pub(super) finished: u32,
    pub(super) slowdown: f64,
    pub(super) silence: u64,
    cross: bool,
    denial: Option<u16>,
    shift: i32,
    fence: u64,
    pub(super) cache: Cache,
    reports: Vec<(Instant, Load)>,
    pub(super) counts: Counts,
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
            cache: Cache::new(setting.seed),
            reports: Vec::new(),
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

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
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
        let waiting = Waiting::new(self, ticket);
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
        Ok(Some(Seat::new(Arc::clone(self), boot, silence, class)))
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
        let lag = Duration::from_millis(self.setting.report_lag.into());
        self.lock().cache.events(after, lag)
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
        self.lock().cache.keep(prefix, self.setting.cache);
    }

    /// Returns whether a prefix can be exported.
    pub fn holds(&self, prefix: u64) -> bool {
        self.lock().cache.holds(prefix)
    }
}
