//! Whether a node's endpoint list holds all that others may have used.

use std::time::Duration;

use super::reading::Reading;
use crate::{dispatch::registry::Position, id::Time};

/// Time for which a read of the publisher shows that the list is complete.
pub const CONFIRMED: Duration = Duration::from_secs(1);

/// Time for which a change that a peer has announced counts; live peers repeat it.
const ANNOUNCED: Duration = Duration::from_secs(2);

/// What shows whether the endpoint list is complete, besides the heartbeats of peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Step {
    /// Newest change that a peer has announced, and when.
    announced: Option<(Position, Time)>,
    /// Time at which the last read began that has shown the whole list.
    confirmed: Option<Time>,
    reading: Reading,
}

impl Step {
    /// Records that a peer has the list as of a change.
    pub fn announce(&mut self, position: Position, now: Time) {
        let is_newer = |(known, _)| position >= known;
        if self.announced.is_none_or(is_newer) {
            self.announced = Some((position, now));
        }
    }

    /// Returns whether a peer has announced a change after the one at `known`.
    #[must_use]
    pub fn lacks_change(&self, known: Position, now: Time) -> bool {
        let is_later = |(position, at)| position > known && now.saturating_sub(at) < ANNOUNCED;
        self.announced.is_some_and(is_later)
    }

    /// Records that a read which began at a time has shown the whole list.
    pub fn confirm(&mut self, begun: Time) {
        self.reading.end();
        self.confirmed = self.confirmed.max(Some(begun));
    }

    /// Returns whether such a read has begun since a time.
    #[must_use]
    pub fn is_confirmed_since(&self, since: Time) -> bool {
        self.confirmed.is_some_and(|begun| begun >= since)
    }

    /// Asks for a read of the publisher, because nothing else shows whether the list is complete.
    pub fn want_read(&mut self) {
        self.reading.set_wanted(true);
    }

    /// Returns whether a read is asked for, since a stream waits for the complete list.
    #[must_use]
    pub fn is_read_wanted(&self) -> bool {
        self.reading.is_wanted()
    }

    /// Returns whether to begin a read now.
    pub fn begin_read(&mut self, now: Time) -> bool {
        self.reading.begin(now)
    }
}
