//! A read of the publisher that is made on behalf of streams, one at a time.

use std::time::Duration;

use crate::id::Time;

/// Time for which a read may run before another is begun.
const MAX_READ: Duration = Duration::from_millis(500);

/// Whether a read is asked for, and whether one runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reading {
    is_wanted: bool,
    begun: Option<Time>,
}

impl Reading {
    /// Asks for a read or takes that back.
    pub(super) fn set_wanted(&mut self, is_wanted: bool) {
        self.is_wanted = is_wanted;
    }

    /// Returns whether a read is asked for.
    pub(super) fn is_wanted(self) -> bool {
        self.is_wanted
    }

    /// Returns whether to begin a read now, which then answers all that have asked.
    pub(super) fn begin(&mut self, now: Time) -> bool {
        let is_running = |begun: Time| now.saturating_sub(begun) < MAX_READ;
        let begins = std::mem::take(&mut self.is_wanted) && !self.begun.is_some_and(is_running);
        if begins {
            self.begun = Some(now);
        }
        begins
    }

    /// Records that the read has ended.
    pub(super) fn end(&mut self) {
        self.begun = None;
    }
}
