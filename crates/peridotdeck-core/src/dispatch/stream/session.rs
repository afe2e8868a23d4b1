//! The version at which the streams of a session begin, which every node derives alike.
//!
//! An endpoint that has read the last part of a session's prompt did not necessarily begin its stream:
//! an earlier stream of the session may have run there. After all nodes have ended, the cache alone
//! would name the wrong version. So the version is no matter of chance: each session ranks the
//! endpoints, and its streams begin at the version of the one that ranks first. A node that knows which
//! endpoints there were can tell afterwards at which versions a stream may have begun.

use crate::{
    dispatch::{Prefix, id_key},
    rendezvous,
};

/// Rank of an endpoint for a session; the highest one decides.
pub type Rank = u64;

/// Returns the rank of an endpoint for the session that the last part of a prompt belongs to.
///
/// It is the same for all processes under the endpoint's id. The share of the sessions that rank a
/// version first is the version's share of the endpoints, and an endpoint that joins or leaves moves
/// only the sessions that rank it first.
#[must_use]
pub fn rank(own: Prefix, id: &str) -> Rank {
    rendezvous::weight(own, id_key(id))
}
