//! The usual speed of a service's endpoints, with which each of them is compared.

use std::time::Duration;

use super::{Figure, Speed};
use crate::id::Time;

/// Fewest samples of an endpoint from which a conclusion is drawn.
const MIN_COUNT: u32 = 3;

/// Deviation, as a natural logarithm, up to which endpoints count as equal.
const TOLERANCE: f64 = 0.22;

/// Further deviation that a single sample may show by chance, as a natural logarithm.
const CHANCE: f64 = 0.5;

/// Share of a stall's time for which work there is delayed.
const STALL_DELAY_SHARE: f64 = 0.6;

/// Factors on the expected times of one endpoint, and a delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Factor on the time to read prompts, or to answer plain requests.
    pub reading: f64,
    /// Factor on the time of decode steps.
    pub step: f64,
    /// Delay by a stall, in milliseconds.
    pub stall_ms: f64,
}

impl Pace {
    /// Pace of an endpoint that is as fast as usual.
    pub const EVEN: Self = Self {
        reading: 1.0,
        step: 1.0,
        stall_ms: 0.0,
    };
}

/// Median speeds of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Natural logarithms of the medians.
    reading: f64,
    step: f64,
    /// Time that stalls of the service last.
    stall: Duration,
}

impl Usual {
    /// Returns the medians over the endpoints of a service.
    #[must_use]
    pub fn of<'a>(speeds: impl Iterator<Item = &'a Speed> + Clone, stall: Duration) -> Self {
        Self {
            reading: median(speeds.clone().map(|speed| speed.reading)),
            step: median(speeds.map(|speed| speed.step)),
            stall,
        }
    }

    /// Returns an endpoint's factors in relation to the medians.
    ///
    /// A figure without enough samples is taken from the other one.
    #[must_use]
    pub fn pace(&self, speed: &Speed, now: Time) -> Pace {
        let reading = relative(speed.reading, self.reading);
        let step = relative(speed.step, self.step);
        let stall = speed.stall(now);
        let left = stall.map_or(Duration::ZERO, |stall| stall.left(self.stall, now));
        Pace {
            reading: reading.or(step).unwrap_or(1.0),
            step: step.or(reading).unwrap_or(1.0),
            stall_ms: left.as_secs_f64() * 1e3 * STALL_DELAY_SHARE,
        }
    }
}

/// Returns the median logarithm of the figures with enough samples; 0 without any.
fn median(figures: impl Iterator<Item = Figure>) -> f64 {
    let known = figures.filter(|figure| figure.count() >= MIN_COUNT);
    let mut logarithms: Vec<f64> = known.map(Figure::logarithm).collect();
    logarithms.sort_by(f64::total_cmp);
    logarithms.get(logarithms.len() / 2).copied().unwrap_or(0.0)
}

/// Returns an endpoint's factor, 1 if it may be chance, if there are enough samples.
fn relative(figure: Figure, usual: f64) -> Option<f64> {
    if figure.count() < MIN_COUNT {
        return None;
    }
    let deviation = figure.logarithm() - usual;
    let tolerance = TOLERANCE + CHANCE / f64::from(figure.count()).sqrt();
    let is_chance = deviation.abs() <= tolerance;
    Some(if is_chance { 1.0 } else { deviation.exp() })
}
