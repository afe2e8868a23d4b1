//! What told a node at which version a stream goes on.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use crate::dispatch::{Software, registry::Position};

/// The fact by which a node decided at which version a stream that its caller takes up goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Evidence {
    /// This node passed on the stream's first event.
    Own,
    /// A peer has told of the stream.
    Told,
    /// Endpoints of one version hold the last part of the prompt.
    Cache,
    /// The caller names no stream, and the service has one version only, as the publisher has just shown.
    Publisher,
}

/// What kept a node from naming the version of a stream that its caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Doubt {
    /// Nodes tell of several versions.
    Contradicted,
    /// No node knows the stream, and caches do not count, as peers have known all versions for long.
    Untold,
    /// No endpoint is known to hold the last part of the prompt.
    Uncached,
    /// Endpoints of several versions hold it.
    SeveralCached,
    /// An endpoint of another version has not listed its cache in time.
    Unlisted,
    /// The publisher has not shown lately that the endpoint list is complete.
    Unconfirmed,
    /// The publisher's history has not been read, so endpoints may have left that nobody knows of.
    Unread,
    /// An endpoint of another version has left at which the stream may have begun.
    Departed,
}

impl Doubt {
    /// Returns whether what is missing has been asked for and may come soon.
    #[must_use]
    pub fn may_pass(self) -> bool {
        matches!(self, Self::Unlisted | Self::Unconfirmed | Self::Unread)
    }
}

/// A decision on a stream's version, with the facts that were known then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// What the decision was based on.
    pub by: Evidence,
    /// The version; none if the stream may go on at any, since there is one only.
    pub software: Option<Software>,
    /// Position of the endpoint list.
    pub roster: Position,
    /// Age of the endpoint list.
    pub roster_age: Duration,
    /// Time for which all versions have been known; zero at a node out of step.
    pub history: Duration,
}
