//! The state machine of one router node: it takes events and returns actions.
//!
//! All input passes through [`Node::handle`]. A node sends messages to itself where it owns the pool
//! or witnesses the key; these take the same path as a peer's messages, without the network.

mod fetcher;
mod filter;
mod gossip;
mod messages;
mod revalidation;
mod ticks;
mod updates;

pub use fetcher::Fetcher;
pub use filter::{Drops, Filter};

use std::{mem, sync::Arc, time::Duration};

use peridotdeck_policy::Snapshot;
use rand::{SeedableRng, rngs::SmallRng};

use self::revalidation::Revalidation;
use crate::{
    Action, Event, Strategy,
    claim::Witness,
    config,
    flight::{Candidate, Context, Outbox, Table, rank_candidates},
    id, limit,
    membership::View,
    owner,
    request::{Call, Cause, Refusal},
};

/// Time between two [`Event::Tick`] events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time without ticks after which the process counts as paused and its view as out of date.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after which the caller of a node that cannot serve may retry, at another node.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

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
    /// How organisations' limits are divided between nodes.
    pub division: limit::Division,
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

impl Node {
    /// Creates a node that has neither a configuration nor a VM list yet.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let ids = id::Generator::new(setup.node, setup.incarnation);
        let follows_demand = setup.division == limit::Division::Demand;
        let shares = follows_demand.then(|| limit::Shares::new(setup.node, ids.clone()));
        Self {
            view: View::new(setup.node, setup.data_centre, setup.incarnation),
            config: config::Store::default(),
            request_table: Table::new(ids.clone(), shares),
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
            Event::Cut => self.request_table.cut(now, out),
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
            let refusal = Refusal::not_run(cause, Some(RETRY_AFTER));
            out.actions.push(Action::Refuse { request, refusal });
            return;
        }
        let parked = self.revalidation.is_some();
        self.with_context(now, |table, context| {
            table.admit(request, call, parked, context, out);
        });
    }
}
