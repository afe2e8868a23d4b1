//! Running means that weigh new samples more than old ones.

use crate::id;

/// Weight of the newest sample in a running mean, between 0 and 1.
pub(crate) const NEWEST_WEIGHT: f64 = 0.1;

/// A running mean of durations in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: Option<f64>,
}

impl Mean {
    /// Returns the mean in milliseconds once there is a sample.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: id::Time) {
        self.add_with(sample, NEWEST_WEIGHT);
    }

    /// Adds a sample with its own weight, for means that must follow a change within few samples.
    pub fn add_with(&mut self, sample: id::Time, newest: f64) {
        let sample = sample.as_secs_f64() * 1e3;
        self.value = Some(
            self.value
                .map_or(sample, |old| old + newest * (sample - old)),
        );
    }
}
