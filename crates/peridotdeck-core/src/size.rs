//! Output sizes, estimated from what a class and customer produced before.

use crate::id;

/// Weight of the newest answer in the running mean.
const NEWEST: f64 = 0.1;

/// Estimate in tokens before the first answer of a class.
const UNKNOWN_TOKENS: f64 = 128.0;

/// Running means by class and customer, and by class alone.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    means: Vec<((String, String), f64)>,
}

impl Estimate {
    /// Returns the expected output in tokens.
    #[must_use]
    pub fn tokens(&self, class: &str, organisation: &str, max_tokens: u32) -> u32 {
        let mean = self
            .mean(class, organisation)
            .or_else(|| self.mean(class, ""))
            .unwrap_or(UNKNOWN_TOKENS);
        let expected = mean.ceil().max(1.0) as u32;
        if max_tokens == 0 {
            expected
        } else {
            expected.min(max_tokens)
        }
    }

    /// Learns from a whole answer.
    pub fn learn(&mut self, class: &str, organisation: &str, tokens: u32) {
        self.update(class, organisation, tokens);
        self.update(class, "", tokens);
    }

    fn mean(&self, class: &str, organisation: &str) -> Option<f64> {
        self.find(class, organisation)
            .ok()
            .map(|at| self.means[at].1)
    }

    fn find(&self, class: &str, organisation: &str) -> Result<usize, usize> {
        self.means.binary_search_by(|((one, other), _)| {
            (one.as_str(), other.as_str()).cmp(&(class, organisation))
        })
    }

    fn update(&mut self, class: &str, organisation: &str, tokens: u32) {
        match self.find(class, organisation) {
            Ok(at) => self.means[at].1 += NEWEST * (f64::from(tokens) - self.means[at].1),
            Err(at) => {
                let key = (class.to_owned(), organisation.to_owned());
                self.means.insert(at, (key, f64::from(tokens)));
            }
        }
    }
}

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
        self.add_with(sample, NEWEST);
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
