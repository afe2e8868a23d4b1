//! The correction of a report by its age.

use std::time::Duration;

use super::flow::Rates;
use crate::dispatch::endpoint::Load;

/// What is added to the load that other nodes have reported at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Correction {
    /// Age of the report.
    pub age: Duration,
    /// Requests that others have probably placed at the endpoint since the report.
    pub unseen: f64,
    /// Prompt tokens of each of these that are probably not read yet.
    unseen_unread: u32,
    running: i64,
    unread: i64,
}

impl Correction {
    /// Returns the correction of a report of a certain age at one of a service's `endpoints`.
    ///
    /// What was reported has ended, and was read, at the rates of the whole service, at all of whose
    /// endpoints others have the load `total`. What was placed since has come to all alike.
    #[must_use]
    pub fn new(
        reported: Load,
        rates: &Rates,
        total: Load,
        endpoints: usize,
        age: Duration,
    ) -> Self {
        let seconds = age.as_secs_f64();
        let left = |ended: f64, total: u32| (-ended * seconds / f64::from(total.max(1))).exp();
        let unseen = rates.placed * seconds / endpoints.max(1) as f64;
        let left_unread = left(rates.read_tokens, total.unread);
        let shift = |reported: u32, left: f64, placed: f64| {
            // Half of the time has passed since the mean request was placed.
            (f64::from(reported) * (left - 1.0) + placed * left.sqrt()).round() as i64
        };
        let left_running = left(rates.ended, total.running);
        Self {
            age,
            unseen,
            unseen_unread: (rates.tokens_each * left_unread.sqrt()).round() as u32,
            running: shift(reported.running, left_running, unseen),
            unread: shift(reported.unread, left_unread, unseen * rates.tokens_each),
        }
    }

    /// Returns the load that others probably have, after they reported another.
    #[must_use]
    pub fn apply(&self, reported: Load) -> Load {
        let sum = |reported: u32, shift: i64| {
            let sum = i64::from(reported).saturating_add(shift).max(0);
            u32::try_from(sum).unwrap_or(u32::MAX)
        };
        Load {
            running: sum(reported.running, self.running),
            unread: sum(reported.unread, self.unread),
            ..reported
        }
    }

    /// Returns the load of one request that others have probably placed since the report.
    #[must_use]
    pub fn unseen_request(&self) -> Load {
        Load {
            running: 1,
            unread: self.unseen_unread,
            urgent: 0,
        }
    }

    /// Returns whether it changes a report.
    #[must_use]
    pub fn is_effective(&self) -> bool {
        self.running != 0 || self.unread != 0
    }
}
