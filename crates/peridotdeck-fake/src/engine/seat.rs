//! Places in an engine's batch, and in the queue before it.

use std::{sync::Arc, time::Duration};

use async_std::task;

use super::state::State;
use crate::text::BYTES_PER_TOKEN;

/// Part by which a full batch slows each step.
const BATCH_SLOWDOWN: f64 = 0.5;

/// Requests finished by a cold engine that turn it warm, as a multiple of its slots.
const WARM_AFTER: u32 = 2;

/// Bytes of the prompt's beginning that name a cached prefix.
const PREFIX_BYTES: usize = 64;

/// A place in the batch; dropping it gives the place up.
#[derive(Debug)]
pub struct Seat {
    state: Arc<State>,
    boot: u64,
    silence: u64,
    class: String,
    finished: bool,
}

impl Seat {
    /// Takes a place at the process that started as `boot`.
    pub(super) fn new(state: Arc<State>, boot: u64, silence: u64, class: &str) -> Self {
        Self {
            state,
            boot,
            silence,
            class: class.to_owned(),
            finished: false,
        }
    }

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
            let hit = inner.cache.keep(prefix, self.state.setting.cache);
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

/// A request in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub(super) struct Waiting<'a> {
    state: &'a State,
    ticket: (u8, u64),
}

impl<'a> Waiting<'a> {
    /// Names the request that waits by its priority and number.
    pub(super) fn new(state: &'a State, ticket: (u8, u64)) -> Self {
        Self { state, ticket }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.state
            .lock()
            .waiting
            .retain(|each| *each != self.ticket);
    }
}
