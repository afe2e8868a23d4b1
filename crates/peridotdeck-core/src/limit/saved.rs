//! The requests that a node has saved for an organisation within its share of the burst.

use std::time::Duration;

use peridotdeck_policy::Organisation;

use crate::id::Time;

/// Part of a request by which rounding may fall short of a whole one.
pub const ROUNDING: f64 = 1e-3;

/// Longest time after which a caller is asked to come back.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A token bucket whose rate and size are a changing share of an organisation's.
#[derive(Clone, Copy, Debug)]
pub struct Saved {
    level: f64,
    filled: Time,
    /// Share since it was last filled.
    share: f64,
}

impl Saved {
    /// Creates an empty bucket that has had a share since a time.
    #[must_use]
    pub fn since(time: Time, share: f64) -> Self {
        Self {
            level: 0.0,
            filled: time,
            share,
        }
    }

    /// Adds what has come in, and drops what exceeds the share that holds from now on.
    ///
    /// Time that has passed counts by the smaller share, since nobody knows when it changed.
    pub fn fill(&mut self, share: f64, limit: &Organisation, now: Time) {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        let rate = self.share.min(share) * f64::from(limit.requests_per_second);
        self.level = (self.level + elapsed * rate).min(share * f64::from(limit.burst));
        self.filled = now;
        self.share = share;
    }

    /// Takes one request.
    ///
    /// # Errors
    /// Returns the time until the next one comes in if there is none.
    pub fn take(&mut self, limit: &Organisation) -> Result<(), Time> {
        if self.level >= 1.0 - ROUNDING {
            self.level -= 1.0;
            return Ok(());
        }
        let rate = self.share * f64::from(limit.requests_per_second);
        let wait = (1.0 - self.level) / rate.max(ROUNDING);
        Err(Time::from_secs_f64(wait).min(MAX_WAIT))
    }

    /// Takes a fraction of what is saved, to hand it to another node with its share.
    pub fn split_off(&mut self, fraction: f64) -> f64 {
        let part = self.level.max(0.0) * fraction.clamp(0.0, 1.0);
        self.level -= part;
        part
    }

    /// Adds what another node has saved; the next [`Saved::fill`] bounds it.
    pub fn add(&mut self, requests: f64) {
        self.level += requests;
    }

    /// Returns how many requests are saved.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether nothing more can be saved.
    #[must_use]
    pub fn is_full(&self, limit: &Organisation) -> bool {
        self.level >= self.share * f64::from(limit.burst) - ROUNDING
    }
}
