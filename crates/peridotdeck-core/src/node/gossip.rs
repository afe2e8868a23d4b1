//! What a node tells its peers of itself, and that it leaves.

use peridotdeck_wire::{Gossip, Settle};

use super::Node;
use crate::{claim::choose_witnesses, flight::Outbox, id};

impl Node {
    pub(super) fn gossip(&mut self, now: id::Time, out: &mut Outbox) {
        let (targets, probed) = self.view.start_gossip_round(now, &mut self.rng);
        let own = self.pools.summaries(self.view.heartbeat_count(), now);
        self.view.receive_summaries(&own, now);
        for node in targets {
            out.send(node, self.build_digest(false, now));
        }
        if let Some(node) = probed {
            out.send(node, self.build_digest(true, now));
        }
    }

    pub(super) fn build_digest(&self, probe: bool, now: id::Time) -> Gossip {
        let pools = self
            .config
            .snapshot()
            .map_or_else(Vec::new, |snapshot| self.view.summaries(snapshot, now));
        Gossip {
            probe,
            revision: self.config.revision(),
            roster: self.view.vm_list_revision(),
            beats: self.view.heartbeats(),
            pools,
        }
    }

    pub(super) fn drain(&mut self, now: id::Time, out: &mut Outbox) {
        if self.view.is_leaving() {
            return;
        }
        self.view.start_leaving();
        self.view.refresh(now);
        if let Some(snapshot) = self.config.snapshot().cloned() {
            self.pools
                .update_ownership(&self.view, &snapshot, now, &mut out.messages);
        }
        // Announces the leave to the whole data centre at once, so that new owners start at once.
        self.view.start_gossip_round(now, &mut self.rng);
        let digest = self.build_digest(false, now);
        for &node in self.view.live_nodes(self.view.data_centre()) {
            out.send(node, digest.clone());
        }
        for entry in self.witness.entries(now) {
            for witness in choose_witnesses(&entry.key, self.view.members()) {
                out.send(
                    witness,
                    Settle {
                        entry: entry.clone(),
                    },
                );
            }
        }
    }
}
