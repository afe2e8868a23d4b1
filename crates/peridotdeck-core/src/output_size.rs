//! Estimates of output sizes from earlier answers of the same class and organisation.

use crate::mean::NEWEST_WEIGHT;

/// Expected output in tokens before the first answer of a class.
const DEFAULT_TOKENS: f64 = 128.0;

/// Estimator of output sizes by class and organisation, with the class alone as fallback.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Mean output in tokens, sorted by class and organisation; an empty organisation stands for
    /// the class alone.
    means: Vec<((String, String), f64)>,
}

impl Estimator {
    /// Returns the expected output in tokens, at most `max_tokens` unless that is 0.
    #[must_use]
    pub fn estimate(&self, class: &str, organisation: &str, max_tokens: u32) -> u32 {
        let mean = self
            .mean(class, organisation)
            .or_else(|| self.mean(class, ""))
            .unwrap_or(DEFAULT_TOKENS);
        let expected = mean.ceil().max(1.0) as u32;
        if max_tokens == 0 {
            expected
        } else {
            expected.min(max_tokens)
        }
    }

    /// Records the output tokens of a whole answer.
    pub fn observe(&mut self, class: &str, organisation: &str, tokens: u32) {
        self.update(class, organisation, tokens);
        self.update(class, "", tokens);
    }

    fn mean(&self, class: &str, organisation: &str) -> Option<f64> {
        self.find(class, organisation)
            .ok()
            .map(|index| self.means[index].1)
    }

    fn find(&self, class: &str, organisation: &str) -> Result<usize, usize> {
        self.means
            .binary_search_by(|((known_class, known_organisation), _)| {
                (known_class.as_str(), known_organisation.as_str()).cmp(&(class, organisation))
            })
    }

    fn update(&mut self, class: &str, organisation: &str, tokens: u32) {
        match self.find(class, organisation) {
            Ok(index) => {
                self.means[index].1 += NEWEST_WEIGHT * (f64::from(tokens) - self.means[index].1);
            }
            Err(index) => {
                let key = (class.to_owned(), organisation.to_owned());
                self.means.insert(index, (key, f64::from(tokens)));
            }
        }
    }
}
