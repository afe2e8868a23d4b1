//! What the owner of a pool knows about one endpoint.
//!
//! The owner's own count of granted slots is current; load reports arrive late, so they only
//! reveal restarts and, after a change of owner, the load that nobody has told the new owner of.

use std::time::Duration;

use peridotdeck_policy::Endpoint;
use peridotdeck_wire::{Outcome, Trust};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{id, mean::Mean};

/// First pause after a failure; it doubles with each further failure.
const BACKOFF: Duration = Duration::from_millis(500);

/// Longest pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Finished requests for which a cold endpoint gets one more slot.
const FINISHED_PER_SLOT: u32 = 2;

/// A first token this many times slower than the pool's median marks an endpoint as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Differences below this are noise, whatever the ratio.
const SLOW_FLOOR_MS: f64 = 100.0;

/// A gap between tokens this many times longer than the median marks an endpoint as slow too.
const SLOW_GAP_FACTOR: f64 = 2.0;

/// Differences of the gap below this are noise.
const SLOW_GAP_FLOOR_MS: f64 = 4.0;

/// Weight of the newest answer: a slow endpoint must show within a few.
const NEWEST: f64 = 0.3;

/// Time over which the most load is remembered as one figure.
const MOMENT: Duration = Duration::from_millis(250);

/// Time that an endpoint may take to notice that a stream's reader has gone.
const LINGER: Duration = Duration::from_millis(300);

/// Time without an answer after which a slow endpoint is probed with whatever waits.
const PROBE: Duration = Duration::from_secs(4);

/// Prefixes that an endpoint is assumed to hold in its cache.
const PREFIXES: usize = 64;

/// Time for which a prefix is assumed to stay cached.
const PREFIX_AGE: Duration = Duration::from_secs(60);

/// Age after which a report says nothing about the present; younger ones may be this late.
const REPORT_AGE: Duration = Duration::from_secs(3);

/// Load report of an endpoint, as its HTTP interface gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the endpoint's process; another value means that it has restarted.
    pub boot: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub queued: u32,
    /// Whether it can bear its full load.
    pub warm: bool,
}

/// How much an endpoint is trusted with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// It takes its full load.
    Warm,
    /// It takes its cold load and more with each finished request.
    Cold {
        /// Requests finished since it turned cold.
        finished: u32,
    },
    /// It is slower than its peers and gets one probe at a time.
    Slow,
    /// It failed and rests.
    Down {
        /// End of the rest.
        until: id::Time,
    },
}

/// How fast an endpoint answered one request; zero where nothing was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Speed {
    /// Time to the first token.
    pub first: Duration,
    /// Mean gap between tokens.
    pub gap: Duration,
}

/// Medians over a pool's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Medians {
    /// Time to the first token in milliseconds.
    pub first_ms: f64,
    /// Gap between tokens in milliseconds.
    pub gap_ms: f64,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct State {
    endpoint: Endpoint,
    open: bool,
    phase: Phase,
    in_flight: u32,
    failures: u32,
    first: Mean,
    gap: Mean,
    report: Option<(Report, id::Time)>,
    loads: Vec<(id::Time, u32)>,
    answered: id::Time,
    closed: Vec<id::Time>,
    prefixes: Vec<(u64, id::Time)>,
}

impl State {
    /// Starts with a cold endpoint: nobody has vouched for it yet.
    #[must_use]
    pub fn new(endpoint: Endpoint, open: bool) -> Self {
        Self {
            endpoint,
            open,
            phase: Phase::Cold { finished: 0 },
            in_flight: 0,
            failures: 0,
            first: Mean::default(),
            gap: Mean::default(),
            report: None,
            loads: Vec::new(),
            answered: id::Time::ZERO,
            closed: Vec::new(),
            prefixes: Vec::new(),
        }
    }

    /// Returns the endpoint's number.
    #[must_use]
    pub fn id(&self) -> id::Endpoint {
        self.endpoint.id
    }

    /// Returns how much the endpoint is trusted with.
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

    /// Follows a configuration change.
    pub fn update(&mut self, endpoint: Endpoint, open: bool) {
        self.endpoint = endpoint;
        self.open = open;
    }

    /// Returns the requests that this owner may have at the endpoint now.
    ///
    /// Load that others put there counts against it. While the owner is `settling`, cold endpoints
    /// get nothing, so that two owners together never exceed the cold limit.
    #[must_use]
    pub fn limit(&self, now: id::Time, settling: bool) -> u32 {
        if !self.open {
            return 0;
        }
        let limit = match self.phase {
            Phase::Warm => self.endpoint.slots,
            Phase::Cold { .. } if settling => 0,
            Phase::Cold { finished } => self
                .cold_limit(finished)
                .saturating_sub(self.lingering(now)),
            Phase::Slow => 1,
            Phase::Down { .. } => 0,
        };
        limit.saturating_sub(self.foreign_load(now))
    }

    /// Returns the streams that were closed early and may still run. A warm endpoint can bear them;
    /// a cold one may not.
    fn lingering(&self, now: id::Time) -> u32 {
        self.closed
            .iter()
            .filter(|&&at| now.saturating_sub(at) < LINGER)
            .count() as u32
    }

    /// Returns the reported load that this owner has not granted: of an owner before it, or of a
    /// node that cannot tell what it holds.
    ///
    /// A report may be late, so it is held against the most that this owner had in the meantime.
    fn foreign_load(&self, now: id::Time) -> u32 {
        let Some((report, at)) = self.report else {
            return 0;
        };
        if now.saturating_sub(at) > REPORT_AGE {
            return 0;
        }
        let most = self.loads.iter().map(|(_, load)| *load).max().unwrap_or(0);
        (report.running + report.queued).saturating_sub(most.max(self.in_flight))
    }

    /// Remembers the most load in each of the last few moments, back to the oldest that a report
    /// may still show.
    fn note_load(&mut self, now: id::Time) {
        let old = self
            .loads
            .partition_point(|(at, _)| now.saturating_sub(*at) > REPORT_AGE);
        // The last old one was in force at the beginning of the window.
        self.loads.drain(..old.saturating_sub(1));
        match self.loads.last_mut() {
            Some((at, most)) if now.saturating_sub(*at) < MOMENT => {
                *most = (*most).max(self.in_flight);
            }
            _ => self.loads.push((now, self.in_flight)),
        }
    }

    /// Returns the free slots.
    #[must_use]
    pub fn free(&self, now: id::Time, settling: bool) -> u32 {
        self.limit(now, settling).saturating_sub(self.in_flight)
    }

    fn cold_limit(&self, finished: u32) -> u32 {
        let earned = self.endpoint.cold_slots + finished / FINISHED_PER_SLOT;
        earned.min(self.endpoint.slots)
    }

    /// Takes a slot.
    pub fn take(&mut self, prefix: u64, now: id::Time) {
        self.in_flight += 1;
        self.note_load(now);
        if prefix != 0 {
            self.remember(prefix, now);
        }
    }

    /// Counts a slot that is in use already, told by the entry node that holds it.
    pub fn adopt(&mut self, now: id::Time) {
        self.in_flight += 1;
        self.note_load(now);
    }

    /// Returns how much the endpoint is trusted with, for the next owner.
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

    /// Takes over the last owner's trust.
    pub fn believe(&mut self, trust: &Trust) {
        self.phase = if trust.warm {
            Phase::Warm
        } else {
            Phase::Cold {
                finished: trust.finished,
            }
        };
    }

    /// Returns a slot whose holder has vanished.
    ///
    /// # Panics
    /// If no slot is in use, which is a fault of this program.
    pub fn release(&mut self, now: id::Time) {
        assert!(
            self.in_flight > 0,
            "endpoint {} has negative load",
            self.endpoint.id
        );
        self.in_flight -= 1;
        self.note_load(now);
    }

    /// Returns a slot and learns from how the attempt went.
    pub fn finish(&mut self, outcome: Outcome, speed: Speed, now: id::Time) {
        self.release(now);
        match outcome {
            Outcome::Finished => self.succeed(speed, now),
            Outcome::Unreachable | Outcome::Broken | Outcome::Silent => self.fail(now),
            Outcome::Cancelled | Outcome::Preempted | Outcome::Crossed => self.closed.push(now),
            Outcome::Refused => {}
        }
    }

    fn succeed(&mut self, speed: Speed, now: id::Time) {
        self.failures = 0;
        self.answered = now;
        if speed.first > Duration::ZERO {
            self.first.add_with(speed.first, NEWEST);
        }
        if speed.gap > Duration::ZERO {
            self.gap.add_with(speed.gap, NEWEST);
        }
        if let Phase::Cold { finished } = &mut self.phase {
            *finished += 1;
            let finished = *finished;
            if self.cold_limit(finished) >= self.endpoint.slots {
                self.phase = Phase::Warm;
            }
        }
    }

    fn fail(&mut self, now: id::Time) {
        let doubled = BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.phase = Phase::Down {
            until: now + doubled.min(MAX_BACKOFF),
        };
        self.prefixes.clear();
    }

    /// Ends a rest: the endpoint returns cold, because a crash empties it.
    pub fn tick(&mut self, now: id::Time) {
        if let Phase::Down { until } = self.phase
            && now >= until
        {
            self.turn_cold();
        }
        self.closed.retain(|&at| now.saturating_sub(at) < LINGER);
        self.prefixes
            .retain(|&(_, used)| now.saturating_sub(used) < PREFIX_AGE);
    }

    fn turn_cold(&mut self) {
        self.phase = Phase::Cold { finished: 0 };
        self.first = Mean::default();
        self.gap = Mean::default();
        self.prefixes.clear();
    }

    /// Learns from a load report.
    pub fn handle_report(&mut self, report: Report, now: id::Time) {
        let restarted = self.report.is_some_and(|(old, _)| old.boot != report.boot);
        self.report = Some((report, now));
        let down = matches!(self.phase, Phase::Down { .. });
        if restarted || (!report.warm && matches!(self.phase, Phase::Warm | Phase::Slow)) {
            if !down {
                self.turn_cold();
            }
        } else if report.warm && matches!(self.phase, Phase::Cold { .. }) {
            self.phase = Phase::Warm;
        }
    }

    /// Compares with the medians of the pool's endpoints, in milliseconds.
    pub fn compare(&mut self, median: Medians) {
        let exceeds = |value: Option<f64>, median: f64, factor: f64, floor: f64| {
            value.is_some_and(|value| value > median * factor && value > median + floor)
        };
        let slow = exceeds(
            self.first.value(),
            median.first_ms,
            SLOW_FACTOR,
            SLOW_FLOOR_MS,
        ) || exceeds(
            self.gap.value(),
            median.gap_ms,
            SLOW_GAP_FACTOR,
            SLOW_GAP_FLOOR_MS,
        );
        match self.phase {
            Phase::Warm if slow => self.phase = Phase::Slow,
            Phase::Slow if !slow => self.phase = Phase::Warm,
            _ => {}
        }
    }

    /// Returns whether interactive work should go elsewhere: the endpoint is slow, and bulk or time
    /// has not yet shown otherwise.
    #[must_use]
    pub fn is_shunned(&self, now: id::Time) -> bool {
        self.phase == Phase::Slow && now.saturating_sub(self.answered) < PROBE
    }

    /// Returns the mean gap between tokens in milliseconds.
    #[must_use]
    pub fn gap_ms(&self) -> Option<f64> {
        self.gap.value()
    }

    /// Returns the mean time to the first token in milliseconds.
    #[must_use]
    pub fn first_ms(&self) -> Option<f64> {
        self.first.value()
    }

    /// Returns whether the endpoint probably caches a prefix.
    #[must_use]
    pub fn holds(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.iter().any(|&(each, _)| each == prefix)
    }

    fn remember(&mut self, prefix: u64, now: id::Time) {
        self.prefixes.retain(|&(each, _)| each != prefix);
        if self.prefixes.len() == PREFIXES {
            self.prefixes.remove(0);
        }
        self.prefixes.push((prefix, now));
    }

    /// Returns the expected cost of one more request: lower is better.
    ///
    /// The unit is the mean first-token time of an idle endpoint of this pool.
    #[must_use]
    pub fn cost(&self, prefix: u64, median_ms: f64) -> f64 {
        /// Part of the first-token time that a cached prefix saves.
        const PREFIX_SAVING: f64 = 0.5;
        let relative = self
            .first
            .value()
            .map_or(1.0, |first| first / median_ms.max(1.0));
        let load = f64::from(self.in_flight) / f64::from(self.endpoint.slots.max(1));
        let saving = if self.holds(prefix) {
            PREFIX_SAVING
        } else {
            0.0
        };
        relative * (1.0 - saving) + 2.0 * load
    }
}
