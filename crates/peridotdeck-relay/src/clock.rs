//! Time that includes the suspension of the machine.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine started, suspension included.
///
/// The steady clock stands still while a machine is suspended, so deadlines and ages would be too
/// young after it wakes; the time of day jumps.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
