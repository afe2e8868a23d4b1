//! An attempt at an endpoint: what is ordered, how it ends, and what follows.

use std::{net::SocketAddrV4, time::Duration};

use strum::{Display, IntoStaticStr};

use super::{
    Key,
    endpoint::Load,
    placement::{Estimate, Exclusion},
    refusal::Refusal,
};
use crate::{Verdict, id::Time};

/// What to do with a request now.
#[derive(Clone, Debug)]
pub enum Placement {
    /// Send it.
    Send(Order),
    /// Ask again after a while.
    Wait(Delay),
    /// Tell the caller.
    Refuse(Refusal, Vec<Exclusion>),
}

/// Why a request waits at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Obstacle {
    /// The configuration is not known any more.
    Unconfigured,
    /// No endpoint may take it.
    NoEndpoint,
    /// The best endpoint has no room that more urgent requests would not take from it.
    Full,
    /// It would be late wherever it goes, and make others late.
    Late,
}

/// A time to wait, and what that was decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// Time until the next decision.
    pub time: Duration,
    /// Why.
    pub cause: Obstacle,
    /// Requests at the best endpoint; 0 if there is none.
    pub running: u32,
    /// Expected time to its answer; zero if there is none.
    pub expected: Duration,
}

impl Delay {
    /// Returns the time until the next look for an endpoint.
    #[must_use]
    pub fn short(cause: Obstacle) -> Self {
        /// Pause between two looks.
        const LOOK: Duration = Duration::from_millis(20);
        Self {
            time: LOOK,
            cause,
            running: 0,
            expected: Duration::ZERO,
        }
    }
}

/// An attempt to make.
#[derive(Clone, Debug)]
pub struct Order {
    /// The attempt, to be given back when it ends.
    pub attempt: Attempt,
    /// Where to send it.
    pub address: SocketAddrV4,
    /// Id that the endpoint must have.
    pub instance: String,
    /// Endpoint from which the beginning of the prompt should be fetched.
    pub source: Option<SocketAddrV4>,
    /// Rank at the endpoint; 0 is served first.
    pub rank: u8,
    /// Time without an answer after which another endpoint should be asked.
    pub hedge: Option<Duration>,
    /// What was expected of the endpoint.
    pub estimate: Estimate,
    /// Work that was known of at the endpoint.
    pub load: Load,
    /// Revision of the endpoint list.
    pub roster: u64,
    /// Time since the endpoint list was known to be up to date.
    pub roster_age: Duration,
}

/// Work that was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub(super) key: Key,
    pub(super) load: Load,
    pub(super) expected: Duration,
    pub(super) sent: Time,
}

impl Attempt {
    /// Returns the endpoint.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns when it was placed.
    #[must_use]
    pub fn sent(&self) -> Time {
        self.sent
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The whole answer came.
    Finished,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint vouches that it did not run it.
    Rejected,
    /// Another endpoint has the address; it did not run it.
    Misdirected,
    /// No connection was opened, so it did not run.
    Unreachable,
    /// The connection ended before the whole answer.
    Broken,
    /// What came was no answer, or another request's.
    Garbled,
    /// It took too long, and another endpoint was asked.
    Silent,
    /// Caller or route gave up.
    TimedOut,
    /// The caller has gone.
    Cancelled,
}

impl End {
    /// Returns whether the attempt may have run.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Finished | Self::Failed => Verdict::Ran,
            Self::Rejected | Self::Misdirected | Self::Unreachable => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// What to do after an attempt without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Place it again.
    Again,
    /// Nothing more can be done; an answer that is there is passed on as it is.
    GiveUp(Refusal),
}
