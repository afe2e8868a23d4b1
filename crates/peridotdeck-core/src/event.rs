//! What happens to a node.

use std::time::Duration;

use peridotdeck_wire::{Delta, Envelope, Outcome};

use crate::{engine, id, request};

/// Something that the shell tells the node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; sent every [`crate::node::TICK_INTERVAL`].
    Tick,
    /// A caller sends a request.
    Arrive {
        /// Id that the shell chose with [`crate::Node::next_request_id`].
        request: id::Request,
        /// What the caller wants.
        call: request::Call,
    },
    /// An attempt has ended at its endpoint.
    Ended {
        /// The attempt.
        attempt: id::Attempt,
        /// How it ended.
        end: End,
    },
    /// The caller has gone away.
    Abandoned {
        /// The request that nobody waits for.
        request: id::Request,
    },
    /// A peer's message came.
    Message(Envelope),
    /// The configuration service answered a watch.
    Published(Delta),
    /// An endpoint reported its load.
    Reported {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// What it said.
        report: engine::Report,
    },
    /// An operator or a signal asks the node to leave.
    Drain,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// Output tokens that this attempt delivered.
    pub tokens: u32,
    /// Time to the first token at the endpoint.
    pub time_to_first_token: Option<Duration>,
    /// Time of the whole attempt at the endpoint.
    pub duration: Duration,
    /// Status and body of a short plain answer, to be kept for a caller that sends again.
    pub answer: Option<(u16, String)>,
}

impl End {
    /// Returns the mean gap between tokens, if at least two came.
    #[must_use]
    pub fn inter_token_latency(&self) -> Option<Duration> {
        let first = self.time_to_first_token.filter(|_| self.tokens > 1)?;
        Some(self.duration.saturating_sub(first) / (self.tokens - 1))
    }
}
