//! Request placement by every node for its own callers, without pool owners.
//!
//! When batching engines have room, the main question is which of them has already read the
//! prompt. A slot that an owner grants then costs a round trip and improves little. Here each node
//! places its callers' requests immediately. It uses its own counts, the heartbeats that its peers
//! send several times a second ([`fleet`]), and an index of the prompt prefixes that each endpoint
//! holds ([`prefix`]).
//!
//! A limit that applies to all nodes together is divided into a share for each node. The retry
//! budget is split among the nodes ([`budget`]), and a cold endpoint accepts requests from only a
//! few of them ([`dispatcher`]). `docs/design/PLATFORM.md` compares this design with owners.
//!
//! The modules, in the order in which a request passes through them:
//!
//! - [`registry`]: the current configuration and endpoints, whose revisions never decrease;
//! - [`flight`]: one caller's request and the attempts that it may still make;
//! - [`region`]: the regions that may serve it;
//! - [`placement`]: the choice of an endpoint, or the reasons why none is eligible;
//! - [`endpoint`]: this node's knowledge of one endpoint, and its [`path`]s to it;
//! - [`attempt`]: a request sent to an endpoint, its outcome and the next step;
//! - [`balance`]: the correction of old reports of load, and the draw among close scores;
//! - [`feature`]: the parts of the placement that settings switch on;
//! - [`lending`]: work that busy data centres send to others;
//! - [`speed`]: lasting speeds of endpoints, and their short stalls;
//! - [`share`]: who gets room that is too small for all;
//! - [`duration`]: how long complete answers have taken, for a node that leaves;
//! - [`dispatcher`]: the state and decisions that combine all of these.

pub mod attempt;
pub mod balance;
pub mod budget;
pub mod config;
pub mod crashes;
pub mod departures;
pub mod detour;
pub mod dispatcher;
pub mod due;
pub mod duration;
pub mod endpoint;
pub mod feature;
pub mod fleet;
pub mod flight;
pub mod lending;
pub mod mean;
pub mod path;
pub mod placement;
pub mod prefix;
pub mod rate;
pub mod refusal;
pub mod region;
pub mod registry;
pub mod share;
pub mod speed;
pub mod stream;

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

pub use dispatcher::Dispatcher;

/// Digest of an endpoint's id and start time, so a restarted endpoint has a new one.
pub type Key = u32;
/// Digest of a prompt prefix.
pub type Prefix = u64;
/// Digest of a data centre's name.
pub type DataCentre = u32;
/// Digest of the version of an endpoint's software.
pub type Software = u32;
/// Address that identifies a node to its peers.
pub type Node = Ipv4Addr;

/// Returns the digest of an endpoint's id and its start time in Unix milliseconds.
#[must_use]
pub fn key(id: &str, born: u64) -> Key {
    // A seed would do for long ids only: digests of short inputs with neighbouring seeds collide.
    let mut digest = Xxh3::new();
    digest.update(id.as_bytes());
    digest.update(&born.to_le_bytes());
    digest.digest() as Key
}

/// Returns the digest of an endpoint's id, which stands for all processes that start under it.
#[must_use]
pub fn id_key(id: &str) -> Key {
    /// Start time that no process has.
    const ANY_START: u64 = 0;
    key(id, ANY_START)
}

/// Returns the digest of a data centre's name.
#[must_use]
pub fn data_centre(name: &str) -> DataCentre {
    xxh3_64(name.as_bytes()) as DataCentre
}

/// Returns the digest of a version of endpoints' software.
#[must_use]
pub fn software(version: &str) -> Software {
    xxh3_64(version.as_bytes()) as Software
}
