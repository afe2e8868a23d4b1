//! Entry of an endpoint in the published endpoint list.

use std::{net::SocketAddrV4, time::Duration};

use serde::{Deserialize, Serialize};

use crate::dispatch::{Key, Software, key, software};

/// Location and state of an endpoint, as it announces them itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique name of the endpoint.
    pub id: String,
    /// Start time of the process in Unix milliseconds.
    pub born: u64,
    /// Name of the service that the endpoint belongs to.
    pub service: String,
    /// Version of the endpoint's software; streams of two versions do not fit together.
    pub version: String,
    /// Address on which it listens.
    pub address: SocketAddrV4,
    /// Name of the endpoint's data centre.
    #[serde(rename = "place")]
    pub data_centre: String,
    /// Most requests that it runs concurrently.
    pub slots: u32,
    /// Whether the endpoint finishes its requests before it leaves.
    pub draining: bool,
    /// Time for which the endpoint announces that it is still cold.
    pub cold: Duration,
}

impl Endpoint {
    /// Returns the digest of the id and the start time.
    #[must_use]
    pub fn key(&self) -> Key {
        key(&self.id, self.born)
    }

    /// Returns the digest of the software's version.
    #[must_use]
    pub fn software(&self) -> Software {
        software(&self.version)
    }

    /// Returns whether this entry describes a later state than another entry of the same id.
    ///
    /// A process that drains never stops to, and a later process has a later start.
    #[must_use]
    pub fn is_later_than(&self, other: &Self) -> bool {
        let drains = self.born == other.born && self.draining && !other.draining;
        drains || self.born > other.born
    }
}
