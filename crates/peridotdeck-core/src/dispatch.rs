//! Placement by every node for its own callers, without owners.
//!
//! Where batching engines have room and the question is which of them has read the prompt already,
//! a slot that is granted by an owner costs a round trip and settles little. Here each node
//! places its callers' requests at once, from its own counts, from what its peers tell several
//! times a second ([`fleet`]), and from which prompt prefixes lie where ([`prefix`]). What must
//! hold summed over all nodes has a stated share for each node: the budget of repeats
//! ([`budget`]) is divided, and a cold endpoint takes requests from a few nodes
//! ([`dispatcher`]). `docs/design/PLATFORM.md` weighs this against owners.
//!
//! The parts, in the order in which a request meets them:
//!
//! - [`registry`]: the configuration and the endpoints in force, which never go back;
//! - [`flight`]: one caller's request, and what may still be done with it;
//! - [`placement`]: which endpoint gets it, or why none does;
//! - [`endpoint`]: what this node knows about one endpoint;
//! - [`attempt`]: what is sent, how it ends, and what follows;
//! - [`dispatcher`]: all of that together.

pub mod attempt;
pub mod budget;
pub mod config;
pub mod crashes;
pub mod dispatcher;
pub mod due;
pub mod endpoint;
pub mod fleet;
pub mod flight;
pub mod mean;
pub mod placement;
pub mod prefix;
pub mod refusal;
pub mod registry;

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use dispatcher::Dispatcher;

/// Digest of an endpoint's id and start: a restarted endpoint has another.
pub type Key = u32;
/// Digest of a part of prompts.
pub type Prefix = u64;
/// Digest of a data centre's name.
pub type DataCentre = u32;
/// Address by which the nodes know each other.
pub type Node = Ipv4Addr;

/// Returns the digest of an endpoint's id and its start in Unix milliseconds.
#[must_use]
pub fn key(id: &str, born: u64) -> Key {
    xxh3_64_with_seed(id.as_bytes(), born) as Key
}

/// Returns the digest of a data centre's name.
#[must_use]
pub fn data_centre(name: &str) -> DataCentre {
    xxh3_64(name.as_bytes()) as DataCentre
}
