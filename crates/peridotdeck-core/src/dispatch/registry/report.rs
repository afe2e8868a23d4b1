//! What a publisher reports, and what that changes.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::Endpoint;
use crate::dispatch::config::Config;

/// What is published together, with one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Area {
    /// The operators' configuration and the data centres that they have taken out.
    Policy,
    /// The endpoints that have announced themselves.
    Roster,
}

/// One thing that a publisher says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A configuration.
    Config(Config),
    /// A data centre takes no new work.
    Closed(String),
    /// A data centre takes work again.
    Opened(String),
    /// An endpoint, new or changed.
    Endpoint(Endpoint),
    /// An endpoint is no longer listed, or its entry cannot be read.
    Gone(String),
}

impl Fact {
    /// Returns the name of the endpoint that is listed, if the fact is about one.
    pub(super) fn listed(&self) -> Option<&str> {
        match self {
            Self::Endpoint(endpoint) => Some(&endpoint.id),
            _ => None,
        }
    }

    /// Returns the name of the endpoint that the fact is about, if it is about one.
    pub(super) fn endpoint(&self) -> Option<&str> {
        match self {
            Self::Endpoint(endpoint) => Some(&endpoint.id),
            Self::Gone(id) => Some(id),
            Self::Config(_) | Self::Closed(_) | Self::Opened(_) => None,
        }
    }
}

/// How new an area is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Of the last change.
    pub changed: u64,
    /// As of which the publisher was read last.
    pub read: u64,
}

/// What a publisher reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// What the facts belong to.
    pub area: Area,
    /// Revision as of which the facts hold.
    pub revision: u64,
    /// Revision of the newest fact.
    pub newest: u64,
    /// Whether the facts are all there is, or only what has changed.
    pub whole: bool,
    /// The facts.
    pub facts: Vec<Fact>,
}

/// What has changed by a report or a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Version of a configuration that came into force.
    pub version: Option<u64>,
    /// Data centres taken out.
    pub closed: Vec<String>,
    /// Data centres taken back.
    pub opened: Vec<String>,
    /// Endpoints that came or changed.
    pub updated: Vec<Endpoint>,
    /// Endpoints that left the list.
    pub removed: Vec<Endpoint>,
}
