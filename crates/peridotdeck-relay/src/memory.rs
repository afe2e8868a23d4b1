//! What requests and answers may keep in memory, all together.
//!
//! Bodies of requests are counted for their organisations, answers for their endpoints, and what the
//! node reads for itself for the process. `docs/design/MEMORY.md` has the arithmetic.

use peridotdeck_core::dispatch::{Key, config::Organisation};
use peridotdeck_io::{
    budget::{Budget, Holder},
    connections::{Bound, CONNECTION_BYTES, EXCHANGE_BYTES},
};
use xxhash_rust::xxh3::xxh3_64;

/// Memory of a process that serves nothing, in bytes.
const IDLE_BYTES: usize = 14 << 20;

/// Smallest part of the limit that may be kept, for limits near [`IDLE_BYTES`].
const MIN_DIVISOR: usize = 8;

/// Descriptors for files and the like, which no connection may take.
const OTHER_DESCRIPTORS: usize = 200;

/// Smallest bound of callers' connections, and of requests in progress.
const MIN_CONNECTIONS: usize = 64;

/// Bit that tells the numbers of endpoints from those of organisations.
const ENDPOINT_BIT: u64 = 1 << 63;

/// Numbers below that of any organisation.
const RESERVED_NUMBERS: u64 = 2;

/// Requests of routes that are public.
const PUBLIC: Holder = Holder::numbered(0);

/// Requests of no known organisation, which will be refused.
pub(crate) const UNIDENTIFIED: Holder = Holder::numbered(1);

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

/// Returns what the connections of a process may take.
///
/// `memory` is what the process may have in bytes, and `descriptors` how many it may have open, if
/// they are bounded. A quarter of the descriptors is not for callers.
#[must_use]
pub fn connections(memory: Option<usize>, descriptors: Option<usize>) -> Bound {
    const MIN_BYTES: usize = MIN_CONNECTIONS * (CONNECTION_BYTES + EXCHANGE_BYTES);
    const MIN_DESCRIPTORS: usize = 2 * MIN_CONNECTIONS;
    let bytes = memory.map(|limit| limit.saturating_sub(IDLE_BYTES) / 2);
    let descriptors = descriptors.map(|limit| limit.saturating_sub(OTHER_DESCRIPTORS));
    let by_memory = bytes.map(|bytes| bytes / CONNECTION_BYTES);
    let by_descriptors = descriptors.map(|descriptors| descriptors / 4 * 3);
    let callers = by_memory.into_iter().chain(by_descriptors).min();
    Bound {
        callers: callers.map_or(usize::MAX, |bound| bound.max(MIN_CONNECTIONS)),
        bytes: bytes.map_or(usize::MAX, |bytes| bytes.max(MIN_BYTES)),
        descriptors: descriptors.map_or(usize::MAX, |number| number.max(MIN_DESCRIPTORS)),
    }
}

/// Returns the holder of an endpoint's answers.
pub(crate) fn of_endpoint(key: Key) -> Holder {
    Holder::numbered(ENDPOINT_BIT | u64::from(key))
}

/// Returns the holder of a request's body; the request of a public route has no organisation.
pub(crate) fn of_request(organisation: Option<&Organisation>) -> Holder {
    organisation.map_or(PUBLIC, |organisation| {
        let digest = xxh3_64(organisation.name.as_bytes());
        Holder::numbered((digest & !ENDPOINT_BIT).max(RESERVED_NUMBERS))
    })
}
