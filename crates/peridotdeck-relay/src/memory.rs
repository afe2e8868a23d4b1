//! What requests and answers may keep in memory, all together.
//!
//! Answers are counted for their endpoints.

use peridotdeck_core::dispatch::Key;
use peridotdeck_io::budget::{Budget, Holder};

/// Memory of a process that serves nothing, in bytes.
const IDLE_BYTES: usize = 14 << 20;

/// Smallest part of the limit that may be kept, for limits near [`IDLE_BYTES`].
const MIN_DIVISOR: usize = 8;

/// Returns the budget of a process that may have so many bytes.
///
/// Half of what an idle process leaves is for what is kept; the rest is for the buffers of
/// connections, and for memory that the allocator holds.
#[must_use]
pub fn budget(limit: Option<usize>) -> Budget {
    limit.map_or_else(Budget::default, |limit| {
        let spare = limit.saturating_sub(IDLE_BYTES) / 2;
        Budget::new(spare.max(limit / MIN_DIVISOR))
    })
}

/// Returns the holder of an endpoint's answers.
pub(crate) fn of_endpoint(key: Key) -> Holder {
    Holder::numbered(u64::from(key))
}
