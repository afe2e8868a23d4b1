//! Reports of a publisher and the changes that they lead to.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::{Endpoint, Position, name};
use crate::dispatch::config::Config;

/// Kind of published data, with a revision of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Area {
    /// The operators' configuration and the data centres that they have closed.
    Policy,
    /// The endpoints that have announced themselves.
    Roster,
}

/// One published fact.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A published configuration.
    Config(Config),
    /// A data centre takes no new requests.
    Closed(String),
    /// A data centre takes new requests again.
    Opened(String),
    /// An endpoint was added or changed.
    Endpoint(Endpoint),
    /// An endpoint is no longer listed, or its entry cannot be read.
    Gone(String),
}

impl Fact {
    /// Returns what is to be applied of a fact, whoever published it.
    ///
    /// An entry that cannot describe an endpoint names none. A name that no data centre can have is
    /// no fact.
    pub(super) fn checked(self) -> Option<Self> {
        match self {
            Self::Endpoint(endpoint) if endpoint.check().is_err() => Some(Self::Gone(endpoint.id)),
            Self::Closed(name) | Self::Opened(name) if !name::is_valid(&name) => None,
            fact => Some(fact),
        }
    }

    /// Returns the id of the endpoint that the fact lists, if any.
    pub(super) fn listed(&self) -> Option<&str> {
        match self {
            Self::Endpoint(endpoint) => Some(&endpoint.id),
            _ => None,
        }
    }

    /// Returns the endpoint that the fact lists, if any.
    pub(in crate::dispatch) fn endpoint_entry(&self) -> Option<&Endpoint> {
        match self {
            Self::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        }
    }

    /// Returns the id of the endpoint that the fact lists or removes, if any.
    pub(super) fn endpoint(&self) -> Option<&str> {
        match self {
            Self::Endpoint(endpoint) => Some(&endpoint.id),
            Self::Gone(id) => Some(id),
            Self::Config(_) | Self::Closed(_) | Self::Opened(_) => None,
        }
    }
}

/// Positions of an area at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Position of the last change.
    pub changed: Position,
    /// Position as of which the publisher was last read.
    pub read: Position,
}

/// Facts of one area, as a publisher reports them.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Area that the facts belong to.
    pub area: Area,
    /// Position as of which the facts hold.
    pub position: Position,
    /// Progress of the newest fact, in the same era.
    pub newest: u64,
    /// Whether the facts are the complete state of the area, or only changes.
    pub whole: bool,
    /// Reported facts, oldest first.
    pub facts: Vec<Fact>,
}

/// Changes that a report or a snapshot has led to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Version of the configuration that has come into force, if one has.
    pub version: Option<u64>,
    /// Data centres that were closed.
    pub closed: Vec<String>,
    /// Data centres that were opened again.
    pub opened: Vec<String>,
    /// Endpoints that were added or changed.
    pub updated: Vec<Endpoint>,
    /// Endpoints that were removed, also if a restarted process replaces them.
    pub removed: Vec<Endpoint>,
    /// Ids of removed endpoints that this node has never known, while peers may know them.
    pub passed_by: Vec<String>,
}

impl Change {
    /// Returns whether endpoints that were in use may not be used any more.
    #[must_use]
    pub fn takes_away(&self) -> bool {
        let drains = self.updated.iter().any(|endpoint| endpoint.draining);
        drains || !self.removed.is_empty() || !self.closed.is_empty()
    }
}
