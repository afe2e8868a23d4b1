//! What a node knows about one endpoint.

use std::time::Duration;

use super::{Key, registry};
use crate::{id::Time, limit::Bucket};

/// First rest after a failure to reach the endpoint; it doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Longest rest.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time in which the weight of an observed end falls to a half.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of the newest answer in the slowdown.
const NEWEST_WEIGHT: f64 = 0.1;

/// Bounds of the slowdown: one answer must not condemn or exalt an endpoint.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 12.0);

/// Unfinished work at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens that have yet to be read.
    pub unread: u32,
    /// Requests with a short target among those that run.
    pub urgent: u32,
}

impl Load {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.unread += other.unread;
        self.urgent += other.urgent;
    }

    /// Takes other work away.
    pub fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread = self.unread.saturating_sub(other.unread);
        self.urgent = self.urgent.saturating_sub(other.urgent);
    }
}

/// Ends of attempts, weighted by how recent they are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    good: f64,
    bad: f64,
    at: Time,
}

impl Health {
    /// Counts an end; `weight` is how surprising it is.
    pub fn record(&mut self, good: bool, weight: f64, now: Time) {
        *self = self.decayed(now);
        if good {
            self.good += weight;
        } else {
            self.bad += weight;
        }
    }

    /// Returns good and bad ends as they weigh now.
    #[must_use]
    pub fn weights(&self, now: Time) -> (f64, f64) {
        let health = self.decayed(now);
        (health.good, health.bad)
    }

    /// Replaces the counts by those that a peer told.
    pub fn set(&mut self, good: f64, bad: f64, now: Time) {
        *self = Self { good, bad, at: now };
    }

    fn decayed(self, now: Time) -> Self {
        let halves = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halves);
        Self {
            good: self.good * factor,
            bad: self.bad * factor,
            at: now,
        }
    }
}

/// State of one endpoint at this node.
#[derive(Clone, Debug)]
pub struct State {
    /// Digest of its id and start.
    pub key: Key,
    /// What it says of itself.
    pub info: registry::Endpoint,
    /// Region of its data centre.
    pub region: String,
    /// Work that this node has sent it.
    pub own_load: Load,
    /// Work that other nodes have sent it.
    pub peer_load: Load,
    /// Ends that this node has seen.
    pub health: Health,
    /// Ends that other nodes have told.
    pub peer_health: Health,
    slowdown: f64,
    cold_until: Time,
    cold_bucket: Bucket,
    backoff_until: Time,
    failures: u32,
    suspected: bool,
    probing: bool,
}

impl State {
    /// Starts with an endpoint that has just become known.
    #[must_use]
    pub fn new(info: registry::Endpoint, region: String, now: Time) -> Self {
        let cold_until = now + info.cold;
        Self {
            key: info.key(),
            info,
            region,
            own_load: Load::default(),
            peer_load: Load::default(),
            health: Health::default(),
            peer_health: Health::default(),
            slowdown: 1.0,
            cold_until,
            cold_bucket: Bucket::full(1.0, now),
            backoff_until: Time::ZERO,
            failures: 0,
            suspected: false,
            probing: false,
        }
    }

    /// Follows a change of the endpoint's entry.
    pub fn update(&mut self, info: registry::Endpoint, now: Time) {
        if info.cold != self.info.cold {
            self.cold_until = now + info.cold;
        }
        self.info = info;
    }

    /// Returns all work that is known.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_load);
        load
    }

    /// Returns how much slower than expected the endpoint answers.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Learns from the time to an answer.
    pub fn record_answer_time(&mut self, expected: Duration, observed: Duration) {
        let ratio = observed.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown += NEWEST_WEIGHT * (ratio - self.slowdown);
    }

    /// Returns whether the endpoint bears little now.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Notes that the endpoint bears little for a while.
    pub fn mark_cold(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Takes one request's worth of this node's share of what a cold endpoint bears.
    ///
    /// # Errors
    /// The wait until the share allows one more.
    pub fn admit_while_cold(&mut self, rate: f64, now: Time) -> Result<(), Duration> {
        self.cold_bucket.take(rate, 1.0, now)
    }

    /// Returns whether the endpoint rests after it could not be reached.
    #[must_use]
    pub fn is_in_backoff(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether a connection ended without a word, and no probe has been answered since.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Returns when a probe should show whether the endpoint is there.
    #[must_use]
    pub fn probe_due(&self) -> Option<Time> {
        let needed = self.failures > 0 || self.suspected;
        (needed && !self.probing).then_some(self.backoff_until)
    }

    /// Starts a probe.
    pub fn start_probe(&mut self) {
        self.probing = true;
    }

    /// Notes that the endpoint could not be reached.
    pub fn record_unreachable(&mut self, now: Time) {
        self.probing = false;
        let backoff = FIRST_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Asks for a probe at once: a connection ended without a word.
    pub fn suspect(&mut self, now: Time) {
        self.suspected = true;
        if self.failures == 0 {
            self.backoff_until = now;
        }
    }

    /// Ends the rest, because a connection was accepted, and returns whether there was one.
    pub fn record_reachable(&mut self) -> bool {
        self.probing = false;
        self.suspected = false;
        std::mem::take(&mut self.failures) > 0
    }

    /// Returns the part of recent attempts that failed, over all nodes that are heard.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        /// Good ends that are assumed at the beginning.
        const ASSUMED_GOOD: f64 = 1.5;
        let (good, bad) = self.health.weights(now);
        let (peer_good, peer_bad) = self.peer_health.weights(now);
        (bad + peer_bad) / (good + peer_good + bad + peer_bad + ASSUMED_GOOD)
    }
}
