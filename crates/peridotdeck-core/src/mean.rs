//! Exponentially weighted running means.

use crate::id;

/// Weight of the newest sample in a running mean, from 0 to 1.
pub(crate) const NEWEST_WEIGHT: f64 = 0.1;

/// An exponentially weighted mean of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: Option<f64>,
}

impl Mean {
    /// Returns the mean in milliseconds, or `None` before the first sample.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Adds a sample with the default weight, 0.1.
    pub fn add(&mut self, sample: id::Time) {
        self.add_with(sample, NEWEST_WEIGHT);
    }

    /// Adds a sample with the given weight.
    ///
    /// A high weight suits means that must follow a change within a few samples.
    pub fn add_with(&mut self, sample: id::Time, weight: f64) {
        let sample = sample.as_secs_f64() * 1e3;
        self.value = Some(
            self.value
                .map_or(sample, |mean| mean + weight * (sample - mean)),
        );
    }
}
