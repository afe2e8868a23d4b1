//! The bytes that all requests and answers of the process keep together, and who holds them.
//!
//! Everything that is kept until it is complete, or for longer than a read of its connection, reserves
//! its bytes from one budget: bodies of requests while they are read and until their requests end, short answers, events
//! that are long or not complete, and texts collected from events, and answers of the configuration service. What is
//! bounded by a few kilobytes a connection is bounded by the number of connections.

use peridotdeck_core::id;
use peridotdeck_io::{
    budget::{Budget, Denied, Holder, Reservation},
    connections::CONNECTION_BYTES,
};
use peridotdeck_settings::Settings;
use xxhash_rust::xxh3::xxh3_64;

/// Part of the process's memory that is not for bodies: code, tables, buffers of connections, what is
/// copied for a moment, and the allocator's loss.
const OTHER_PART: usize = 2;

/// Bit of a holder's number that tells organisations from endpoints.
const ORGANISATION_BIT: u64 = 1 << 63;

/// Returns the budget of a process with so much memory.
#[must_use]
pub fn budget(memory_mb: u32) -> Budget {
    Budget::new(((memory_mb as usize) << 20) / OTHER_PART)
}

/// Returns the number of callers' connections that may be open with these settings.
#[must_use]
pub fn connections(settings: &Settings) -> usize {
    let by_memory = ((settings.memory_mb as usize) << 20) / OTHER_PART / CONNECTION_BYTES;
    by_memory.min(settings.open_connections as usize)
}

/// A holder of bytes of a budget, with its name in logs.
#[derive(Clone, Debug)]
pub struct Account {
    budget: Budget,
    holder: Holder,
    name: String,
}

impl Account {
    /// Returns the account of what an organisation's requests keep.
    #[must_use]
    pub fn organisation(budget: &Budget, name: &str) -> Self {
        Self {
            budget: budget.clone(),
            holder: Holder::numbered(xxh3_64(name.as_bytes()) | ORGANISATION_BIT),
            name: name.to_owned(),
        }
    }

    /// Returns the account of what an endpoint's answers keep.
    #[must_use]
    pub fn endpoint(budget: &Budget, id: id::Endpoint) -> Self {
        Self {
            budget: budget.clone(),
            holder: Holder::numbered(id.into()),
            name: format!("endpoint:{id:08x}"),
        }
    }

    /// Returns the account of messages and requests that peers and operators send.
    #[must_use]
    pub fn messages(budget: &Budget) -> Self {
        Self {
            budget: budget.clone(),
            holder: Holder::numbered(ORGANISATION_BIT - 1),
            name: "messages".to_owned(),
        }
    }

    /// Returns the account of the configuration, which only the whole budget binds.
    #[must_use]
    pub fn configuration(budget: &Budget) -> Self {
        Self {
            budget: budget.clone(),
            holder: Holder::PROCESS,
            name: "configuration".to_owned(),
        }
    }

    /// Returns a reservation that has no bytes yet.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        self.budget.reservation(self.holder)
    }

    /// Raises a reservation of this account to a number of bytes, and logs a denial.
    ///
    /// # Errors
    /// If the account's share or the whole budget is in use.
    pub fn cover(&self, held: &mut Reservation, bytes: usize) -> Result<(), Denied> {
        held.cover(bytes).inspect_err(|cause| {
            let usage = self.budget.usage();
            log::warn!(
                "event=memory_denied holder={} bytes={bytes} used={} limit={} cause=\"{cause}\"",
                self.name,
                usage.used,
                usage.limit
            );
        })
    }
}
