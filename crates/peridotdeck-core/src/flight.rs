//! The requests that callers gave to this node.
//!
//! A flight moves through stages: it may reserve its idempotency key, asks the owner of a pool for a
//! slot, runs at an endpoint, and rests before another try. [`Table`] holds all flights and makes
//! every transition; each flight ends exactly once, by an answer, a refusal or the caller's leave.

mod candidate;
mod context;
mod table;

pub use candidate::{Candidate, rank_candidates};
pub use context::{Context, Outbox};
pub use table::{Counts, Table};

use std::time::Duration;

use crate::{claim, id, request};

/// Where a request stands.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Waits until the node has proved that its view is current.
    Suspended,
    /// Reserves its idempotency key.
    Claiming,
    /// Waits for a slot.
    RequestingSlot(SlotRequest),
    /// Runs at an endpoint.
    Running(Running),
    /// Waits before it asks again.
    BackingOff {
        /// End of the rest.
        until: id::Time,
    },
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Pool that is asked.
    pub pool: id::Pool,
    /// Node that is asked.
    pub owner: id::Node,
    /// When it was asked last.
    pub sent: id::Time,
    /// Asks without any answer.
    pub unanswered: u32,
    /// Whether the owner has said that the request waits.
    pub queued: bool,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct Running {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Pool of the endpoint.
    pub pool: id::Pool,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Owner that granted the slot; none if the owner did not answer and the node took its own
    /// small share.
    pub owner: Option<id::Node>,
}

/// One request and what has become of it.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub request: id::Request,
    /// What the caller wants.
    pub call: request::Call,
    /// When it arrived, or when the answer that had begun was interrupted: the time from which the
    /// wait counts against the class's patience.
    pub waiting_since: id::Time,
    /// Where it stands.
    pub stage: Stage,
    /// Reservation of its idempotency key.
    pub reservation: Option<claim::Reservation>,
    /// Failed attempts.
    pub failures: u32,
    /// Endpoints that failed it.
    pub failed_endpoints: Vec<id::Endpoint>,
    /// Pools that refused it.
    pub refused_by: Vec<id::Pool>,
    /// Output tokens that the caller has received.
    pub delivered_tokens: u32,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    /// Whether the caller has gone, while the call must be seen through.
    pub orphaned: bool,
}

impl Flight {
    /// Starts a flight.
    #[must_use]
    pub fn new(request: id::Request, call: request::Call, now: id::Time) -> Self {
        Self {
            request,
            call,
            waiting_since: now,
            stage: Stage::Suspended,
            reservation: None,
            failures: 0,
            failed_endpoints: Vec::new(),
            refused_by: Vec::new(),
            delivered_tokens: 0,
            may_have_run: false,
            orphaned: false,
        }
    }

    /// Returns the attempt that asks or runs.
    #[must_use]
    pub fn attempt(&self) -> Option<id::Attempt> {
        match &self.stage {
            Stage::RequestingSlot(slot_request) => Some(slot_request.attempt),
            Stage::Running(running) => Some(running.attempt),
            _ => None,
        }
    }

    /// Returns the time for which the request has waited.
    #[must_use]
    pub fn waited(&self, now: id::Time) -> Duration {
        now.saturating_sub(self.waiting_since)
    }
}
