//! The bytes that all requests and answers of the process keep together, and who holds them.
//!
//! Everything that is kept until it is complete, or for longer than a read of its connection, reserves
//! its bytes from one budget: bodies of requests while they are read and until their requests end. What is
//! bounded by a few kilobytes a connection is bounded by the number of connections.

use peridotdeck_io::budget::{Budget, Denied, Holder};
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

/// Returns the holder of what an organisation's requests keep.
#[must_use]
pub fn organisation(name: &str) -> Holder {
    Holder::numbered(xxh3_64(name.as_bytes()) | ORGANISATION_BIT)
}

/// Logs that bytes were denied; `holder` names who needed them.
pub fn log_denial(budget: &Budget, holder: &str, bytes: usize, cause: Denied) {
    let usage = budget.usage();
    log::warn!(
        "event=memory_denied holder={holder} bytes={bytes} used={} limit={} cause=\"{cause}\"",
        usage.used,
        usage.limit
    );
}
