//! Messages of peers, and those of the node to itself.

use peridotdeck_wire::{Answer, Body, Claim, Envelope, Gossip, Vote};

use super::Node;
use crate::{flight::Outbox, id};

impl Node {
    pub(super) fn receive(&mut self, envelope: Envelope, now: id::Time, out: &mut Outbox) {
        let nonce = self.fetcher.last_nonce();
        let Ok(restarted) = self.filter.accept(&envelope, &self.view, nonce) else {
            return;
        };
        self.view.record_message(envelope.sender, now);
        if restarted {
            self.pools
                .forget_node(envelope.sender, now, &mut out.messages);
            self.request_table.forget_node(envelope.sender);
        }
        self.handle_message(envelope.sender, envelope.body, now, out);
    }

    pub(super) fn handle_message(
        &mut self,
        from: id::Node,
        body: Body,
        now: id::Time,
        out: &mut Outbox,
    ) {
        match body {
            Body::Gossip(gossip) => self.handle_gossip(from, &gossip, now, out),
            Body::Ask(ask) if self.revalidation.is_none() => {
                self.pools.handle_ask(from, ask, now, &mut out.messages);
            }
            Body::Ask(_) => {}
            Body::Done(done) => self.pools.handle_done(&done, now, &mut out.messages),
            Body::Holding(holding) => {
                self.pools
                    .handle_holding(from, &holding, now, &mut out.messages);
            }
            Body::Handover(handover) => self.pools.handle_handover(handover, now),
            Body::Queued(queued) => self.request_table.mark_queued(queued.attempt),
            Body::Grant(grant) => {
                let (attempt, endpoint) = (grant.attempt, grant.endpoint);
                self.with_context(now, |table, context| {
                    table.handle_grant(from, attempt, endpoint, context, out);
                });
            }
            Body::Deny(deny) => {
                self.with_context(now, |table, context| {
                    table.handle_denial(&deny, context, out);
                });
            }
            Body::Preempt(preempt) => self.request_table.handle_preemption(preempt.attempt, out),
            Body::Strike(strike) => self.request_table.record_crash(&strike, now),
            Body::Claim(claim) => self.handle_claim(from, &claim, now, out),
            Body::Vote(Vote {
                attempt, answer, ..
            }) => {
                self.with_context(now, |table, context| {
                    table.handle_vote(from, attempt, answer, context, out);
                });
            }
            Body::Settle(settle) => self.witness.merge(&settle.entry, now),
            Body::Sync(sync) => match self.witness.build_page(from, &sync, now) {
                Some(page) => out.send(from, page),
                None => self.fetch(from, now, out),
            },
            Body::Claims(claims) => self.witness.receive_page(from, &claims, now),
            Body::Fetch(fetch) => {
                let delta = self.build_delta(&fetch);
                out.send(from, delta);
            }
            Body::Delta(delta) => self.handle_delta(&delta, now, out),
            Body::Borrow(borrow) => self.with_context(now, |table, context| {
                table.handle_borrow(from, &borrow, context, out);
            }),
            Body::Lend(lend) => self.with_context(now, |table, context| {
                table.handle_lend(from, &lend, context);
            }),
        }
    }

    fn handle_claim(&mut self, from: id::Node, claim: &Claim, now: id::Time, out: &mut Outbox) {
        let answer = self.witness.vote(claim, now);
        if answer == Answer::Stale && claim.roster > self.view.vm_list_revision() {
            self.fetch(from, now, out);
        }
        out.send(
            from,
            Vote {
                key: claim.key.clone(),
                attempt: claim.attempt,
                answer,
            },
        );
    }

    fn handle_gossip(&mut self, from: id::Node, gossip: &Gossip, now: id::Time, out: &mut Outbox) {
        self.view.receive_heartbeats(&gossip.beats, now);
        self.view.receive_summaries(&gossip.pools, now);
        if gossip.probe {
            out.send(from, self.build_digest(false, now));
        }
        let is_newer =
            gossip.revision > self.config.revision().max(self.config.rejected_revision());
        if is_newer || gossip.roster > self.view.vm_list_revision() {
            self.fetch(from, now, out);
        }
    }
}
