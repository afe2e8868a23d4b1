//! Entry of an endpoint in the published endpoint list.

use std::{net::SocketAddrV4, time::Duration};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::name;
use crate::dispatch::{Key, Software, config::MAX_TIME, key, software};

/// Largest number of requests that an endpoint may claim to run concurrently.
const MAX_SLOTS: u32 = 1 << 20;

/// Latest start time in Unix milliseconds, the end of the year 9999.
const MAX_BORN: u64 = 253_402_300_799_999;

quick_error! {
    /// Why an entry names no endpoint to use.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The id cannot be sent in a header, or is too long.
        Id {
            display("id is empty, too long or not of visible ASCII characters")
        }
        /// A name is empty, too long or has control characters.
        Name(field: &'static str) {
            display("{field} is empty, too long or has control characters")
        }
        /// No connection can be opened to the address.
        Address(address: SocketAddrV4) {
            display("address {address} is not that of one server")
        }
        /// A number is larger than any endpoint's.
        Number(field: &'static str) {
            display("{field} is too large")
        }
    }
}

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
    /// Checks that the entry can describe an endpoint, whoever wrote it.
    ///
    /// # Errors
    /// Returns the first reason why it cannot.
    pub fn check(&self) -> Result<(), Error> {
        if !name::is_id(&self.id) {
            return Err(Error::Id);
        }
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast()
        {
            return Err(Error::Address(self.address));
        }
        let fields = [
            (name::is_valid(&self.service), Error::Name("service")),
            (
                name::is_valid(&self.data_centre),
                Error::Name("data centre"),
            ),
            (
                self.version.is_empty() || name::is_valid(&self.version),
                Error::Name("version"),
            ),
            (self.slots <= MAX_SLOTS, Error::Number("slots")),
            (self.born <= MAX_BORN, Error::Number("start time")),
            (self.cold <= MAX_TIME, Error::Number("cold time")),
        ];
        match fields.into_iter().find(|(is_valid, _)| !is_valid) {
            Some((_, error)) => Err(error),
            None => Ok(()),
        }
    }

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

    /// Returns whether another endpoint runs the same version of the same service.
    #[must_use]
    pub fn is_same_build(&self, other: &Self) -> bool {
        self.service == other.service && self.version == other.version
    }

    /// Returns whether the process may have started after one that started at `born`.
    ///
    /// An entry without a start may be of any time.
    #[must_use]
    pub fn may_be_younger_than(&self, born: u64) -> bool {
        self.born == 0 || self.born > born
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
