//! Idempotency keys: a request that may not be repeated runs at most once.
//!
//! Before such a request is sent to an endpoint, its idempotency key is reserved at a majority of
//! the key's witnesses: three nodes, in three data centres if there are that many. Any two
//! majorities share a witness, so two entry nodes cannot both reserve a key, even if one is paused,
//! partitioned or slow. No lease or clock is involved. A witness that started empty does not vote
//! on a key until every listed peer has sent it the reservations that it must know.
//! `docs/design/CLAIMS.md` states what remains unsafe.

mod reservation;
mod witness;

pub use reservation::{Reservation, State};
pub use witness::{RETENTION, Witness};

use peridotdeck_policy::digest_name;
use peridotdeck_wire::Member;

use crate::{id, rendezvous};

/// Number of witnesses of a key, if the VM list has that many nodes.
pub const WITNESSES_PER_KEY: usize = 3;

/// Returns the witnesses of a key, in different data centres as far as possible.
#[must_use]
pub fn choose_witnesses(key: &str, members: &[Member]) -> Vec<id::Node> {
    let digest = digest_name(key);
    let remaining = || members.iter().filter(|member| !member.leaving);
    let mut ranked: Vec<(usize, u64, u64, id::Node)> = Vec::new();
    let mut data_centres: Vec<&str> = remaining().map(|member| member.place.as_str()).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    for data_centre in data_centres {
        let nodes = remaining()
            .filter(|member| member.place == data_centre)
            .map(|member| member.node);
        let data_centre_weight = rendezvous::weight(digest, digest_name(data_centre) as u32);
        for (position, node) in rendezvous::order(digest, nodes)
            .into_iter()
            .take(WITNESSES_PER_KEY)
            .enumerate()
        {
            ranked.push((
                position,
                u64::MAX - data_centre_weight,
                u64::MAX - rendezvous::weight(digest, node),
                node,
            ));
        }
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(WITNESSES_PER_KEY)
        .map(|(.., node)| node)
        .collect()
}

/// Returns whether a change of the VM list may make a node in `data_centre` the witness of keys
/// whose reservations it lacks.
#[must_use]
pub fn needs_transfer(data_centre: &str, old: &[Member], new: &[Member]) -> bool {
    let data_centres = |members: &[Member]| {
        let mut names: Vec<String> = members.iter().map(|member| member.place.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    };
    let own = |members: &[Member]| -> Vec<(id::Node, bool)> {
        let local = members.iter().filter(|member| member.place == data_centre);
        local.map(|member| (member.node, member.leaving)).collect()
    };
    let old_data_centres = data_centres(old);
    if old_data_centres != data_centres(new) {
        return true;
    }
    if old_data_centres.len() < WITNESSES_PER_KEY {
        old != new
    } else {
        own(old) != own(new)
    }
}
