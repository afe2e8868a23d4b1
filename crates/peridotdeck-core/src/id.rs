//! Identifiers, and the time that decisions are given.

use std::time::Duration;

/// Number of a VM in the platform's VM list.
pub type Node = u32;
/// Number of an endpoint in the configuration.
pub type Endpoint = u32;
/// Digest of service, data centre and shard.
pub type Pool = u64;
/// A caller's request, unique over nodes and restarts.
pub type Request = u64;
/// One try to run a request, unique over nodes and restarts.
pub type Attempt = u64;
/// Digest of a whole request.
pub type Fingerprint = u64;
/// Start time of a process in seconds; a later process of the same node has a higher one.
pub type Incarnation = u64;
/// Revision of the configuration or index of the VM list.
pub type Revision = u64;
/// Time since the process started, from a monotonic clock.
pub type Time = Duration;

/// Bits of an id that name the node.
const NODE_BITS: u32 = 20;

/// Bits of an id that name the start of the process: its second within four and a half hours.
const START_BITS: u32 = 14;

/// Bits of an id that count.
const COUNT_BITS: u32 = 64 - NODE_BITS - START_BITS;

/// Numbers requests or attempts so that no two nodes and no two processes ever share a number.
///
/// The parts are packed, not hashed: a collision would let two attempts share one slot, or two
/// calls share one reservation.
#[derive(Clone, Debug)]
pub struct Generator {
    base: u64,
    count: u64,
}

impl Generator {
    /// Starts the numbers of a process.
    #[must_use]
    pub fn new(node: Node, incarnation: Incarnation) -> Self {
        let node = u64::from(node) & ((1 << NODE_BITS) - 1);
        let start = incarnation & ((1 << START_BITS) - 1);
        Self {
            base: (node << START_BITS | start) << COUNT_BITS,
            count: 0,
        }
    }

    /// Returns a new number.
    pub fn issue(&mut self) -> u64 {
        self.count = (self.count + 1) & ((1 << COUNT_BITS) - 1);
        self.base | self.count
    }
}
