//! Which pools may take a request, best first.

use std::time::Duration;

use peridotdeck_policy::{Pool, Snapshot};

use super::{Context, Flight};
use crate::{id, member::View, pool::patience, request::Call};

/// Delay in milliseconds of a pool in the own region that is not the nearest.
const REGION_PATH_MS: u64 = 2;

/// Delay in milliseconds of a pool in another region.
const REMOTE_PATH_MS: u64 = 40;

/// A pool that may take a request, and what speaks for and against it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Whether the class's promise would be missed there.
    pub misses_target: bool,
    /// Delay of the path in milliseconds.
    pub path_ms: u64,
    /// Expected wait for a slot in milliseconds.
    pub wait_ms: u64,
    /// Slots in use rather than free, so that the freest pool comes first.
    pub inverted_free_slots: u32,
    /// The pool.
    pub pool: id::Pool,
    /// Node that schedules it.
    pub owner: id::Node,
}

/// Returns the pools that may take a request, best first.
///
/// The nearest pools come first; a farther one is better only if the nearer ones cannot keep the
/// class's promise, because paths between regions are slow and paid by volume.
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
    let slack_ms = patience(class).saturating_sub(waited).as_millis() as u64;
    let open = snapshot
        .pools()
        .iter()
        .filter(|pool| pool.service == call.service && is_open(pool, snapshot));
    let mut candidates: Vec<Candidate> = open
        .filter_map(|pool| {
            let owner = view.owner(pool)?;
            let path_ms = path_ms(pool, view.place(), snapshot);
            let summary = view.summary(pool.id, now);
            let wait_ms = summary.map_or(0, |summary| u64::from(summary.wait_ms));
            let misses_target = !class.bulk && wait_ms + path_ms > slack_ms;
            let inverted_free_slots = u32::MAX - summary.map_or(0, |summary| summary.free);
            Some(Candidate {
                misses_target,
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

fn path_ms(pool: &Pool, here: &str, snapshot: &Snapshot) -> u64 {
    if pool.place == here {
        0
    } else if snapshot.same_region(&pool.place, here) {
        REGION_PATH_MS
    } else {
        REMOTE_PATH_MS
    }
}

fn is_open(pool: &Pool, snapshot: &Snapshot) -> bool {
    let endpoints = pool
        .endpoints
        .iter()
        .filter_map(|&number| snapshot.endpoint(number));
    endpoints
        .into_iter()
        .any(|endpoint| snapshot.is_open(endpoint))
}

/// Chooses the pool to ask among those that have not refused the request.
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
