//! Identifiers, and the clock time passed to decisions.

use std::time::Duration;

/// Number of a VM in the platform's VM list.
pub type Node = u32;
/// Number of an endpoint in the configuration.
pub type Endpoint = u32;
/// Digest of a pool's service, data centre and shard.
pub type Pool = u64;
/// Id of a caller's request, unique across nodes and restarts.
pub type Request = u64;
/// Id of one attempt to run a request, unique across nodes and restarts.
pub type Attempt = u64;
/// Digest of a whole request, equal for repetitions of it.
pub type Fingerprint = u64;
/// Start time of a process in seconds; a later process of the same node has a higher value.
pub type Incarnation = u64;
/// Revision of the configuration or index of the VM list.
pub type Revision = u64;
/// Time since the process started, from a monotonic clock.
pub type Time = Duration;

/// Bits of an id that hold the node.
const NODE_BITS: u32 = 20;

/// Bits of an id that hold the incarnation: its start second modulo 2^14 (4.5 hours).
const INCARNATION_BITS: u32 = 14;

/// Bits of an id that hold the counter.
const COUNT_BITS: u32 = 64 - NODE_BITS - INCARNATION_BITS;

/// Generates ids of requests or attempts that no other node or process generates.
///
/// Node, incarnation and counter are packed, not hashed: a collision would let two attempts share
/// one slot, or two requests share one reservation.
#[derive(Clone, Debug)]
pub struct Generator {
    base: u64,
    count: u64,
}

impl Generator {
    /// Creates the generator of one process.
    #[must_use]
    pub fn new(node: Node, incarnation: Incarnation) -> Self {
        let node = u64::from(node) & ((1 << NODE_BITS) - 1);
        let start = incarnation & ((1 << INCARNATION_BITS) - 1);
        Self {
            base: (node << INCARNATION_BITS | start) << COUNT_BITS,
            count: 0,
        }
    }

    /// Returns a new id.
    pub fn issue(&mut self) -> u64 {
        self.count = (self.count + 1) & ((1 << COUNT_BITS) - 1);
        self.base | self.count
    }
}
