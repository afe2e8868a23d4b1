//! Time since the start of the process, pauses of the whole machine included.

use std::time::{Duration, Instant, SystemTime};

/// Difference between the clocks that counts as a pause; smaller ones are clock adjustment.
const PAUSE: Duration = Duration::from_secs(1);

/// A monotonic clock that also notices when the machine slept.
///
/// The monotonic clock of a suspended VM stands still, so the wall clock is compared at each look;
/// what it is ahead is added, and the decision core sees the gap.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    slept: Duration,
    last: (Instant, SystemTime),
}

impl Clock {
    /// Starts at zero.
    #[must_use]
    pub fn start() -> Self {
        let start = Instant::now();
        Self {
            start,
            slept: Duration::ZERO,
            last: (start, SystemTime::now()),
        }
    }

    /// Returns the time since the start.
    pub fn now(&mut self) -> Duration {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let passed = now - self.last.0;
        let wall_passed = wall.duration_since(self.last.1).unwrap_or(passed);
        let ahead = wall_passed.saturating_sub(passed);
        if ahead > PAUSE {
            self.slept += ahead;
        }
        self.last = (now, wall);
        now - self.start + self.slept
    }
}
