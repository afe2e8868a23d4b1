//! State of one endpoint at this node: load, health, slowdown and paths.

use std::time::Duration;

use super::{
    Key, Software, balance::Correction, due::CacheQuery, path::Path, registry, speed::Speed,
};
use crate::{id::Time, limit::Bucket};

/// Time in which the weight of an attempt's outcome falls to a half.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time for which an endpoint counts as silent, unless an answer begins.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Weight of the newest answer in the moving average of the slowdown.
const NEWEST_WEIGHT: f64 = 0.1;

/// Share of failed attempts that any endpoint may show by chance.
pub const CHANCE_FAILURE_SHARE: f64 = 0.15;

/// Bounds of the slowdown of one answer, so that a single one cannot dominate the average.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 12.0);

/// Unfinished requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests.
    pub running: u32,
    /// Prompt tokens before prefill.
    pub unread: u32,
    /// Number of requests that are the most urgent streams of their service.
    pub urgent: u32,
}

impl Load {
    /// Adds another load, up to the largest number.
    pub fn add(&mut self, other: Self) {
        self.running = self.running.saturating_add(other.running);
        self.unread = self.unread.saturating_add(other.unread);
        self.urgent = self.urgent.saturating_add(other.urgent);
    }

    /// Subtracts another load, down to zero.
    pub fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread = self.unread.saturating_sub(other.unread);
        self.urgent = self.urgent.saturating_sub(other.urgent);
    }
}

/// Outcomes of attempts, weighted by how recent they are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    good: f64,
    bad: f64,
    updated: Time,
}

impl Health {
    /// Adds an outcome to the counts.
    ///
    /// `weight` is 1 for an unexpected outcome and smaller for one that was to be expected.
    pub fn record(&mut self, good: bool, weight: f64, now: Time) {
        *self = self.decayed(now);
        if good {
            self.good += weight;
        } else {
            self.bad += weight;
        }
    }

    /// Returns the decayed weights of good and of bad outcomes.
    #[must_use]
    pub fn weights(&self, now: Time) -> (f64, f64) {
        let health = self.decayed(now);
        (health.good, health.bad)
    }

    /// Replaces the counts by those that a peer reported.
    pub fn set(&mut self, good: f64, bad: f64, now: Time) {
        *self = Self {
            good,
            bad,
            updated: now,
        };
    }

    fn decayed(self, now: Time) -> Self {
        let halves = now.saturating_sub(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halves);
        Self {
            good: self.good * factor,
            bad: self.bad * factor,
            updated: now,
        }
    }
}

/// State of one endpoint at this node.
#[derive(Clone, Debug)]
pub struct State {
    /// Digest of the endpoint's id and start.
    pub key: Key,
    /// The endpoint's entry in the registry.
    pub info: registry::Endpoint,
    /// Digest of the version of the endpoint's software.
    pub software: Software,
    /// Region of the endpoint's data centre.
    pub region: String,
    /// Load that this node has sent to the endpoint.
    pub own_load: Load,
    /// Load that other nodes report to have sent to the endpoint.
    pub peer_load: Load,
    /// Correction of the reported load by its age; none unless the feature is switched on.
    pub correction: Correction,
    /// Outcomes of this node's attempts.
    pub health: Health,
    /// Outcomes that a peer reported last.
    pub peer_health: Health,
    /// This node's paths to the endpoint.
    pub path: Path,
    /// Lasting speed and stalls, if these are told apart.
    pub speed: Speed,
    slowdown: f64,
    cold_until: Time,
    /// Time at which the endpoint was taken for restarted, and the end of its cold time before.
    presumed: Option<(Time, Time)>,
    cold_bucket: Bucket,
    departing: bool,
    replaced: bool,
    paused_until: Time,
    silent_until: Time,
}

impl State {
    /// Creates the state of an endpoint that has just become known.
    #[must_use]
    pub fn new(info: registry::Endpoint, region: String, now: Time) -> Self {
        let cold_until = now + info.cold;
        Self {
            key: info.key(),
            software: info.software(),
            info,
            region,
            own_load: Load::default(),
            peer_load: Load::default(),
            correction: Correction::default(),
            health: Health::default(),
            peer_health: Health::default(),
            path: Path::default(),
            speed: Speed::default(),
            slowdown: 1.0,
            cold_until,
            presumed: None,
            cold_bucket: Bucket::full(1.0, now),
            departing: false,
            replaced: false,
            paused_until: Time::ZERO,
            silent_until: Time::ZERO,
        }
    }

    /// Replaces the registry entry and the region of its data centre; a changed cold time starts anew.
    pub fn update(&mut self, info: registry::Endpoint, region: String, now: Time) {
        if info.cold != self.info.cold {
            self.cold_until = now + info.cold;
        }
        self.software = info.software();
        self.region = region;
        self.info = info;
    }

    /// Returns the load of this node and its peers together, as it probably is now.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.correction.apply(self.peer_load));
        load
    }

    /// Returns the mean ratio of observed to expected answer time; 1 is as expected.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns whether a request got no answer lately, and none has begun since.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        now < self.silent_until
    }

    /// Records that a request got no answer in the time in which others do.
    pub fn record_silence(&mut self, now: Time) {
        self.silent_until = now + SILENCE;
    }

    /// Updates the slowdown with the time to an answer.
    pub fn record_answer_time(&mut self, expected: Duration, observed: Duration) {
        self.silent_until = Time::ZERO;
        let ratio = observed.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown += NEWEST_WEIGHT * (ratio - self.slowdown);
    }

    /// Returns whether the endpoint is cold and takes only a limited request rate.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns the call for the list of what the endpoint has cached.
    #[must_use]
    pub fn cache_query(&self) -> CacheQuery {
        CacheQuery {
            key: self.key,
            address: self.info.address,
        }
    }

    /// Treats the endpoint as cold at least until a time, since it may have restarted.
    pub fn presume_cold(&mut self, until: Time, now: Time) {
        let (_, before) = self.presumed.unwrap_or((now, self.cold_until));
        self.presumed = Some((now, before));
        self.cold_until = self.cold_until.max(until);
    }

    /// Records that the endpoint still answers a request that was sent at a time.
    ///
    /// If that was before it was taken for restarted, it has not restarted.
    pub fn confirm_process(&mut self, sent: Time) {
        if let Some((at, before)) = self.presumed
            && sent < at
        {
            self.cold_until = before;
            self.presumed = None;
        }
    }

    /// Takes a token for one request from this node's share of a cold endpoint's rate.
    ///
    /// `rate` is the share in requests per second.
    ///
    /// # Errors
    /// Returns the wait until the share allows another request.
    pub fn admit_while_cold(&mut self, rate: f64, now: Time) -> Result<(), Duration> {
        self.cold_bucket.take(rate, 1.0, now)
    }

    /// Returns whether the endpoint has announced its departure in an answer.
    #[must_use]
    pub fn is_departing(&self) -> bool {
        self.departing
    }

    /// Returns whether the endpoint answers, and fails no more than any endpoint may by chance.
    #[must_use]
    pub fn is_sound(&self, now: Time) -> bool {
        let fails = self.failure_rate(now) > CHANCE_FAILURE_SHARE;
        !fails && !self.is_silent(now) && !self.path.is_suspected()
    }

    /// Marks the endpoint as departing, which never ends.
    pub fn mark_departing(&mut self) {
        self.departing = true;
    }

    /// Returns whether another process runs under the endpoint's id by now, perhaps of other software.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Marks the endpoint's process as replaced, which never ends; the next one has a key of its own.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
    }

    /// Returns how long the endpoint still wants nothing from this node, if it has said so.
    #[must_use]
    pub fn pause_left(&self, now: Time) -> Option<Duration> {
        let left = self.paused_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Sends nothing to the endpoint until a time that it has announced.
    pub fn pause(&mut self, until: Time) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns the share of recent attempts that failed, including those that peers reported.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        /// Weight of good outcomes that every endpoint starts with.
        const ASSUMED_GOOD: f64 = 1.5;
        let (good, bad) = self.health.weights(now);
        let (peer_good, peer_bad) = self.peer_health.weights(now);
        (bad + peer_bad) / (good + peer_good + bad + peer_bad + ASSUMED_GOOD)
    }
}
