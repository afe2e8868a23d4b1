//! The choice among endpoints whose scores are close.

use rand::Rng;

/// A draw among endpoints, weighted by their free room.
///
/// The room of an endpoint is what it would get if all requests that the view misses filled the
/// endpoints with the lowest scores to one level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draw {
    /// Score that the missed requests add together, in milliseconds.
    added: f64,
}

impl Draw {
    /// Creates the draw for a view that misses a number of requests.
    ///
    /// `step` is the score that one more request adds to an endpoint, in milliseconds. An endpoint
    /// whose lead exceeds the score of all of them is better anyway, and is always chosen.
    #[must_use]
    pub fn new(step: f64, missed: f64) -> Self {
        Self {
            added: step.max(0.0) * missed,
        }
    }

    /// Chooses one of the scores, which are sorted; the lowest if no other is close.
    pub fn choose<I>(self, scores: I, rng: &mut impl Rng) -> Choice
    where
        I: Iterator<Item = f64> + Clone,
    {
        let (level, candidates) = self.level(scores.clone());
        let mut drawn = rng.random::<f64>() * self.added;
        let position = scores.take(candidates).position(|score| {
            drawn -= level - score;
            drawn < 0.0
        });
        Choice {
            position: position.unwrap_or_default(),
            candidates: candidates as u32,
        }
    }

    /// Returns the level to which the missed requests fill the endpoints, and how many they fill.
    fn level(self, scores: impl Iterator<Item = f64>) -> (f64, usize) {
        let mut sum = self.added;
        let mut level = f64::INFINITY;
        let mut filled = 0;
        for score in scores.take_while(|score| score.is_finite()) {
            if score >= level {
                break;
            }
            sum += score;
            filled += 1;
            level = sum / filled as f64;
        }
        (level, filled)
    }
}

/// The outcome of a draw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Position of the chosen endpoint; 0 has the lowest score.
    pub position: usize,
    /// Number of endpoints among which it was drawn; 0 if there was no draw.
    pub candidates: u32,
}
