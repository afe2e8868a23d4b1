//! A robust mean of ratios, with the number of samples behind it.

use serde::{Deserialize, Serialize};

/// Most samples that count; an older one weighs less with each that follows.
const MAX_COUNT: u32 = 32;

/// Samples that a figure counts as after its endpoint was replaced, and from which far ones are cut.
const DOUBTED_COUNT: u32 = 4;

/// Bound on the natural logarithm of a sample, so that no single one dominates.
const MAX_LOGARITHM: f64 = 1.5;

/// Farthest that a sample may lie from the mean to count in full, as a natural logarithm.
const MAX_DEVIATION: f64 = 0.9;

/// Geometric mean of the last ratios.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Natural logarithm of the mean.
    logarithm: f32,
    count: u32,
}

impl Figure {
    /// Adds the mean of `count` samples.
    pub fn add(&mut self, ratio: f64, count: u32) {
        self.add_logarithm(ratio.max(f64::MIN_POSITIVE).ln(), count);
    }

    /// Adds the samples of another figure.
    pub fn merge(&mut self, other: Self) {
        self.add_logarithm(other.logarithm.into(), other.count);
    }

    /// Takes over a figure that more samples stand behind, which probably contain the known ones.
    pub fn learn(&mut self, other: Self) {
        let mut learnt = Self::default();
        learnt.merge(other);
        if learnt.count > self.count {
            *self = learnt;
        }
    }

    fn add_logarithm(&mut self, logarithm: f64, count: u32) {
        if !logarithm.is_finite() || count == 0 {
            return;
        }
        let known = f64::from(self.logarithm);
        let mut sample = logarithm.clamp(-MAX_LOGARITHM, MAX_LOGARITHM);
        if self.count >= DOUBTED_COUNT {
            sample = sample.clamp(known - MAX_DEVIATION, known + MAX_DEVIATION);
        }
        let count = count.min(MAX_COUNT);
        self.count = (self.count + count).min(MAX_COUNT);
        let mean = known + (sample - known) * f64::from(count) / f64::from(self.count);
        self.logarithm = mean as f32;
    }

    /// Returns the figure with so few samples that new ones soon outweigh them.
    #[must_use]
    pub fn doubted(self) -> Self {
        Self {
            count: self.count.min(DOUBTED_COUNT),
            ..self
        }
    }

    /// Returns the number of samples that count.
    #[must_use]
    pub fn count(self) -> u32 {
        self.count
    }

    /// Returns the natural logarithm of the mean.
    #[must_use]
    pub fn logarithm(self) -> f64 {
        self.logarithm.into()
    }
}
