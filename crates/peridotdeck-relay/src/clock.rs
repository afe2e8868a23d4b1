//! Monotonic clock that keeps running while the VM is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including the time for which it was suspended.
///
/// The usual monotonic clock stops during a suspension: after it, deadlines would come too late and
/// ages would be too low. The wall clock can jump.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
