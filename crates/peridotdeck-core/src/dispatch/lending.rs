//! Work that a data centre with much demand sends to one with little.
//!
//! Demand moves between data centres, each with its own hours. A fixed score for leaving the own one keeps
//! work at home until its queues cost more than that, so callers of the busiest data centre wait while
//! endpoints elsewhere idle. [`Levels`] compares how far the endpoints of each data centre are used,
//! by own counts and the sums in heartbeats, and lowers the score for leaving as far as
//! another one has more room. Long prompts keep most of the score, since the traffic is paid by volume. A data
//! centre that is not heard of gets no work this way: its load is unknown, not zero. See
//! `docs/design/LENDING.md`.

use super::endpoint::State;

/// Difference in use up to which work stays at home.
const MARGIN: f64 = 0.1;

/// Further difference in use from which the whole reduction applies.
const SPAN: f64 = 0.4;

/// Share of the score that always remains, for the traffic of a short prompt.
const LEAST_SHARE: f64 = 0.25;

/// Tokens of a prompt from which the whole score for leaving applies.
const LONG_PROMPT_TOKENS: f64 = 8_192.0;

/// Requests and slots of one data centre's endpoints.
#[derive(Clone, Debug)]
struct Level<'a> {
    data_centre: &'a str,
    running: f64,
    slots: f64,
}

/// Use of a service's endpoints in each data centre.
#[derive(Clone, Debug, Default)]
pub struct Levels<'a> {
    levels: Vec<Level<'a>>,
}

impl<'a> Levels<'a> {
    /// Returns the levels of the data centres whose load is known.
    ///
    /// `slots` is the number of requests that an endpoint runs at once.
    #[must_use]
    pub fn of(states: impl Iterator<Item = &'a State>, slots: impl Fn(&State) -> u32) -> Self {
        let mut levels: Vec<Level<'a>> = Vec::new();
        for state in states {
            let data_centre = state.info.data_centre.as_str();
            let found = levels.binary_search_by(|level| level.data_centre.cmp(data_centre));
            let index = found.unwrap_or_else(|index| {
                levels.insert(
                    index,
                    Level {
                        data_centre,
                        running: 0.0,
                        slots: 0.0,
                    },
                );
                index
            });
            levels[index].running += f64::from(state.load().running);
            levels[index].slots += f64::from(slots(state).max(1));
        }
        Self { levels }
    }

    /// Returns the share that remains of the score for going from one data centre to another.
    #[must_use]
    pub fn crossing_share(&self, from: &str, to: &str, tokens: u32) -> f64 {
        let (Some(here), Some(there)) = (self.level(from), self.level(to)) else {
            return 1.0;
        };
        let relief = ((here - there - MARGIN) / SPAN).clamp(0.0, 1.0);
        let length = (f64::from(tokens) / LONG_PROMPT_TOKENS).min(1.0);
        let least = LEAST_SHARE + (1.0 - LEAST_SHARE) * length;
        1.0 - relief * (1.0 - least)
    }

    fn level(&self, data_centre: &str) -> Option<f64> {
        let found = self
            .levels
            .binary_search_by(|level| level.data_centre.cmp(data_centre));
        let level = &self.levels[found.ok()?];
        Some(level.running / level.slots)
    }
}
