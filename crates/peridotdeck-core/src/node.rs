//! One router node: events in, actions out.
//!
//! [`Node::handle`] is the only way in. Messages that the node sends to itself, because it owns the
//! pool or witnesses the key, take the same path as a peer's, without the network.

mod inbox;
mod spread;

pub use inbox::{Drops, Inbox};
pub use spread::Spread;

use std::{mem, sync::Arc, time::Duration};

use peridotdeck_policy::Snapshot;
use peridotdeck_wire::{Answer, Body, Claim, Delta, Envelope, Fetch, Gossip, Member, Settle, Vote};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    Action, Event, Strategy,
    book::{Book, Change},
    claim::{Witness, needs_transfer},
    flight::{Candidate, Context, Outbox, Table, rank_candidates},
    id,
    member::{GOSSIP, View},
    owner::Owner,
    request::{Call, Cause, Refusal},
};

/// Time between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(25);

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
    pub place: String,
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
    book: Book,
    desk: Table,
    owner: Owner,
    ledger: Witness,
    inbox: Inbox,
    spread: Spread,
    rng: SmallRng,
    requests: id::Counter,
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
        let ids = id::Counter::new(setup.node, setup.incarnation);
        Self {
            view: View::new(setup.node, setup.place, setup.incarnation),
            book: Book::default(),
            desk: Table::new(ids.clone()),
            owner: Owner::new(setup.strategy),
            ledger: Witness::new(setup.node),
            inbox: Inbox::default(),
            spread: Spread::default(),
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
    pub fn next_id(&mut self) -> id::Request {
        self.requests.issue()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.book.snapshot()
    }

    /// Returns the configuration parts and their revision.
    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Returns what the node knows of its peers.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the requests of this node's callers.
    #[must_use]
    pub fn desk(&self) -> &Table {
        &self.desk
    }

    /// Returns the pools that this node schedules.
    #[must_use]
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the reservations that this node witnesses.
    #[must_use]
    pub fn ledger(&self) -> &Witness {
        &self.ledger
    }

    /// Returns the counts of messages that were not believed.
    #[must_use]
    pub fn drops(&self) -> Drops {
        self.inbox.drops()
    }

    /// Returns whether the node may serve callers: configured, current and not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.book.snapshot().is_some() && self.unproven.is_none() && !self.view.is_leaving()
    }

    /// Returns whether a leaving node has nothing left to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.desk.is_idle()
    }

    /// Returns the pools that a request may use, best first.
    #[must_use]
    pub fn explain(&self, call: &Call, now: id::Time) -> Vec<Candidate> {
        self.book.snapshot().map_or_else(Vec::new, |snapshot| {
            rank_candidates(call, Duration::ZERO, &self.view, snapshot, now)
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
                self.with_scene(now, |desk, scene| {
                    desk.handle_attempt_end(attempt, end, scene, out);
                });
            }
            Event::Abandoned { request } => {
                self.with_scene(now, |desk, scene| {
                    desk.handle_disconnect(request, scene, out);
                });
            }
            Event::Message(envelope) => self.receive(envelope, now, out),
            Event::Published(delta) => self.published(delta, now, out),
            Event::Reported { endpoint, report } => {
                self.owner.report(endpoint, report, now, &mut out.messages);
            }
            Event::Drain => self.drain(now, out),
        }
    }

    /// Delivers letters to this node itself until only peers' letters are left.
    fn deliver(&mut self, now: id::Time, out: &mut Outbox) {
        while !out.messages.is_empty() {
            for (node, body) in mem::take(&mut out.messages) {
                if node == self.view.me() {
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

    fn with_scene(&mut self, now: id::Time, act: impl FnOnce(&mut Table, &mut Context<'_>)) {
        let Some(snapshot) = self.book.snapshot() else {
            return;
        };
        let mut scene = Context {
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
            self.book
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
            desk.admit(request, call, parked, scene, out);
        });
    }

    // Time.

    fn tick(&mut self, now: id::Time, out: &mut Outbox) {
        self.last_tick = now;
        self.view.refresh(now);
        self.check_proof(now, out);
        if let Some(delta) = self.spread.release(now) {
            self.adopt(&delta, now, out);
        }
        if self.unproven.is_none() {
            self.tick_owner(now, out);
            self.with_scene(now, |desk, scene| desk.tick(scene, out));
        }
        for (node, sync) in self.ledger.tick(now) {
            out.send(node, sync);
        }
        if self.gossip_due <= now {
            self.gossip_due = now + GOSSIP;
            self.gossip(now, out);
        }
        self.seek(now, out);
        self.follow_watch(out);
        self.desk.check_invariants();
        self.owner.check();
    }

    fn tick_owner(&mut self, now: id::Time, out: &mut Outbox) {
        let Some(snapshot) = self.book.snapshot().cloned() else {
            return;
        };
        if !self.view.is_leaving() && self.view.is_acquainted(now) {
            self.owner
                .follow(&self.view, &snapshot, now, &mut out.messages);
        }
        self.owner.tick(now, &mut out.messages);
        if self.poll_due <= now {
            self.poll_due = now + POLL;
            out.actions.extend(
                self.owner
                    .endpoints()
                    .map(|endpoint| Action::Poll { endpoint }),
            );
        }
    }

    /// The process has been paused: nothing it knows may be acted on until a peer answers.
    fn wake(&mut self, now: id::Time, out: &mut Outbox) {
        self.last_tick = now;
        self.view.excuse(now);
        self.owner.abandon();
        self.desk.suspend();
        let nonce = self.spread.nonce();
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
                .live(place)
                .iter()
                .filter(|&&node| node != self.view.me());
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
        let watch = self.book.snapshot().is_none() || self.view.is_watcher();
        if self.watching != Some(watch) {
            self.watching = Some(watch);
            out.actions.push(Action::Watch(watch));
        }
    }

    fn gossip(&mut self, now: id::Time, out: &mut Outbox) {
        let (told, probed) = self.view.beat(now, &mut self.rng);
        let own = self.owner.summaries(self.view.counter(), now);
        self.view.note(&own, now);
        for node in told {
            out.send(node, self.digest(false, now));
        }
        if let Some(node) = probed {
            out.send(node, self.digest(true, now));
        }
    }

    fn digest(&self, probe: bool, now: id::Time) -> Gossip {
        let pools = self
            .book
            .snapshot()
            .map_or_else(Vec::new, |each| self.view.summaries(each, now));
        Gossip {
            probe,
            revision: self.book.revision(),
            roster: self.view.roster(),
            beats: self.view.beats(),
            pools,
        }
    }

    fn drain(&mut self, now: id::Time, out: &mut Outbox) {
        if self.view.is_leaving() {
            return;
        }
        self.view.leave();
        self.view.refresh(now);
        if let Some(snapshot) = self.book.snapshot().cloned() {
            self.owner
                .follow(&self.view, &snapshot, now, &mut out.messages);
        }
        // Everyone in the data centre learns at once, so that the new owners start at once.
        self.view.beat(now, &mut self.rng);
        let digest = self.digest(false, now);
        for &node in self.view.live(self.view.place()) {
            out.send(node, digest.clone());
        }
        for entry in self.ledger.entries(now) {
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
        let nonce = self.spread.last_nonce();
        let Ok(restarted) = self.inbox.accept(&envelope, &self.view, nonce) else {
            return;
        };
        self.view.touch(envelope.sender, now);
        if restarted {
            self.owner.forget(envelope.sender, now, &mut out.messages);
        }
        self.read(envelope.sender, envelope.body, now, out);
    }

    fn read(&mut self, from: id::Node, body: Body, now: id::Time, out: &mut Outbox) {
        match body {
            Body::Gossip(gossip) => self.hear(from, &gossip, now, out),
            Body::Ask(ask) if self.unproven.is_none() => {
                self.owner.ask(from, ask, now, &mut out.messages);
            }
            Body::Ask(_) => {}
            Body::Done(done) => self.owner.done(&done, now, &mut out.messages),
            Body::Holding(holding) => self.owner.hold(from, &holding, now, &mut out.messages),
            Body::Handover(handover) => self.owner.inherit(handover, now),
            Body::Queued(queued) => self.desk.mark_queued(queued.attempt),
            Body::Grant(grant) => {
                let (attempt, endpoint) = (grant.attempt, grant.endpoint);
                self.with_scene(now, |desk, scene| {
                    desk.handle_grant(from, attempt, endpoint, scene, out);
                });
            }
            Body::Deny(deny) => {
                self.with_scene(now, |desk, scene| desk.handle_denial(&deny, scene, out));
            }
            Body::Preempt(preempt) => self.desk.handle_preemption(preempt.attempt, out),
            Body::Strike(strike) => self.desk.record_crash(&strike, now),
            Body::Claim(claim) => self.witness(from, &claim, now, out),
            Body::Vote(Vote {
                attempt, answer, ..
            }) => {
                self.with_scene(now, |desk, scene| {
                    desk.handle_vote(from, attempt, answer, scene, out);
                });
            }
            Body::Settle(settle) => self.ledger.merge(&settle.entry, now),
            Body::Sync(sync) => match self.ledger.build_page(from, &sync, now) {
                Some(page) => out.send(from, page),
                None => self.fetch(from, now, out),
            },
            Body::Claims(claims) => self.ledger.receive_page(from, &claims, now),
            Body::Fetch(fetch) => {
                let delta = self.delta(&fetch);
                out.send(from, delta);
            }
            Body::Delta(delta) => self.learn(&delta, now, out),
        }
    }

    fn witness(&mut self, from: id::Node, claim: &Claim, now: id::Time, out: &mut Outbox) {
        let answer = self.ledger.vote(claim, now);
        if answer == Answer::Stale && claim.roster > self.view.roster() {
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

    fn hear(&mut self, from: id::Node, gossip: &Gossip, now: id::Time, out: &mut Outbox) {
        self.view.hear(&gossip.beats, now);
        self.view.note(&gossip.pools, now);
        if gossip.probe {
            out.send(from, self.digest(false, now));
        }
        let newer = gossip.revision > self.book.revision().max(self.book.rejected());
        if newer || gossip.roster > self.view.roster() {
            self.fetch(from, now, out);
        }
    }

    // Configuration and VM list.

    fn fetch(&mut self, from: id::Node, now: id::Time, out: &mut Outbox) {
        if let Some(nonce) = self.spread.may_fetch(now) {
            self.fetch_from(&[from], nonce, out);
        }
    }

    fn fetch_from(&mut self, peers: &[id::Node], nonce: u64, out: &mut Outbox) {
        for &peer in peers {
            out.send(peer, self.fetch_body(nonce));
        }
    }

    fn fetch_body(&self, nonce: u64) -> Fetch {
        Fetch {
            nonce,
            revision: self.book.revision(),
            roster: self.view.roster(),
        }
    }

    fn delta(&self, fetch: &Fetch) -> Delta {
        let newer_roster = self.view.roster() > fetch.roster;
        let members = if newer_roster {
            self.view.members().to_vec()
        } else {
            Vec::new()
        };
        Delta {
            nonce: fetch.nonce,
            from: fetch.revision,
            to: self.book.revision(),
            parts: self.book.since(fetch.revision),
            roster: if newer_roster { self.view.roster() } else { 0 },
            members,
        }
    }

    /// A node without a VM list asks the seeds of its settings.
    fn seek(&mut self, now: id::Time, out: &mut Outbox) {
        if self.view.roster() == 0
            && let Some(nonce) = self.spread.may_seek(now)
        {
            out.actions.push(Action::Seek {
                body: self.fetch_body(nonce).into(),
            });
        }
    }

    /// The platform's answer: the VM list counts at once; before the first configuration, peers
    /// are asked for a newer one, because the service may be stale.
    fn published(&mut self, delta: Delta, now: id::Time, out: &mut Outbox) {
        self.follow_roster(&delta, now, out);
        if self.book.snapshot().is_some() {
            self.adopt(&delta, now, out);
            return;
        }
        let alone = self
            .view
            .members()
            .iter()
            .all(|member| member.node == self.view.me());
        let first = self.spread.hold(delta, alone, now);
        if first && !alone {
            let nonce = self.spread.nonce();
            let peers: Vec<id::Node> = self.view.members().iter().map(|each| each.node).collect();
            let order = crate::rank::order(
                nonce,
                peers.into_iter().filter(|&node| node != self.view.me()),
            );
            self.fetch_from(&order[..order.len().min(START_ASKED)], nonce, out);
        }
    }

    /// A peer's answer.
    fn learn(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        self.follow_roster(delta, now, out);
        self.adopt(delta, now, out);
        if delta.to > 0 {
            self.spread.answered();
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
        if delta.roster == 0 || !self.view.follow(delta.roster, delta.members.clone()) {
            return;
        }
        let transfer = needs_transfer(self.view.place(), &old, self.view.members());
        self.ledger
            .update_members(delta.roster, self.view.members(), transfer, now);
        for member in &old {
            if self.view.member(member.node).is_none() {
                self.owner.forget(member.node, now, &mut out.messages);
            }
        }
        self.view.refresh(now);
    }

    fn adopt(&mut self, delta: &Delta, now: id::Time, out: &mut Outbox) {
        match self.book.apply(delta.from, delta.to, &delta.parts) {
            Change::Old | Change::Gap => {}
            Change::Adopted(snapshot) => {
                self.view.prune(&snapshot);
                self.owner.update(&snapshot);
                out.actions.push(Action::Adopted {
                    revision: self.book.revision(),
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
