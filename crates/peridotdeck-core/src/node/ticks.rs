//! Periodic work of a node.

use std::time::Duration;

use super::Node;
use crate::{Action, flight::Outbox, id, membership::GOSSIP_INTERVAL};

/// Time between two fetches of an endpoint's load report.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn tick(&mut self, now: id::Time, out: &mut Outbox) {
        self.last_tick = now;
        self.view.refresh(now);
        self.expire_revalidation(now, out);
        if let Some(delta) = self.fetcher.take_held(now) {
            self.apply_delta(&delta, now, out);
        }
        if self.revalidation.is_none() {
            self.tick_pools(now, out);
            self.with_context(now, |table, context| table.tick(context, out));
        }
        for (node, sync) in self.witness.tick(now) {
            out.send(node, sync);
        }
        if self.next_gossip <= now {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.gossip(now, out);
        }
        self.fetch_from_seeds(now, out);
        self.update_watch(out);
        self.request_table.check_invariants();
        self.pools.check_invariants();
    }

    fn tick_pools(&mut self, now: id::Time, out: &mut Outbox) {
        let Some(snapshot) = self.config.snapshot().cloned() else {
            return;
        };
        if !self.view.is_leaving() && self.view.may_own_pools(now) {
            self.pools
                .update_ownership(&self.view, &snapshot, now, &mut out.messages);
        }
        self.pools.tick(now, &mut out.messages);
        if self.next_poll <= now {
            self.next_poll = now + POLL_INTERVAL;
            out.actions.extend(
                self.pools
                    .endpoints()
                    .map(|endpoint| Action::Poll { endpoint }),
            );
        }
    }

    fn update_watch(&mut self, out: &mut Outbox) {
        let watch = self.config.snapshot().is_none() || self.view.is_watcher();
        if self.is_watching != Some(watch) {
            self.is_watching = Some(watch);
            out.actions.push(Action::Watch(watch));
        }
    }
}
