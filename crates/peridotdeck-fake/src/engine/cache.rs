//! The prefixes that an engine has cached, and the events that say so.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Cache events kept for readers.
const EVENTS: usize = 256;

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

/// Cached prefixes, the least recently used one first.
#[derive(Debug)]
pub struct Cache {
    prefixes: Vec<u64>,
    events: Vec<(Instant, CacheEvent)>,
    sequence: u64,
    rng: SmallRng,
}

impl Cache {
    /// Creates an empty cache, whose lost events depend on a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            prefixes: Vec::new(),
            events: Vec::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds a prefix, or marks it as used; returns whether it was cached.
    ///
    /// Beyond `limit` prefixes the least recently used one is evicted.
    pub fn keep(&mut self, prefix: u64, limit: usize) -> bool {
        let hit = self.holds(prefix);
        self.prefixes.retain(|&each| each != prefix);
        self.prefixes.push(prefix);
        if !hit {
            self.publish(prefix, true);
        }
        if self.prefixes.len() > limit {
            let evicted = self.prefixes.remove(0);
            self.publish(evicted, false);
        }
        hit
    }

    /// Returns whether a prefix is cached.
    pub fn holds(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Forgets all prefixes, and says nothing of it, as an engine that starts again does.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Returns the events after a sequence number that are at least as old as `lag`.
    pub fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let late = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        late.map(|(_, event)| *event)
            .filter(|event| event.sequence > after)
            .collect()
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
