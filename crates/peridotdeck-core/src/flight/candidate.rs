//! Ranking of the pools that may take a request.

use std::time::Duration;

use peridotdeck_policy::{Pool, Snapshot};

use super::{Context, Flight};
use crate::{id, membership::View, pool::queue_timeout, request::Call};

/// Assumed network delay to another data centre of this node's region.
const REGION_PATH_MS: u64 = 2;

/// Assumed network delay to a data centre of another region.
const REMOTE_PATH_MS: u64 = 40;

/// A pool that may take a request, with its sort keys. A smaller candidate is better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Whether the expected wait and delay exceed what is left of the class's queue timeout. Always
    /// `false` for bulk.
    pub exceeds_timeout: bool,
    /// Assumed network delay in milliseconds.
    pub path_ms: u64,
    /// Expected wait for a slot in milliseconds.
    pub wait_ms: u64,
    /// `u32::MAX` minus the free slots, so that the pool with the most free slots comes first.
    pub inverted_free_slots: u32,
    /// Id of the pool.
    pub pool: id::Pool,
    /// Node that schedules the pool.
    pub owner: id::Node,
}

/// Returns the pools that may take a request, best first.
///
/// Nearer pools come first, because paths between regions are slow and billed by volume. A farther
/// pool is better only if the nearer ones cannot grant a slot within the class's queue timeout.
#[must_use]
pub fn rank_candidates(
    call: &Call,
    waited: Duration,
    view: &View,
    snapshot: &Snapshot,
    now: id::Time,
) -> Vec<Candidate> {
    let Some(class) = snapshot.class(&call.class) else {
        return Vec::new();
    };
    let slack_ms = queue_timeout(class).saturating_sub(waited).as_millis() as u64;
    let open = snapshot
        .pools()
        .iter()
        .filter(|pool| pool.service == call.service && is_open(pool, snapshot));
    let mut candidates: Vec<Candidate> = open
        .filter_map(|pool| {
            let owner = view.owner(pool)?;
            let path_ms = path_ms(pool, view.data_centre(), snapshot);
            let summary = view.summary(pool.id, now);
            let wait_ms = summary.map_or(0, |summary| u64::from(summary.wait_ms));
            let exceeds_timeout = !class.bulk && wait_ms + path_ms > slack_ms;
            let inverted_free_slots = u32::MAX - summary.map_or(0, |summary| summary.free);
            Some(Candidate {
                exceeds_timeout,
                path_ms,
                wait_ms,
                inverted_free_slots,
                pool: pool.id,
                owner,
            })
        })
        .collect();
    candidates.sort();
    candidates
}

fn path_ms(pool: &Pool, local: &str, snapshot: &Snapshot) -> u64 {
    if pool.place == local {
        0
    } else if snapshot.same_region(&pool.place, local) {
        REGION_PATH_MS
    } else {
        REMOTE_PATH_MS
    }
}

fn is_open(pool: &Pool, snapshot: &Snapshot) -> bool {
    let endpoints = pool
        .endpoints
        .iter()
        .filter_map(|&id| snapshot.endpoint(id));
    endpoints
        .into_iter()
        .any(|endpoint| snapshot.is_open(endpoint))
}

/// Returns the best pool that has not refused the request, with its owner.
pub(super) fn choose_pool(flight: &Flight, context: &Context<'_>) -> Option<(id::Pool, id::Node)> {
    let waited = flight.waited(context.now);
    rank_candidates(
        &flight.call,
        waited,
        context.view,
        context.snapshot,
        context.now,
    )
    .into_iter()
    .find(|candidate| !flight.refused_by.contains(&candidate.pool))
    .map(|candidate| (candidate.pool, candidate.owner))
}
