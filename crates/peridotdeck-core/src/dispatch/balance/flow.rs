//! How fast the load changes that other nodes have at the endpoints of a service.

use super::MEMORY;
use crate::{dispatch::endpoint::Load, id::Time};

/// Changes of the load that other nodes report, weighted by how recent they are.
///
/// A report shows only the difference to the one before. What came and went in between is missed,
/// which makes the rates too low rather than too high.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Requests by which the load at an endpoint grew.
    placed: f64,
    /// Requests by which it fell.
    ended: f64,
    /// Prompt tokens by which it grew.
    queued_tokens: f64,
    /// Prompt tokens by which it fell.
    read_tokens: f64,
    updated: Time,
}

impl Flow {
    /// Records that the load that others have at one endpoint has changed.
    pub fn record(&mut self, before: Load, after: Load, now: Time) {
        *self = self.decayed(now);
        self.placed += f64::from(after.running.saturating_sub(before.running));
        self.ended += f64::from(before.running.saturating_sub(after.running));
        self.queued_tokens += f64::from(after.unread.saturating_sub(before.unread));
        self.read_tokens += f64::from(before.unread.saturating_sub(after.unread));
    }

    /// Returns the rates of the recorded changes.
    #[must_use]
    pub fn rates(&self, now: Time) -> Rates {
        let flow = self.decayed(now);
        let seconds = MEMORY.as_secs_f64();
        Rates {
            placed: flow.placed / seconds,
            ended: flow.ended / seconds,
            read_tokens: flow.read_tokens / seconds,
            tokens_each: flow.queued_tokens / flow.placed.max(1.0),
        }
    }

    fn decayed(self, now: Time) -> Self {
        let age = now.saturating_sub(self.updated);
        let factor = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Self {
            placed: self.placed * factor,
            ended: self.ended * factor,
            queued_tokens: self.queued_tokens * factor,
            read_tokens: self.read_tokens * factor,
            updated: now,
        }
    }
}

/// Changes in a second at all endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Requests that other nodes place.
    pub placed: f64,
    /// Requests of other nodes that end.
    pub ended: f64,
    /// Prompt tokens of other nodes that are read.
    pub read_tokens: f64,
    /// Prompt tokens of a request that is placed.
    pub tokens_each: f64,
}
