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
