//! An attempt to run a request at an endpoint: its assignment, its outcome and the next step.

use std::{net::SocketAddrV4, time::Duration};

use strum::{Display, IntoStaticStr};

use super::{
    Key, Node, Software,
    endpoint::Load,
    placement::{Estimate, Exclusion},
    refusal::Refusal,
    share::Room,
};
use crate::{Verdict, id::Time};

/// Decision on a request that is not at an endpoint.
#[derive(Clone, Debug)]
pub enum Placement {
    /// Send the request to an endpoint.
    Send(Assignment),
    /// Decide again after a delay.
    Wait(Delay),
    /// Refuse the request, with the reasons that excluded endpoints.
    Refuse(Refusal, Vec<Exclusion>),
}

/// Reason why a request waits at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitCause {
    /// The node no longer has a configuration.
    Unconfigured,
    /// Other nodes are asked which software version began the stream.
    Lookup,
    /// No endpoint is eligible.
    NoEndpoint,
    /// No endpoint has room that more urgent requests would not take.
    Full,
    /// There is room, but others that wait at the node come first.
    Turn,
    /// The request would miss its target anyway, and delay others at the endpoint.
    Late,
}

/// A wait before the next placement decision, and the facts that it was based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// Time until the next placement decision.
    pub time: Duration,
    /// Reason for the wait.
    pub cause: WaitCause,
    /// Number of requests at the best endpoint; 0 if no endpoint is eligible.
    pub running: u32,
    /// Expected time to the best endpoint's first answer; zero if no endpoint is eligible.
    pub expected: Duration,
    /// Room for the request's class, if that was looked at.
    pub room: Option<Room>,
}

impl Delay {
    /// Returns the regular delay between two searches for an endpoint.
    #[must_use]
    pub fn poll(cause: WaitCause) -> Self {
        /// Time between two searches for an endpoint.
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        Self {
            time: POLL_INTERVAL,
            cause,
            running: 0,
            expected: Duration::ZERO,
            room: None,
        }
    }
}

/// The endpoint that was chosen for a request, and how to send the request to it.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The attempt, which must be passed back to the dispatcher when it ends.
    pub attempt: Attempt,
    /// Address of the endpoint.
    pub address: SocketAddrV4,
    /// Id that the endpoint must have, since another one may use the address by now.
    pub instance: String,
    /// Version of the endpoint's software.
    pub version: String,
    /// Whether the endpoint must first say that it has not started again, as a stream goes on there.
    pub confirm: bool,
    /// Endpoint from which the chosen one should fetch the cached prompt prefix.
    pub source: Option<SocketAddrV4>,
    /// Rank of the request at the endpoint; 0 is served first.
    pub rank: u8,
    /// Time without an answer after which to try another endpoint.
    pub hedge_after: Option<Duration>,
    /// Estimate that the choice was based on.
    pub estimate: Estimate,
    /// Known load of the endpoint before this request.
    pub load: Load,
    /// Number of endpoints among which it was drawn; 0 if it was not.
    pub candidates: u32,
    /// Age of what others have reported at the endpoint.
    pub view_age: Duration,
    /// Whether that was corrected by its age.
    pub corrected: bool,
}

/// A request that was sent to an endpoint, with the load that it adds there.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub(super) key: Key,
    /// Version of the endpoint's software.
    pub(super) software: Software,
    /// Peer through which the request is sent, if the own path is lost.
    pub(super) detour: Option<Node>,
    pub(super) load: Load,
    pub(super) expected: Duration,
    /// Part of the expected time that an endpoint of usual speed works for, and the part that its
    /// speed does not change.
    pub(super) work_ms: f32,
    pub(super) overhead_ms: f32,
    /// Whether the time to the answer shows the endpoint's speed, and not that of its queue.
    pub(super) shows_speed: bool,
    pub(super) sent: Time,
    /// Time of the answer's first event.
    pub(super) answered: Option<Time>,
}

impl Attempt {
    /// Returns the key of the endpoint.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns the peer through which the request is sent, if the own path is lost.
    #[must_use]
    pub fn detour(&self) -> Option<Node> {
        self.detour
    }

    /// Returns the time at which the request was placed.
    #[must_use]
    pub fn sent(&self) -> Time {
        self.sent
    }
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The complete answer arrived.
    Finished,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint guarantees that it did not run the request.
    Rejected,
    /// Another endpoint uses the address now and did not run the request.
    Misdirected,
    /// The endpoint has started again since its entry was written, so the stream may not go on there.
    ///
    /// The request was not sent.
    Replaced,
    /// No connection could be opened, so the request did not run.
    Unreachable,
    /// The request did not leave this node, for a reason that does not concern the endpoint.
    Unsent,
    /// The regions in force by then forbade the endpoint, so the request was not sent.
    Forbidden,
    /// The connection closed before the answer was complete.
    Broken,
    /// The connection closed where the answer may or may not have been complete.
    Unconfirmed,
    /// The response was not a valid answer, or belonged to another request.
    Garbled,
    /// The events were of another software version than the stream that they should go on with.
    OtherVersion,
    /// This node had no memory for a part of the answer that has to be kept.
    NoMemory,
    /// The endpoint took too long, and another one was tried.
    Silent,
    /// The deadline of the caller or of the route passed.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
    /// This node's grace period ended.
    Abandoned,
}

impl End {
    /// Returns whether the endpoint ran, may have run, or did not run the request.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Finished | Self::Failed => Verdict::Ran,
            Self::Rejected
            | Self::Misdirected
            | Self::Replaced
            | Self::Unreachable
            | Self::Unsent
            | Self::Forbidden => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// Next step after an attempt without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Place the request again.
    Retry,
    /// Stop retrying; an answer that arrived is forwarded unchanged.
    GiveUp(Refusal),
}
