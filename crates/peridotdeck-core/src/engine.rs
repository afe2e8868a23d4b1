//! The state of one endpoint, as seen by the owner of its pool.
//!
//! The owner's own count of granted slots is current. Load reports arrive late. They only reveal
//! restarts and, after a change of owner, load that has not been reported to the new owner.

mod slots;

use std::time::Duration;

use peridotdeck_policy::Endpoint;
use peridotdeck_wire::{Outcome, Trust};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{id, mean::Mean};

/// Backoff after the first failure; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Ratio to the pool's median time to first token above which an endpoint is slow.
const SLOW_FIRST_TOKEN_FACTOR: f64 = 3.0;

/// Least excess over the median time to first token, in milliseconds, of a slow endpoint.
///
/// A smaller difference is normal variation, whatever the ratio.
const SLOW_FIRST_TOKEN_MARGIN_MS: f64 = 100.0;

/// Ratio to the pool's median inter-token latency above which an endpoint is slow.
const SLOW_TOKEN_GAP_FACTOR: f64 = 2.0;

/// Least excess over the median inter-token latency, in milliseconds, of a slow endpoint.
///
/// A smaller difference is normal variation, whatever the ratio.
const SLOW_TOKEN_GAP_MARGIN_MS: f64 = 4.0;

/// Weight of the newest answer in the running means of an endpoint's speed.
///
/// It is high so that a slow endpoint is detected within a few answers.
const NEWEST_SPEED_WEIGHT: f64 = 0.3;

/// Time that an endpoint may take to notice that the reader of a stream has disconnected.
const ABORTED_STREAM_LINGER: Duration = Duration::from_millis(300);

/// Time without a finished request after which a slow endpoint is probed.
///
/// The probe may be any waiting request, also an interactive one.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Most prefixes that an endpoint is assumed to hold in its cache.
const MAX_CACHED_PREFIXES: usize = 64;

/// Time after its last use for which a prefix is assumed to stay cached.
const MAX_PREFIX_AGE: Duration = Duration::from_secs(60);

/// Load report of an endpoint, as its HTTP interface returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the endpoint's process; a changed value means that it has restarted.
    pub boot: u64,
    /// Running requests.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub queued: u32,
    /// Whether the endpoint is ready for its full load.
    pub warm: bool,
}

/// Phase of an endpoint, which determines how much load it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// The endpoint gets its full load.
    Warm,
    /// The endpoint gets its cold load, and more as it finishes requests.
    Cold {
        /// Requests finished since the endpoint became cold.
        finished: u32,
    },
    /// The endpoint is slower than its peers and gets one request at a time as a probe.
    Slow,
    /// The endpoint failed and gets no requests during its backoff.
    Down {
        /// End of the backoff.
        until: id::Time,
    },
}

/// Speed of one answer; zero where nothing was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Speed {
    /// Time to first token.
    pub first_token: Duration,
    /// Mean inter-token latency.
    pub token_gap: Duration,
}

/// Median speeds over a pool's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Medians {
    /// Median time to first token in milliseconds.
    pub first_token_ms: f64,
    /// Median inter-token latency in milliseconds.
    pub token_gap_ms: f64,
}

/// State of one endpoint: its phase, its slots in use and its measured speed.
#[derive(Clone, Debug)]
pub struct State {
    endpoint: Endpoint,
    open: bool,
    phase: Phase,
    in_flight: u32,
    /// Failures since the last finished request.
    failures: u32,
    first_token: Mean,
    token_gap: Mean,
    /// Last load report and when it arrived.
    report: Option<(Report, id::Time)>,
    /// Highest load of each recent sample period, with its start.
    peak_loads: Vec<(id::Time, u32)>,
    /// When a request last finished at the endpoint.
    last_finished: id::Time,
    /// Times at which streams were closed early; the endpoint may still run them for a while.
    aborted: Vec<id::Time>,
    /// Prefix digests that the endpoint probably caches, with the time of their last use.
    prefixes: Vec<(u64, id::Time)>,
}

impl State {
    /// Creates the state of a cold endpoint, since nothing shows yet that it is warm.
    #[must_use]
    pub fn new(endpoint: Endpoint, open: bool) -> Self {
        Self {
            endpoint,
            open,
            phase: Phase::Cold { finished: 0 },
            in_flight: 0,
            failures: 0,
            first_token: Mean::default(),
            token_gap: Mean::default(),
            report: None,
            peak_loads: Vec::new(),
            last_finished: id::Time::ZERO,
            aborted: Vec::new(),
            prefixes: Vec::new(),
        }
    }

    /// Returns the endpoint's number.
    #[must_use]
    pub fn id(&self) -> id::Endpoint {
        self.endpoint.id
    }

    /// Returns the phase, which determines how much load the endpoint gets.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the slots in use.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the slots that the endpoint has when warm.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.endpoint.slots
    }

    /// Applies a configuration change.
    pub fn update(&mut self, endpoint: Endpoint, open: bool) {
        self.endpoint = endpoint;
        self.open = open;
    }

    /// Returns the progress of the warm-up, for the next owner.
    #[must_use]
    pub fn trust(&self) -> Trust {
        let finished = if let Phase::Cold { finished } = self.phase {
            finished
        } else {
            0
        };
        Trust {
            endpoint: self.endpoint.id,
            warm: self.phase == Phase::Warm,
            finished,
        }
    }

    /// Adopts the progress of the warm-up from the last owner.
    pub fn inherit_trust(&mut self, trust: &Trust) {
        self.phase = if trust.warm {
            Phase::Warm
        } else {
            Phase::Cold {
                finished: trust.finished,
            }
        };
    }

    /// Frees a slot and records the outcome and the speed of its attempt.
    ///
    /// # Panics
    /// Panics if no slot is in use, which is a bug in this program.
    pub fn finish(&mut self, outcome: Outcome, speed: Speed, now: id::Time) {
        self.release_slot(now);
        match outcome {
            Outcome::Finished => self.record_success(speed, now),
            Outcome::Unreachable | Outcome::Broken | Outcome::Silent => self.record_failure(now),
            Outcome::Cancelled | Outcome::Preempted | Outcome::Crossed => self.aborted.push(now),
            Outcome::Refused => {}
        }
    }

    fn record_success(&mut self, speed: Speed, now: id::Time) {
        self.failures = 0;
        self.last_finished = now;
        if speed.first_token > Duration::ZERO {
            self.first_token
                .add_with(speed.first_token, NEWEST_SPEED_WEIGHT);
        }
        if speed.token_gap > Duration::ZERO {
            self.token_gap
                .add_with(speed.token_gap, NEWEST_SPEED_WEIGHT);
        }
        if let Phase::Cold { finished } = &mut self.phase {
            *finished += 1;
            let finished = *finished;
            if self.cold_limit(finished) >= self.endpoint.slots {
                self.phase = Phase::Warm;
            }
        }
    }

    fn record_failure(&mut self, now: id::Time) {
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.phase = Phase::Down {
            until: now + backoff.min(MAX_BACKOFF),
        };
        self.prefixes.clear();
    }

    /// Ends an expired backoff and drops expired samples.
    ///
    /// After its backoff the endpoint is cold, because a crash loses its caches and its warm state.
    pub fn tick(&mut self, now: id::Time) {
        if let Phase::Down { until } = self.phase
            && now >= until
        {
            self.reset_to_cold();
        }
        self.aborted
            .retain(|&at| now.saturating_sub(at) < ABORTED_STREAM_LINGER);
        self.prefixes
            .retain(|&(_, used)| now.saturating_sub(used) < MAX_PREFIX_AGE);
    }

    fn reset_to_cold(&mut self) {
        self.phase = Phase::Cold { finished: 0 };
        self.first_token = Mean::default();
        self.token_gap = Mean::default();
        self.prefixes.clear();
    }

    /// Updates the phase from a load report.
    pub fn handle_report(&mut self, report: Report, now: id::Time) {
        let restarted = self.report.is_some_and(|(old, _)| old.boot != report.boot);
        self.report = Some((report, now));
        let down = matches!(self.phase, Phase::Down { .. });
        if restarted || (!report.warm && matches!(self.phase, Phase::Warm | Phase::Slow)) {
            if !down {
                self.reset_to_cold();
            }
        } else if report.warm && matches!(self.phase, Phase::Cold { .. }) {
            self.phase = Phase::Warm;
        }
    }

    /// Marks the endpoint as slow, or as warm again, by the medians of its pool.
    pub fn compare_with_medians(&mut self, median: Medians) {
        let exceeds = |value: Option<f64>, median: f64, factor: f64, floor: f64| {
            value.is_some_and(|value| value > median * factor && value > median + floor)
        };
        let slow = exceeds(
            self.first_token.value(),
            median.first_token_ms,
            SLOW_FIRST_TOKEN_FACTOR,
            SLOW_FIRST_TOKEN_MARGIN_MS,
        ) || exceeds(
            self.token_gap.value(),
            median.token_gap_ms,
            SLOW_TOKEN_GAP_FACTOR,
            SLOW_TOKEN_GAP_MARGIN_MS,
        );
        match self.phase {
            Phase::Warm if slow => self.phase = Phase::Slow,
            Phase::Slow if !slow => self.phase = Phase::Warm,
            _ => {}
        }
    }

    /// Returns whether interactive requests should go to other endpoints.
    ///
    /// This holds for a slow endpoint that has finished a request within `PROBE_INTERVAL`. Until
    /// the interval has passed, only bulk requests can show that it has recovered.
    #[must_use]
    pub fn excludes_interactive(&self, now: id::Time) -> bool {
        self.phase == Phase::Slow && now.saturating_sub(self.last_finished) < PROBE_INTERVAL
    }

    /// Returns the mean inter-token latency in milliseconds, if any was measured.
    #[must_use]
    pub fn token_gap_ms(&self) -> Option<f64> {
        self.token_gap.value()
    }

    /// Returns the mean time to first token in milliseconds, if any was measured.
    #[must_use]
    pub fn first_token_ms(&self) -> Option<f64> {
        self.first_token.value()
    }

    /// Returns whether the endpoint probably caches a prefix.
    #[must_use]
    pub fn caches(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.iter().any(|&(digest, _)| digest == prefix)
    }

    fn record_prefix(&mut self, prefix: u64, now: id::Time) {
        self.prefixes.retain(|&(digest, _)| digest != prefix);
        if self.prefixes.len() == MAX_CACHED_PREFIXES {
            self.prefixes.remove(0);
        }
        self.prefixes.push((prefix, now));
    }

    /// Returns the expected cost of one more request; lower is better.
    ///
    /// The unit is the mean time to first token of an idle endpoint of this pool.
    #[must_use]
    pub fn cost(&self, prefix: u64, median_ms: f64) -> f64 {
        /// Fraction of the time to first token that a cached prefix saves.
        const PREFIX_SAVING: f64 = 0.5;
        let relative = self
            .first_token
            .value()
            .map_or(1.0, |first| first / median_ms.max(1.0));
        let load = f64::from(self.in_flight) / f64::from(self.endpoint.slots.max(1));
        let saving = if self.caches(prefix) {
            PREFIX_SAVING
        } else {
            0.0
        };
        relative * (1.0 - saving) + 2.0 * load
    }
}
