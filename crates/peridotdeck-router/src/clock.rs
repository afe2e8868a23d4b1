//! The clock of the decision core, which also counts time in which the VM was suspended.

use std::time::{Duration, Instant, SystemTime};

/// Lead of the wall clock above which the VM counts as suspended.
///
/// A smaller lead is an adjustment of the wall clock.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(1);

/// A monotonic clock that also counts the time in which the VM was suspended.
///
/// The monotonic clock of a suspended VM stands still. Each reading compares it with the wall
/// clock and adds the wall clock's lead, so that the decision core sees the gap.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    suspended: Duration,
    last_reading: (Instant, SystemTime),
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        let start = Instant::now();
        Self {
            start,
            suspended: Duration::ZERO,
            last_reading: (start, SystemTime::now()),
        }
    }

    /// Returns the time since the start, including time in which the VM was suspended.
    pub fn now(&mut self) -> Duration {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let elapsed = now - self.last_reading.0;
        let wall_elapsed = wall.duration_since(self.last_reading.1).unwrap_or(elapsed);
        let lead = wall_elapsed.saturating_sub(elapsed);
        if lead > SUSPENSION_THRESHOLD {
            self.suspended += lead;
        }
        self.last_reading = (now, wall);
        now - self.start + self.suspended
    }
}
