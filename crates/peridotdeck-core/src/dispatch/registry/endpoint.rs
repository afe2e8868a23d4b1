//! What an endpoint says of itself.

use std::{net::SocketAddrV4, time::Duration};

use serde::{Deserialize, Serialize};

use crate::dispatch::{Key, key};

/// Where an endpoint is and how it says it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name that it answers to.
    pub id: String,
    /// Start of its process in Unix milliseconds.
    pub born: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its data centre.
    #[serde(rename = "place")]
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it says that it is cold.
    pub cold: Duration,
}

impl Endpoint {
    /// Returns the digest of id and start.
    #[must_use]
    pub fn key(&self) -> Key {
        key(&self.id, self.born)
    }
}
