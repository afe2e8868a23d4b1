//! Rates that endpoints name, and the parts of them that this node may spend.

use super::Dispatcher;
use crate::{
    dispatch::{
        Key,
        attempt::Attempt,
        rate::{Limit, News},
    },
    id::Time,
};

impl Dispatcher {
    /// Records whether an answer named a rate that its endpoint takes from all nodes together.
    ///
    /// Returns the change of the belief, if there is one.
    pub fn record_rate(&mut self, attempt: &Attempt, rate: Option<f64>, now: Time) -> Option<News> {
        if self.find(attempt.key()).is_err() {
            return None;
        }
        self.rates.note(attempt.key(), rate, attempt.sent(), now)
    }

    /// Returns what is known of the rate that an endpoint takes.
    #[must_use]
    pub fn rate(&self, key: Key) -> Option<Limit> {
        self.rates.get(key)
    }
}
