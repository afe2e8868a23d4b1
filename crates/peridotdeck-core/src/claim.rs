//! At most one run of a call that may not be repeated.
//!
//! Before the call is sent, its idempotency key is reserved at a majority of the key's witnesses:
//! three nodes, in three data centres where there are as many. Any two majorities share a witness,
//! so two entry nodes cannot both win, whether they are paused, cut off or slow, and no lease or
//! clock is involved. A witness that has started empty does not vote on a key until every listed
//! peer has told it what it must know. `docs/design/CLAIMS.md` states what remains unsafe.

mod reservation;
mod witness;

pub use reservation::{Reservation, State};
pub use witness::{RETENTION, Witness};

use peridotdeck_policy::digest_name;
use peridotdeck_wire::Member;

use crate::{id, rank};

/// Witnesses of a key.
pub const WITNESSES_PER_KEY: usize = 3;

/// Returns the witnesses of a key: in different data centres first.
#[must_use]
pub fn choose_witnesses(key: &str, members: &[Member]) -> Vec<id::Node> {
    let digest = digest_name(key);
    let staying = || members.iter().filter(|member| !member.leaving);
    let mut ranked: Vec<(usize, u64, u64, id::Node)> = Vec::new();
    let mut places: Vec<&str> = staying().map(|member| member.place.as_str()).collect();
    places.sort_unstable();
    places.dedup();
    for place in places {
        let nodes = staying()
            .filter(|member| member.place == place)
            .map(|member| member.node);
        let place_weight = rank::weight(digest, digest_name(place) as u32);
        for (round, node) in rank::order(digest, nodes)
            .into_iter()
            .take(WITNESSES_PER_KEY)
            .enumerate()
        {
            ranked.push((
                round,
                u64::MAX - place_weight,
                u64::MAX - rank::weight(digest, node),
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

/// Returns whether a change of the VM list may make a node witness of keys that it does not know.
#[must_use]
pub fn needs_transfer(place: &str, old: &[Member], new: &[Member]) -> bool {
    let places = |members: &[Member]| {
        let mut names: Vec<String> = members.iter().map(|member| member.place.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    };
    let own = |members: &[Member]| -> Vec<(id::Node, bool)> {
        let local = members.iter().filter(|member| member.place == place);
        local.map(|member| (member.node, member.leaving)).collect()
    };
    let old_places = places(old);
    if old_places != places(new) {
        return true;
    }
    if old_places.len() < WITNESSES_PER_KEY {
        old != new
    } else {
        own(old) != own(new)
    }
}
