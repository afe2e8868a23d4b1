//! A short time in which an endpoint is slower than usual for it.

use std::time::Duration;

use crate::id::Time;

/// Multiple of the usual time after which a stall is no longer believed in.
const MAX_USUAL_TIMES: u32 = 2;

/// Share of the usual time that is expected of a stall that has lasted for longer.
const LATE_SHARE: u32 = 4;

/// A stall that has not ended, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Time at which it began.
    pub began: Time,
    /// Whether this node has seen it itself.
    pub is_own: bool,
}

impl Stall {
    /// Returns how long it is expected to go on, where stalls usually last for a time.
    #[must_use]
    pub fn left(self, usual: Duration, now: Time) -> Duration {
        let age = now.saturating_sub(self.began);
        if age < usual {
            usual.saturating_sub(age).max(usual / LATE_SHARE)
        } else if self.is_own && age < usual * MAX_USUAL_TIMES {
            usual / LATE_SHARE
        } else {
            Duration::ZERO
        }
    }
}
