//! How long complete answers have taken, by route.
//!
//! A node that leaves accepts a request only if the answer is expected to end before the node does.
//! The bound is that of TCP's retransmission timer (RFC 6298): a smoothed mean and four times the
//! smoothed deviation, so that routes whose answers differ much get more time. Streams are measured
//! for each token that they may produce, because the length of one says little about the next.

use std::time::Duration;

/// Weights of the newest sample in the mean and in the deviation.
const NEWEST_WEIGHTS: (f64, f64) = (0.125, 0.25);

/// Number of deviations between the mean and the bound.
const BOUND_DEVIATIONS: f64 = 4.0;

/// Times of one complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time from the sending of the request to the first event, or to the end of a plain answer.
    pub first: Duration,
    /// Time from the first event to the end; zero for a plain answer.
    pub rest: Duration,
    /// Largest number of tokens that the answer could have; 0 if unknown.
    pub tokens: u32,
}

/// Durations of complete answers, sorted by the name of their route.
#[derive(Clone, Debug, Default)]
pub struct Table {
    routes: Vec<Route>,
}

#[derive(Clone, Debug)]
struct Route {
    name: String,
    /// Milliseconds to the first event.
    first: Spread,
    /// Milliseconds for each token after it, or for all of them if their number is unknown.
    rest: Spread,
}

/// Smoothed mean and deviation of a series.
#[derive(Clone, Copy, Debug)]
struct Spread {
    mean: f64,
    deviation: f64,
}

impl Spread {
    fn new(sample: f64) -> Self {
        Self {
            mean: sample,
            deviation: sample / 2.0,
        }
    }

    fn add(&mut self, sample: f64) {
        let error = sample - self.mean;
        self.deviation += NEWEST_WEIGHTS.1 * (error.abs() - self.deviation);
        self.mean += NEWEST_WEIGHTS.0 * error;
    }

    fn bound(&self) -> f64 {
        self.mean + BOUND_DEVIATIONS * self.deviation
    }
}

impl Table {
    /// Adds the times of a complete answer.
    pub fn record(&mut self, route: &str, sample: Sample) {
        let first = millis(sample.first);
        let rest = millis(sample.rest) / units(sample.tokens);
        match self.find(route) {
            Ok(index) => {
                self.routes[index].first.add(first);
                self.routes[index].rest.add(rest);
            }
            Err(index) => {
                let route = Route {
                    name: route.to_owned(),
                    first: Spread::new(first),
                    rest: Spread::new(rest),
                };
                self.routes.insert(index, route);
            }
        }
    }

    /// Returns the time in which an answer of at most `tokens` tokens is expected to be complete.
    ///
    /// Returns nothing for a route without a complete answer so far.
    #[must_use]
    pub fn bound(&self, route: &str, tokens: u32) -> Option<Duration> {
        let index = self.find(route).ok()?;
        let route = &self.routes[index];
        let bound = route.first.bound() + route.rest.bound() * units(tokens);
        Duration::try_from_secs_f64(bound / 1e3).ok()
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|known| known.name.as_str().cmp(route))
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the number by which the time after the first event is divided.
fn units(tokens: u32) -> f64 {
    f64::from(tokens.max(1))
}
