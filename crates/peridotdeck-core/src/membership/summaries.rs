//! Summaries of pools that owners spread by gossip.

use peridotdeck_policy::Snapshot;
use peridotdeck_wire::Summary;

use super::{LOCAL_TIMEOUT, REMOTE_TIMEOUT, View};
use crate::id;

/// Most pool summaries in one message; the newest are sent.
const MAX_SUMMARIES: usize = 12;

/// The newest summary of a pool and when it arrived.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    summary: Summary,
    received: id::Time,
}

impl View {
    /// Stores newer summaries of pools.
    ///
    /// A summary older than [`REMOTE_TIMEOUT`] is replaced whatever the stamps are.
    pub fn receive_summaries(&mut self, summaries: &[Summary], now: id::Time) {
        for summary in summaries {
            match self
                .summaries
                .binary_search_by_key(&summary.pool, |state| state.summary.pool)
            {
                Ok(index) => {
                    let state = &mut self.summaries[index];
                    let is_stale = now.saturating_sub(state.received) > REMOTE_TIMEOUT;
                    if is_stale || summary.stamp > state.summary.stamp {
                        *state = PoolState {
                            summary: summary.clone(),
                            received: now,
                        };
                    }
                }
                Err(index) => self.summaries.insert(
                    index,
                    PoolState {
                        summary: summary.clone(),
                        received: now,
                    },
                ),
            }
        }
    }

    /// Returns the last summary of a pool, unless it is older than [`REMOTE_TIMEOUT`].
    #[must_use]
    pub fn summary(&self, pool: id::Pool, now: id::Time) -> Option<&Summary> {
        let index = self
            .summaries
            .binary_search_by_key(&pool, |state| state.summary.pool)
            .ok()?;
        let state = &self.summaries[index];
        (now.saturating_sub(state.received) <= REMOTE_TIMEOUT).then_some(&state.summary)
    }

    /// Returns the newest pool summaries of this data centre to send to peers.
    #[must_use]
    pub fn summaries(&self, snapshot: &Snapshot, now: id::Time) -> Vec<Summary> {
        let mut newest: Vec<&PoolState> = self
            .summaries
            .iter()
            .filter(|state| now.saturating_sub(state.received) < LOCAL_TIMEOUT)
            .filter(|state| {
                snapshot
                    .pool(state.summary.pool)
                    .is_some_and(|pool| pool.place == self.data_centre)
            })
            .collect();
        newest.sort_by_key(|state| std::cmp::Reverse(state.received));
        newest
            .into_iter()
            .take(MAX_SUMMARIES)
            .map(|state| state.summary.clone())
            .collect()
    }

    /// Removes the summaries of pools that the configuration no longer contains.
    pub fn remove_unconfigured_pools(&mut self, snapshot: &Snapshot) {
        self.summaries
            .retain(|state| snapshot.pool(state.summary.pool).is_some());
    }
}
