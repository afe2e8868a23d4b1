//! Configuration and VM list: what the configuration service and peers tell a node.

use peridotdeck_wire::{Delta, Fetch, Member};

use super::Node;
use crate::{Action, claim::needs_transfer, config::Change, flight::Outbox, id, rendezvous};

/// Peers from which a starting node fetches a newer configuration.
const START_FETCH_PEERS: usize = 5;

impl Node {
    pub(super) fn fetch(&mut self, from: id::Node, now: id::Time, out: &mut Outbox) {
        if let Some(nonce) = self.fetcher.start_fetch(now) {
            self.fetch_from(&[from], nonce, out);
        }
    }

    pub(super) fn fetch_from(&mut self, peers: &[id::Node], nonce: u64, out: &mut Outbox) {
        for &peer in peers {
            out.send(peer, self.build_fetch(nonce));
        }
    }

    fn build_fetch(&self, nonce: u64) -> Fetch {
        Fetch {
            nonce,
            revision: self.config.revision(),
            roster: self.view.vm_list_revision(),
        }
    }

    pub(super) fn build_delta(&self, fetch: &Fetch) -> Delta {
        let has_newer_list = self.view.vm_list_revision() > fetch.roster;
        let members = if has_newer_list {
            self.view.members().to_vec()
        } else {
            Vec::new()
        };
        Delta {
            nonce: fetch.nonce,
            from: fetch.revision,
            to: self.config.revision(),
            parts: self.config.parts_since(fetch.revision),
            roster: if has_newer_list {
                self.view.vm_list_revision()
            } else {
                0
            },
            members,
        }
    }

    /// Fetches the VM list from the seeds in the settings while this node has none.
    pub(super) fn fetch_from_seeds(&mut self, now: id::Time, out: &mut Outbox) {
        if self.view.vm_list_revision() == 0
            && let Some(nonce) = self.fetcher.start_seed_fetch(now)
        {
            out.actions.push(Action::SendToSeeds {
                body: self.build_fetch(nonce).into(),
            });
        }
    }

    /// Handles an answer of the configuration service.
    ///
    /// The VM list is used at once. Before the first configuration, some peers are first asked for
    /// a newer one, because the service's answer may be stale.
    pub(super) fn handle_published(&mut self, delta: Delta, now: id::Time, out: &mut Outbox) {
        self.update_vm_list(&delta, now, out);
        if self.config.snapshot().is_some() {
            self.apply_delta(&delta, now, out);
            return;
        }
        let alone = self
            .view
            .members()
            .iter()
            .all(|member| member.node == self.view.local_node());
        let is_first = self.fetcher.hold(delta, alone, now);
        if is_first && !alone {
            let nonce = self.fetcher.next_nonce();
            let peers: Vec<id::Node> = self
                .view
                .members()
                .iter()
                .map(|member| member.node)
                .collect();
            let order = rendezvous::order(
                nonce,
                peers
                    .into_iter()
                    .filter(|&node| node != self.view.local_node()),
            );
            self.fetch_from(&order[..order.len().min(START_FETCH_PEERS)], nonce, out);
        }
    }

    /// Handles a peer's answer to a fetch.
    pub(super) fn handle_delta(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        self.update_vm_list(delta, now, out);
        self.apply_delta(delta, now, out);
        if delta.to > 0 {
            self.fetcher.end_wait();
        }
        if self
            .revalidation
            .is_some_and(|revalidation| revalidation.nonce == delta.nonce)
        {
            self.end_revalidation(now, out);
        }
    }

    fn update_vm_list(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        let old: Vec<Member> = self.view.members().to_vec();
        if delta.roster == 0 || !self.view.adopt_vm_list(delta.roster, delta.members.clone()) {
            return;
        }
        let transfer = needs_transfer(self.view.data_centre(), &old, self.view.members());
        self.witness
            .update_members(delta.roster, self.view.members(), transfer, now);
        for member in &old {
            if self.view.member(member.node).is_none() {
                self.pools.forget_node(member.node, now, &mut out.messages);
            }
        }
        self.view.refresh(now);
    }

    pub(super) fn apply_delta(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        match self.config.apply(delta.from, delta.to, &delta.parts) {
            Change::Old | Change::Gap => {}
            Change::Adopted(snapshot) => {
                self.view.remove_unconfigured_pools(&snapshot);
                self.pools.update_config(&snapshot);
                out.actions.push(Action::Adopted {
                    revision: self.config.revision(),
                });
                // Gossips at once, without waiting for the next round: a change must be in force
                // within 4 s.
                self.gossip(now, out);
            }
            Change::Rejected(errors) => {
                out.actions.push(Action::Rejected {
                    revision: delta.to,
                    errors,
                });
            }
        }
    }
}
