//! Events that a node handles.

use std::time::Duration;

use peridotdeck_wire::{Delta, Envelope, Outcome};

use crate::{engine, id, request};

/// An input from the shell to the node.
#[derive(Clone, Debug)]
pub enum Event {
    /// The timer fired; sent every [`crate::node::TICK_INTERVAL`].
    Tick,
    /// A caller sent a request.
    Arrive {
        /// Id that the shell chose with [`crate::Node::next_request_id`].
        request: id::Request,
        /// Service, class, size and limits of the request.
        call: request::Call,
    },
    /// An attempt has ended at its endpoint.
    Ended {
        /// The attempt.
        attempt: id::Attempt,
        /// Outcome and measurements of the attempt.
        end: End,
    },
    /// The caller disconnected.
    Abandoned {
        /// The request of the disconnected caller.
        request: id::Request,
    },
    /// A message arrived from a peer.
    Message(Envelope),
    /// The configuration service answered a watch with newer parts or a newer VM list.
    Published(Delta),
    /// An endpoint reported its load.
    Reported {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The load report.
        report: engine::Report,
    },
    /// An operator or a signal told the node to drain and shut down.
    Drain,
    /// The time to drain is over; requests that are open get a final answer.
    Cut,
}

/// Outcome and measurements of an ended attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Output tokens that this attempt delivered.
    pub tokens: u32,
    /// Whether the caller has a part of an answer that no other attempt can continue.
    pub is_partial: bool,
    /// Time from the start of the attempt to the first token, if one arrived.
    pub time_to_first_token: Option<Duration>,
    /// Time from the start to the end of the attempt.
    pub duration: Duration,
    /// HTTP status and body of a short plain answer, stored for a caller that repeats the request.
    pub answer: Option<(u16, String)>,
}

impl End {
    /// Returns the mean inter-token latency, if at least two tokens arrived.
    #[must_use]
    pub fn inter_token_latency(&self) -> Option<Duration> {
        let first = self.time_to_first_token.filter(|_| self.tokens > 1)?;
        Some(self.duration.saturating_sub(first) / (self.tokens - 1))
    }
}
