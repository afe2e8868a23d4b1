//! Output sizes, estimated from what a class and customer produced before.

use crate::mean::NEWEST_WEIGHT;

/// Estimator in tokens before the first answer of a class.
const UNKNOWN_TOKENS: f64 = 128.0;

/// Running means by class and customer, and by class alone.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    means: Vec<((String, String), f64)>,
}

impl Estimator {
    /// Returns the expected output in tokens.
    #[must_use]
    pub fn estimate(&self, class: &str, organisation: &str, max_tokens: u32) -> u32 {
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
    pub fn observe(&mut self, class: &str, organisation: &str, tokens: u32) {
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
            Ok(at) => self.means[at].1 += NEWEST_WEIGHT * (f64::from(tokens) - self.means[at].1),
            Err(at) => {
                let key = (class.to_owned(), organisation.to_owned());
                self.means.insert(at, (key, f64::from(tokens)));
            }
        }
    }
}
