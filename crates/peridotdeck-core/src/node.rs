//! One router node: events in, actions out.
//!
//! [`Node::handle`] is the only way in. Messages that the node sends to itself, because it owns the
//! pool or witnesses the key, take the same path as a peer's, without the network.

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
    claim::{Ledger, must_sync},
    config::{self, Change},
    flight::{Candidate, Desk, Outbox, Scene, candidates},
    id,
    membership::{GOSSIP_INTERVAL, View},
    owner,
    request::{Call, Cause, Refusal},
};

/// Time between two [`Event::Tick`]s.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time without ticks after which the process has been paused and its knowledge is old.
const PAUSE: Duration = Duration::from_secs(1);

/// Time to wait for a peer's proof that the view is current; a cut-off node then goes on alone.
const PROOF_WAIT: Duration = Duration::from_secs(1);

/// Time between two reads of an endpoint's load report.
const POLL: Duration = Duration::from_secs(1);

/// Peers that a starting node asks for a newer configuration.
const START_ASKED: usize = 5;

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of this VM in the VM list.
    pub node: id::Node,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Start of the process, higher than that of any earlier process of this VM.
    pub incarnation: id::Incarnation,
    /// Seed of all randomness.
    pub seed: u64,
    /// Queueing and placement.
    pub strategy: Strategy,
}

/// The state of one router node.
#[derive(Clone, Debug)]
pub struct Node {
    view: View,
    config: config::Store,
    desk: Desk,
    pools: owner::Pools,
    ledger: Ledger,
    filter: Filter,
    fetcher: Fetcher,
    rng: SmallRng,
    requests: id::Generator,
    last_tick: id::Time,
    unproven: Option<Unproven>,
    gossip_due: id::Time,
    poll_due: id::Time,
    watching: Option<bool>,
}

/// A view that may be old, until a peer answers `nonce`.
#[derive(Clone, Copy, Debug)]
struct Unproven {
    nonce: u64,
    since: id::Time,
}

impl Node {
    /// Starts a node that knows nothing but its own place.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let ids = id::Generator::new(setup.node, setup.incarnation);
        Self {
            view: View::new(setup.node, setup.data_centre, setup.incarnation),
            config: config::Store::default(),
            desk: Desk::new(ids.clone()),
            pools: owner::Pools::new(setup.strategy),
            ledger: Ledger::new(setup.node),
            filter: Filter::default(),
            fetcher: Fetcher::default(),
            rng: SmallRng::seed_from_u64(setup.seed),
            requests: ids,
            last_tick: id::Time::ZERO,
            unproven: None,
            gossip_due: id::Time::ZERO,
            poll_due: id::Time::ZERO,
            watching: None,
        }
    }

    /// Returns a new request id.
    pub fn next_request_id(&mut self) -> id::Request {
        self.requests.issue()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.config.snapshot()
    }

    /// Returns the configuration parts and their revision.
    #[must_use]
    pub fn config(&self) -> &config::Store {
        &self.config
    }

    /// Returns what the node knows of its peers.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the requests of this node's callers.
    #[must_use]
    pub fn request_table(&self) -> &Desk {
        &self.desk
    }

    /// Returns the pools that this node schedules.
    #[must_use]
    pub fn pools(&self) -> &owner::Pools {
        &self.pools
    }

    /// Returns the reservations that this node witnesses.
    #[must_use]
    pub fn witness(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the counts of messages that were not believed.
    #[must_use]
    pub fn drops(&self) -> Drops {
        self.filter.drops()
    }

    /// Returns whether the node may serve callers: configured, current and not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.snapshot().is_some() && self.unproven.is_none() && !self.view.is_leaving()
    }

    /// Returns whether a leaving node has nothing left to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.desk.is_idle()
    }

    /// Returns the pools that a request may use, best first.
    #[must_use]
    pub fn candidates(&self, call: &Call, now: id::Time) -> Vec<Candidate> {
        self.config.snapshot().map_or_else(Vec::new, |snapshot| {
            candidates(call, Duration::ZERO, &self.view, snapshot, now)
        })
    }

    /// Handles one event at a time and returns what the shell must do.
    pub fn handle(&mut self, now: id::Time, event: Event) -> Vec<Action> {
        let mut out = Outbox::default();
        if now.saturating_sub(self.last_tick) > PAUSE && self.last_tick > id::Time::ZERO {
            self.wake(now, &mut out);
        }
        self.dispatch(now, event, &mut out);
        self.deliver(now, &mut out);
        out.actions
    }

    fn dispatch(&mut self, now: id::Time, event: Event, out: &mut Outbox) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Arrive { request, call } => self.arrive(request, call, now, out),
            Event::Ended { attempt, end } => {
                self.with_scene(now, |desk, scene| desk.ended(attempt, end, scene, out));
            }
            Event::Abandoned { request } => {
                self.with_scene(now, |desk, scene| desk.abandon(request, scene, out));
            }
            Event::Message(envelope) => self.receive(envelope, now, out),
            Event::Published(delta) => self.published(delta, now, out),
            Event::Reported { endpoint, report } => {
                self.pools
                    .handle_report(endpoint, report, now, &mut out.letters);
            }
            Event::Drain => self.drain(now, out),
        }
    }

    /// Delivers letters to this node itself until only peers' letters are left.
    fn deliver(&mut self, now: id::Time, out: &mut Outbox) {
        while !out.letters.is_empty() {
            for (node, body) in mem::take(&mut out.letters) {
                if node == self.view.local_node() {
                    self.read(node, body, now, out);
                } else if let Some(member) = self.view.member(node) {
                    out.actions.push(Action::Send {
                        to: member.clone(),
                        body,
                    });
                }
            }
        }
    }

    fn with_scene(&mut self, now: id::Time, act: impl FnOnce(&mut Desk, &mut Scene<'_>)) {
        let Some(snapshot) = self.config.snapshot() else {
            return;
        };
        let mut scene = Scene {
            now,
            view: &self.view,
            snapshot,
            rng: &mut self.rng,
        };
        act(&mut self.desk, &mut scene);
    }

    fn arrive(&mut self, request: id::Request, call: Call, now: id::Time, out: &mut Outbox) {
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
        let parked = self.unproven.is_some();
        self.with_scene(now, |desk, scene| {
            desk.arrive(request, call, parked, scene, out);
        });
    }

    // Time.

    fn tick(&mut self, now: id::Time, out: &mut Outbox) {
        self.last_tick = now;
        self.view.refresh(now);
        self.check_proof(now, out);
        if let Some(delta) = self.fetcher.take_held(now) {
            self.adopt(&delta, now, out);
        }
        if self.unproven.is_none() {
            self.tick_owner(now, out);
            self.with_scene(now, |desk, scene| desk.tick(scene, out));
        }
        for (node, sync) in self.ledger.tick(now) {
            out.tell(node, sync);
        }
        if self.gossip_due <= now {
            self.gossip_due = now + GOSSIP_INTERVAL;
            self.gossip(now, out);
        }
        self.seek(now, out);
        self.follow_watch(out);
        self.desk.check();
        self.pools.check_invariants();
    }

    fn tick_owner(&mut self, now: id::Time, out: &mut Outbox) {
        let Some(snapshot) = self.config.snapshot().cloned() else {
            return;
        };
        if !self.view.is_leaving() && self.view.may_own_pools(now) {
            self.pools
                .update_ownership(&self.view, &snapshot, now, &mut out.letters);
        }
        self.pools.tick(now, &mut out.letters);
        if self.poll_due <= now {
            self.poll_due = now + POLL;
            out.actions.extend(
                self.pools
                    .endpoints()
                    .map(|endpoint| Action::Poll { endpoint }),
            );
        }
    }

    /// The process has been paused: nothing it knows may be acted on until a peer answers.
    fn wake(&mut self, now: id::Time, out: &mut Outbox) {
        self.last_tick = now;
        self.view.assume_all_alive(now);
        self.pools.drop_all();
        self.desk.park();
        let nonce = self.fetcher.next_nonce();
        self.unproven = Some(Unproven { nonce, since: now });
        self.fetch_from(&self.some_peers(), nonce, out);
    }

    /// Some peers of each data centre, the own one first.
    fn some_peers(&self) -> Vec<id::Node> {
        /// Peers asked in each data centre.
        const ASKED: usize = 3;
        let mut peers: Vec<id::Node> = Vec::new();
        let mut places: Vec<&str> = self
            .view
            .members()
            .iter()
            .map(|each| each.place.as_str())
            .collect();
        places.sort_unstable();
        places.dedup();
        for place in places {
            let others = self
                .view
                .live_nodes(place)
                .iter()
                .filter(|&&node| node != self.view.local_node());
            peers.extend(others.take(ASKED));
        }
        peers
    }

    fn check_proof(&mut self, now: id::Time, out: &mut Outbox) {
        if let Some(unproven) = self.unproven
            && now.saturating_sub(unproven.since) >= PROOF_WAIT
        {
            self.proven(now, out);
        }
    }

    fn proven(&mut self, now: id::Time, out: &mut Outbox) {
        self.unproven = None;
        self.with_scene(now, |desk, scene| desk.resume(scene, out));
    }

    fn follow_watch(&mut self, out: &mut Outbox) {
        let watch = self.config.snapshot().is_none() || self.view.is_watcher();
        if self.watching != Some(watch) {
            self.watching = Some(watch);
            out.actions.push(Action::Watch(watch));
        }
    }

    fn gossip(&mut self, now: id::Time, out: &mut Outbox) {
        let (told, probed) = self.view.start_gossip_round(now, &mut self.rng);
        let own = self.pools.summaries(self.view.heartbeat_count(), now);
        self.view.receive_summaries(&own, now);
        for node in told {
            out.tell(node, self.digest(false, now));
        }
        if let Some(node) = probed {
            out.tell(node, self.digest(true, now));
        }
    }

    fn digest(&self, probe: bool, now: id::Time) -> Gossip {
        let pools = self
            .config
            .snapshot()
            .map_or_else(Vec::new, |each| self.view.summaries(each, now));
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
                .update_ownership(&self.view, &snapshot, now, &mut out.letters);
        }
        // Everyone in the data centre learns at once, so that the new owners start at once.
        self.view.start_gossip_round(now, &mut self.rng);
        let digest = self.digest(false, now);
        for &node in self.view.live_nodes(self.view.data_centre()) {
            out.tell(node, digest.clone());
        }
        for entry in self.ledger.entries(now) {
            for witness in crate::claim::witnesses(&entry.key, self.view.members()) {
                out.tell(
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
                .forget_node(envelope.sender, now, &mut out.letters);
        }
        self.read(envelope.sender, envelope.body, now, out);
    }

    fn read(&mut self, from: id::Node, body: Body, now: id::Time, out: &mut Outbox) {
        match body {
            Body::Gossip(gossip) => self.hear(from, &gossip, now, out),
            Body::Ask(ask) if self.unproven.is_none() => {
                self.pools.handle_ask(from, ask, now, &mut out.letters);
            }
            Body::Ask(_) => {}
            Body::Done(done) => self.pools.handle_done(&done, now, &mut out.letters),
            Body::Holding(holding) => {
                self.pools
                    .handle_holding(from, &holding, now, &mut out.letters)
            }
            Body::Handover(handover) => self.pools.handle_handover(handover, now),
            Body::Queued(queued) => self.desk.queued(queued.attempt),
            Body::Grant(grant) => {
                let (attempt, endpoint) = (grant.attempt, grant.endpoint);
                self.with_scene(now, |desk, scene| {
                    desk.grant(from, attempt, endpoint, scene, out);
                });
            }
            Body::Deny(deny) => self.with_scene(now, |desk, scene| desk.deny(&deny, scene, out)),
            Body::Preempt(preempt) => self.desk.preempt(preempt.attempt, out),
            Body::Strike(strike) => self.desk.strike(&strike, now),
            Body::Claim(claim) => self.handle_claim(from, &claim, now, out),
            Body::Vote(Vote {
                attempt, answer, ..
            }) => {
                self.with_scene(now, |desk, scene| {
                    desk.vote(from, attempt, answer, scene, out);
                });
            }
            Body::Settle(settle) => self.ledger.absorb(&settle.entry, now),
            Body::Sync(sync) => match self.ledger.page(from, &sync, now) {
                Some(page) => out.tell(from, page),
                None => self.fetch(from, now, out),
            },
            Body::Claims(claims) => self.ledger.receive(from, &claims, now),
            Body::Fetch(fetch) => {
                let delta = self.delta(&fetch);
                out.tell(from, delta);
            }
            Body::Delta(delta) => self.learn(&delta, now, out),
        }
    }

    fn handle_claim(&mut self, from: id::Node, claim: &Claim, now: id::Time, out: &mut Outbox) {
        let answer = self.ledger.vote(claim, now);
        if answer == Answer::Stale && claim.roster > self.view.vm_list_revision() {
            self.fetch(from, now, out);
        }
        out.tell(
            from,
            Vote {
                key: claim.key.clone(),
                attempt: claim.attempt,
                answer,
            },
        );
    }

    fn hear(&mut self, from: id::Node, gossip: &Gossip, now: id::Time, out: &mut Outbox) {
        self.view.receive_heartbeats(&gossip.beats, now);
        self.view.receive_summaries(&gossip.pools, now);
        if gossip.probe {
            out.tell(from, self.digest(false, now));
        }
        let newer = gossip.revision > self.config.revision().max(self.config.rejected_revision());
        if newer || gossip.roster > self.view.vm_list_revision() {
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
            out.tell(peer, self.fetch_body(nonce));
        }
    }

    fn fetch_body(&self, nonce: u64) -> Fetch {
        Fetch {
            nonce,
            revision: self.config.revision(),
            roster: self.view.vm_list_revision(),
        }
    }

    fn delta(&self, fetch: &Fetch) -> Delta {
        let newer_roster = self.view.vm_list_revision() > fetch.roster;
        let members = if newer_roster {
            self.view.members().to_vec()
        } else {
            Vec::new()
        };
        Delta {
            nonce: fetch.nonce,
            from: fetch.revision,
            to: self.config.revision(),
            parts: self.config.parts_since(fetch.revision),
            roster: if newer_roster {
                self.view.vm_list_revision()
            } else {
                0
            },
            members,
        }
    }

    /// A node without a VM list asks the seeds of its settings.
    fn seek(&mut self, now: id::Time, out: &mut Outbox) {
        if self.view.vm_list_revision() == 0
            && let Some(nonce) = self.fetcher.start_seed_fetch(now)
        {
            out.actions.push(Action::SendToSeeds {
                body: self.fetch_body(nonce).into(),
            });
        }
    }

    /// The platform's answer: the VM list counts at once; before the first configuration, peers
    /// are asked for a newer one, because the service may be stale.
    fn published(&mut self, delta: Delta, now: id::Time, out: &mut Outbox) {
        self.follow_roster(&delta, now, out);
        if self.config.snapshot().is_some() {
            self.adopt(&delta, now, out);
            return;
        }
        let alone = self
            .view
            .members()
            .iter()
            .all(|member| member.node == self.view.local_node());
        let first = self.fetcher.hold(delta, alone, now);
        if first && !alone {
            let nonce = self.fetcher.next_nonce();
            let peers: Vec<id::Node> = self.view.members().iter().map(|each| each.node).collect();
            let order = crate::rank::order(
                nonce,
                peers
                    .into_iter()
                    .filter(|&node| node != self.view.local_node()),
            );
            self.fetch_from(&order[..order.len().min(START_ASKED)], nonce, out);
        }
    }

    /// A peer's answer.
    fn learn(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        self.follow_roster(delta, now, out);
        self.adopt(delta, now, out);
        if delta.to > 0 {
            self.fetcher.end_wait();
        }
        if self
            .unproven
            .is_some_and(|unproven| unproven.nonce == delta.nonce)
        {
            self.proven(now, out);
        }
    }

    fn follow_roster(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        let old: Vec<Member> = self.view.members().to_vec();
        if delta.roster == 0 || !self.view.adopt_vm_list(delta.roster, delta.members.clone()) {
            return;
        }
        let transfer = must_sync(self.view.data_centre(), &old, self.view.members());
        self.ledger
            .follow(delta.roster, self.view.members(), transfer, now);
        for member in &old {
            if self.view.member(member.node).is_none() {
                self.pools.forget_node(member.node, now, &mut out.letters);
            }
        }
        self.view.refresh(now);
    }

    fn adopt(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        match self.config.apply(delta.from, delta.to, &delta.parts) {
            Change::Old | Change::Gap => {}
            Change::Adopted(snapshot) => {
                self.view.remove_unconfigured_pools(&snapshot);
                self.pools.update_config(&snapshot);
                out.actions.push(Action::Adopted {
                    revision: self.config.revision(),
                });
                // Those who are told first tell others at once: a change must be in force in 4 s.
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
