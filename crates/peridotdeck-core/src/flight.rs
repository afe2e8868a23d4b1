//! The requests that callers sent to this node.
//!
//! A flight is one such request. It may first reserve its idempotency key. Then it requests a slot
//! from the owner of a pool, runs at an endpoint, and backs off before a retry. [`Table`] holds all
//! flights and makes every transition. Each flight ends exactly once: with an answer, with a
//! refusal, or because the caller disconnected.

mod candidate;
mod context;
mod outbox;
mod table;

pub use candidate::{Candidate, rank_candidates};
pub use context::Context;
pub use outbox::Outbox;
pub use table::{Counts, Table};

use std::time::Duration;

use crate::{claim, id, request};

/// Stage of a request.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Waits until the node has proved that its view is current.
    Suspended,
    /// Waits for a loan of its organisation's limits, and does not count towards them yet.
    AwaitingLoan {
        /// End of the wait.
        until: id::Time,
    },
    /// Reserves its idempotency key.
    Claiming,
    /// Waits for the owner of a pool to grant a slot.
    RequestingSlot(SlotRequest),
    /// Runs at an endpoint.
    Running(Running),
    /// Waits before it requests a slot again.
    BackingOff {
        /// End of the wait.
        until: id::Time,
    },
}

/// A request for a slot, sent to the owner of a pool.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Attempt that the slot is for.
    pub attempt: id::Attempt,
    /// Pool of the slot.
    pub pool: id::Pool,
    /// Node that the request was sent to.
    pub owner: id::Node,
    /// Time at which the request was last sent.
    pub sent: id::Time,
    /// Number of times it was sent since the owner last answered.
    pub unanswered: u32,
    /// Whether the owner has confirmed that the request is in its queue.
    pub queued: bool,
}

/// An attempt that runs at an endpoint.
#[derive(Clone, Debug)]
pub struct Running {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Pool of the endpoint.
    pub pool: id::Pool,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Owner that granted the slot. `None` if the owner did not answer and this node used its own
    /// small share of the endpoint.
    pub owner: Option<id::Node>,
}

/// One request and its progress.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub request: id::Request,
    /// Properties of the request that decisions depend on.
    pub call: request::Call,
    /// Time from which the wait counts against the class's queue timeout: the arrival, or the
    /// interruption of an answer that had begun.
    pub waiting_since: id::Time,
    /// Current stage.
    pub stage: Stage,
    /// Reservation of its idempotency key.
    pub reservation: Option<claim::Reservation>,
    /// Number of failed attempts.
    pub failures: u32,
    /// Endpoints at which an attempt failed.
    pub failed_endpoints: Vec<id::Endpoint>,
    /// Pools that refused the request.
    pub refused_by: Vec<id::Pool>,
    /// Output tokens that the caller has received.
    pub delivered_tokens: u32,
    /// Whether an endpoint may have run the request.
    pub may_have_run: bool,
    /// Whether the caller has disconnected while the request must still run to its end.
    pub orphaned: bool,
}

impl Flight {
    /// Creates a suspended flight that arrives at `now`.
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

    /// Returns the attempt that waits for a slot or runs.
    #[must_use]
    pub fn attempt(&self) -> Option<id::Attempt> {
        match &self.stage {
            Stage::RequestingSlot(slot_request) => Some(slot_request.attempt),
            Stage::Running(running) => Some(running.attempt),
            _ => None,
        }
    }

    /// Returns the time that counts against the queue timeout so far.
    #[must_use]
    pub fn waited(&self, now: id::Time) -> Duration {
        now.saturating_sub(self.waiting_since)
    }
}
