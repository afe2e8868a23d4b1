//! The state machine of one router node: it takes events and returns actions.
//!
//! All input passes through [`Node::handle`]. A node sends messages to itself where it owns the pool
//! or witnesses the key; these take the same path as a peer's messages, without the network.

mod fetcher;
mod filter;

pub use fetcher::Fetcher;
pub use filter::{Drops, Filter};

use std::{mem, sync::Arc, time::Duration};

use peridotdeck_policy::Snapshot;
use peridotdeck_wire::{Answer, Body, Claim, Delta, Envelope, Fetch, Gossip, Member, Settle, Vote};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    Action, Event, Strategy,
    claim::{Witness, needs_transfer},
    config::{self, Change},
    flight::{Candidate, Context, Outbox, Table, rank_candidates},
    id,
    membership::{GOSSIP_INTERVAL, View},
    owner,
    request::{Call, Cause, Refusal},
};

/// Time between two [`Event::Tick`] events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time without ticks after which the process counts as paused and its view as out of date.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Longest wait after a pause for a peer's answer; a node that is cut off then goes on without one.
const REVALIDATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two fetches of an endpoint's load report.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Peers from which a starting node fetches a newer configuration.
const START_FETCH_PEERS: usize = 5;

/// Parameters with which a node starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of this VM in the VM list.
    pub node: id::Node,
    /// Data centre of this VM.
    pub data_centre: String,
    /// Incarnation of the process, higher than that of any earlier process of this VM.
    pub incarnation: id::Incarnation,
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// Strategy for queueing and placement.
    pub strategy: Strategy,
}

/// The state of one router node.
#[derive(Clone, Debug)]
pub struct Node {
    view: View,
    config: config::Store,
    request_table: Table,
    pools: owner::Pools,
    witness: Witness,
    filter: Filter,
    fetcher: Fetcher,
    rng: SmallRng,
    request_ids: id::Generator,
    last_tick: id::Time,
    revalidation: Option<Revalidation>,
    next_gossip: id::Time,
    next_poll: id::Time,
    is_watching: Option<bool>,
}

/// A check after a pause: the view may be out of date until a peer answers the fetch with `nonce`.
#[derive(Clone, Copy, Debug)]
struct Revalidation {
    nonce: u64,
    started: id::Time,
}

impl Node {
    /// Creates a node that has neither a configuration nor a VM list yet.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let ids = id::Generator::new(setup.node, setup.incarnation);
        Self {
            view: View::new(setup.node, setup.data_centre, setup.incarnation),
            config: config::Store::default(),
            request_table: Table::new(ids.clone()),
            pools: owner::Pools::new(setup.strategy),
            witness: Witness::new(setup.node),
            filter: Filter::default(),
            fetcher: Fetcher::default(),
            rng: SmallRng::seed_from_u64(setup.seed),
            request_ids: ids,
            last_tick: id::Time::ZERO,
            revalidation: None,
            next_gossip: id::Time::ZERO,
            next_poll: id::Time::ZERO,
            is_watching: None,
        }
    }

    /// Returns a new request id.
    pub fn next_request_id(&mut self) -> id::Request {
        self.request_ids.issue()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.config.snapshot()
    }

    /// Returns the configuration's parts and revisions.
    #[must_use]
    pub fn config(&self) -> &config::Store {
        &self.config
    }

    /// Returns the node's view of the fleet.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the requests in flight of this node's callers.
    #[must_use]
    pub fn request_table(&self) -> &Table {
        &self.request_table
    }

    /// Returns the schedulers of the pools that this node owns.
    #[must_use]
    pub fn pools(&self) -> &owner::Pools {
        &self.pools
    }

    /// Returns the reservations of idempotency keys that this node witnesses.
    #[must_use]
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// Returns the counts of dropped messages.
    #[must_use]
    pub fn drops(&self) -> Drops {
        self.filter.drops()
    }

    /// Returns whether the node may serve callers.
    ///
    /// It must be configured, its view must not be under revalidation, and it must not be leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.snapshot().is_some() && self.revalidation.is_none() && !self.view.is_leaving()
    }

    /// Returns whether no work is left for a node that is leaving.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.request_table.is_idle()
    }

    /// Returns the pools that a request may use, best first.
    #[must_use]
    pub fn candidates(&self, call: &Call, now: id::Time) -> Vec<Candidate> {
        self.config.snapshot().map_or_else(Vec::new, |snapshot| {
            rank_candidates(call, Duration::ZERO, &self.view, snapshot, now)
        })
    }

    /// Handles one event and returns the actions for the shell.
    pub fn handle(&mut self, now: id::Time, event: Event) -> Vec<Action> {
        let mut out = Outbox::default();
        if now.saturating_sub(self.last_tick) > PAUSE_THRESHOLD && self.last_tick > id::Time::ZERO {
            self.revalidate(now, &mut out);
        }
        self.handle_event(now, event, &mut out);
        self.deliver_messages(now, &mut out);
        out.actions
    }

    fn handle_event(&mut self, now: id::Time, event: Event, out: &mut Outbox) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Arrive { request, call } => self.handle_arrival(request, call, now, out),
            Event::Ended { attempt, end } => {
                self.with_context(now, |table, context| {
                    table.handle_attempt_end(attempt, end, context, out);
                });
            }
            Event::Abandoned { request } => {
                self.with_context(now, |table, context| {
                    table.handle_disconnect(request, context, out);
                });
            }
            Event::Message(envelope) => self.receive(envelope, now, out),
            Event::Published(delta) => self.handle_published(delta, now, out),
            Event::Reported { endpoint, report } => {
                self.pools
                    .handle_report(endpoint, report, now, &mut out.messages);
            }
            Event::Drain => self.drain(now, out),
        }
    }

    /// Handles the messages to this node itself, and passes those to peers to the shell.
    fn deliver_messages(&mut self, now: id::Time, out: &mut Outbox) {
        while !out.messages.is_empty() {
            for (node, body) in mem::take(&mut out.messages) {
                if node == self.view.local_node() {
                    self.handle_message(node, body, now, out);
                } else if let Some(member) = self.view.member(node) {
                    out.actions.push(Action::Send {
                        to: member.clone(),
                        body,
                    });
                }
            }
        }
    }

    fn with_context(&mut self, now: id::Time, act: impl FnOnce(&mut Table, &mut Context<'_>)) {
        let Some(snapshot) = self.config.snapshot() else {
            return;
        };
        let mut context = Context {
            now,
            view: &self.view,
            snapshot,
            rng: &mut self.rng,
        };
        act(&mut self.request_table, &mut context);
    }

    fn handle_arrival(
        &mut self,
        request: id::Request,
        call: Call,
        now: id::Time,
        out: &mut Outbox,
    ) {
        let refused = if self.view.is_leaving() {
            Some(Cause::Leaving)
        } else {
            self.config
                .snapshot()
                .is_none()
                .then_some(Cause::Unconfigured)
        };
        if let Some(cause) = refused {
            let refusal = Refusal::not_run(cause, Some(Duration::from_secs(1)));
            out.actions.push(Action::Refuse { request, refusal });
            return;
        }
        let parked = self.revalidation.is_some();
        self.with_context(now, |table, context| {
            table.admit(request, call, parked, context, out);
        });
    }

    // Periodic work.

    fn tick(&mut self, now: id::Time, out: &mut Outbox) {
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

    /// Starts a revalidation after a pause: until a peer answers, nothing known may be acted on.
    fn revalidate(&mut self, now: id::Time, out: &mut Outbox) {
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

    fn expire_revalidation(&mut self, now: id::Time, out: &mut Outbox) {
        if let Some(revalidation) = self.revalidation
            && now.saturating_sub(revalidation.started) >= REVALIDATION_TIMEOUT
        {
            self.end_revalidation(now, out);
        }
    }

    fn end_revalidation(&mut self, now: id::Time, out: &mut Outbox) {
        self.revalidation = None;
        self.with_context(now, |table, context| table.resume(context, out));
    }

    fn update_watch(&mut self, out: &mut Outbox) {
        let watch = self.config.snapshot().is_none() || self.view.is_watcher();
        if self.is_watching != Some(watch) {
            self.is_watching = Some(watch);
            out.actions.push(Action::Watch(watch));
        }
    }

    fn gossip(&mut self, now: id::Time, out: &mut Outbox) {
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

    fn build_digest(&self, probe: bool, now: id::Time) -> Gossip {
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

    fn drain(&mut self, now: id::Time, out: &mut Outbox) {
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
            for witness in crate::claim::choose_witnesses(&entry.key, self.view.members()) {
                out.send(
                    witness,
                    Settle {
                        entry: entry.clone(),
                    },
                );
            }
        }
    }

    // Messages.

    fn receive(&mut self, envelope: Envelope, now: id::Time, out: &mut Outbox) {
        let nonce = self.fetcher.last_nonce();
        let Ok(restarted) = self.filter.accept(&envelope, &self.view, nonce) else {
            return;
        };
        self.view.record_message(envelope.sender, now);
        if restarted {
            self.pools
                .forget_node(envelope.sender, now, &mut out.messages);
        }
        self.handle_message(envelope.sender, envelope.body, now, out);
    }

    fn handle_message(&mut self, from: id::Node, body: Body, now: id::Time, out: &mut Outbox) {
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

    // Configuration and VM list.

    fn fetch(&mut self, from: id::Node, now: id::Time, out: &mut Outbox) {
        if let Some(nonce) = self.fetcher.start_fetch(now) {
            self.fetch_from(&[from], nonce, out);
        }
    }

    fn fetch_from(&mut self, peers: &[id::Node], nonce: u64, out: &mut Outbox) {
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

    fn build_delta(&self, fetch: &Fetch) -> Delta {
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
    fn fetch_from_seeds(&mut self, now: id::Time, out: &mut Outbox) {
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
    fn handle_published(&mut self, delta: Delta, now: id::Time, out: &mut Outbox) {
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
            let order = crate::rendezvous::order(
                nonce,
                peers
                    .into_iter()
                    .filter(|&node| node != self.view.local_node()),
            );
            self.fetch_from(&order[..order.len().min(START_FETCH_PEERS)], nonce, out);
        }
    }

    /// Handles a peer's answer to a fetch.
    fn handle_delta(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
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

    fn apply_delta(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
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
