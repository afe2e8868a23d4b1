//! How many requests of an organisation have come to a node of late.

use std::time::Duration;

use crate::id::Time;

/// Time in which the weight of past requests falls to about a third.
const MEMORY: Duration = Duration::from_secs(2);

/// Recent demand, admitted or not, as a rate that fades.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    count: f64,
    updated: Time,
}

impl Demand {
    /// Counts one request.
    pub fn record(&mut self, now: Time) {
        self.count = self.faded(now) + 1.0;
        self.updated = now;
    }

    /// Returns the requests per second of late.
    #[must_use]
    pub fn per_second(&self, now: Time) -> f64 {
        self.faded(now) / MEMORY.as_secs_f64()
    }

    /// Returns whether a request has come lately.
    #[must_use]
    pub fn is_any(&self, now: Time) -> bool {
        /// Count below which the last request was about four times [`MEMORY`] ago.
        const NEGLIGIBLE: f64 = 0.02;
        self.faded(now) > NEGLIGIBLE
    }

    fn faded(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.count * (-age / MEMORY.as_secs_f64()).exp()
    }
}
