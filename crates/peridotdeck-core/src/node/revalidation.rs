//! Checks after a pause of the process.
//!
//! While a process stood still, others may have taken its pools over. Until a peer answers a question
//! that was asked after the pause, the node acts on nothing that it knew.

use std::time::Duration;

use super::Node;
use crate::{flight::Outbox, id};

/// Longest wait after a pause for a peer's answer; a node that is cut off then goes on without one.
const REVALIDATION_TIMEOUT: Duration = Duration::from_secs(1);

/// A check after a pause: the view may be out of date until a peer answers the fetch with `nonce`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Revalidation {
    pub(super) nonce: u64,
    started: id::Time,
}

impl Node {
    /// Starts a revalidation after a pause: until a peer answers, nothing known may be acted on.
    pub(super) fn revalidate(&mut self, now: id::Time, out: &mut Outbox) {
        self.last_tick = now;
        self.view.assume_all_alive(now);
        self.pools.drop_all();
        self.request_table.suspend();
        let nonce = self.fetcher.next_nonce();
        self.revalidation = Some(Revalidation {
            nonce,
            started: now,
        });
        self.fetch_from(&self.sample_peers(), nonce, out);
    }

    /// Returns up to three live peers of each data centre.
    fn sample_peers(&self) -> Vec<id::Node> {
        /// Peers returned for each data centre.
        const PEERS_PER_DATA_CENTRE: usize = 3;
        let mut peers: Vec<id::Node> = Vec::new();
        let mut data_centres: Vec<&str> = self
            .view
            .members()
            .iter()
            .map(|member| member.place.as_str())
            .collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        for data_centre in data_centres {
            let others = self
                .view
                .live_nodes(data_centre)
                .iter()
                .filter(|&&node| node != self.view.local_node());
            peers.extend(others.take(PEERS_PER_DATA_CENTRE));
        }
        peers
    }

    pub(super) fn expire_revalidation(&mut self, now: id::Time, out: &mut Outbox) {
        if let Some(revalidation) = self.revalidation
            && now.saturating_sub(revalidation.started) >= REVALIDATION_TIMEOUT
        {
            self.end_revalidation(now, out);
        }
    }

    pub(super) fn end_revalidation(&mut self, now: id::Time, out: &mut Outbox) {
        self.revalidation = None;
        self.with_context(now, |table, context| table.resume(context, out));
    }
}
