//! The pools that this node schedules.

use std::{sync::Arc, time::Duration};

use peridotdeck_policy::Snapshot;
use peridotdeck_wire::{Ask, Body, Deny, Done, Handover, Holding, Reason, Summary};

use crate::{
    Strategy, engine, id,
    membership::View,
    pool::{Counts, Message, Scheduler},
};

/// Age after which a stored handover is out of date and is dropped.
const HANDOVER_MAX_AGE: Duration = Duration::from_secs(2);

/// The schedulers of the pools that this node owns, sorted by pool.
#[derive(Clone, Debug)]
pub struct Pools {
    strategy: Strategy,
    schedulers: Vec<Scheduler>,
    past_counts: Counts,
    handovers: Vec<(Handover, id::Time)>,
    live_nodes: Vec<id::Node>,
}

impl Pools {
    /// Creates an empty set of pools.
    #[must_use]
    pub fn new(strategy: Strategy) -> Self {
        Self {
            strategy,
            schedulers: Vec::new(),
            past_counts: Counts::default(),
            handovers: Vec::new(),
            live_nodes: Vec::new(),
        }
    }

    /// Returns the schedulers.
    #[must_use]
    pub fn schedulers(&self) -> &[Scheduler] {
        &self.schedulers
    }

    /// Returns the endpoints whose load reports this node reads.
    pub fn endpoints(&self) -> impl Iterator<Item = id::Endpoint> + '_ {
        self.schedulers
            .iter()
            .flat_map(|pool| pool.pool().endpoints.iter().copied())
    }

    /// Takes over and hands over pools as the membership view requires.
    pub fn update_ownership(
        &mut self,
        view: &View,
        snapshot: &Arc<Snapshot>,
        now: id::Time,
        out: &mut Vec<Message>,
    ) {
        let live = view.live_nodes(view.data_centre());
        let changed = self.live_nodes != live;
        for pool in &mut self.schedulers {
            pool.drop_silent_nodes(view, now);
            if changed {
                pool.extend_settling(now);
            }
        }
        self.live_nodes = live.to_vec();
        let local_node = Some(view.local_node());
        let is_owned = |pool: id::Pool| {
            snapshot
                .pool(pool)
                .is_some_and(|pool| view.owner(pool) == local_node)
        };
        for mut pool in self
            .schedulers
            .extract_if(.., |pool| !is_owned(pool.pool().id))
        {
            let next = snapshot
                .pool(pool.pool().id)
                .and_then(|pool| view.owner(pool));
            pool.hand_over(next.filter(|&next| Some(next) != local_node), out);
            add(&mut self.past_counts, pool.counts());
        }
        for pool in snapshot
            .pools()
            .iter()
            .filter(|pool| pool.place == view.data_centre())
        {
            if view.owner(pool) == local_node
                && let Err(index) = self.find(pool.id)
            {
                let (pool, snapshot) = (pool.clone(), Arc::clone(snapshot));
                let handover = self.take_handover(pool.id);
                let mut scheduler = Scheduler::new(pool, snapshot, self.strategy, now);
                if let Some(handover) = handover {
                    scheduler.handle_handover(&handover, now);
                }
                self.schedulers.insert(index, scheduler);
            }
        }
    }

    fn take_handover(&mut self, pool: id::Pool) -> Option<Handover> {
        let index = self
            .handovers
            .iter()
            .position(|(handover, _)| handover.pool == pool)?;
        Some(self.handovers.swap_remove(index).0)
    }

    /// Handles a handover, the state of a pool that its last owner sends to the next one.
    ///
    /// The last owner may learn of the change before this node does. The handover of a pool that
    /// this node does not own yet is stored for a short time.
    pub fn handle_handover(&mut self, handover: Handover, now: id::Time) {
        self.handovers.retain(|(stored, received)| {
            stored.pool != handover.pool && now.saturating_sub(*received) < HANDOVER_MAX_AGE
        });
        match self.find(handover.pool) {
            Ok(index) => self.schedulers[index].handle_handover(&handover, now),
            Err(_) => self.handovers.push((handover, now)),
        }
    }

    /// Applies a configuration change to every scheduler.
    pub fn update_config(&mut self, snapshot: &Arc<Snapshot>) {
        for pool in &mut self.schedulers {
            pool.update(Arc::clone(snapshot));
        }
    }

    /// Drops all pools after a pause of this process, because other nodes may own them now.
    pub fn drop_all(&mut self) {
        for pool in self.schedulers.drain(..) {
            add(&mut self.past_counts, pool.counts());
        }
    }

    fn find(&self, pool: id::Pool) -> Result<usize, usize> {
        self.schedulers
            .binary_search_by_key(&pool, |scheduler| scheduler.pool().id)
    }

    /// Handles a request for a slot, and denies it if this node does not own the pool.
    pub fn handle_ask(&mut self, node: id::Node, ask: Ask, now: id::Time, out: &mut Vec<Message>) {
        if let Ok(index) = self.find(ask.pool) {
            return self.schedulers[index].handle_ask(node, ask, now, out);
        }
        let deny = Deny {
            attempt: ask.attempt,
            reason: Reason::NotOwner,
            retry_ms: 0,
        };
        out.push((node, Body::from(deny)));
    }

    /// Handles the end of an attempt: frees its slot, or removes it from the queue.
    pub fn handle_done(&mut self, done: &Done, now: id::Time, out: &mut Vec<Message>) {
        if let Ok(index) = self.find(done.pool) {
            self.schedulers[index].handle_done(done, now, out);
        }
    }

    /// Handles a node's full list of the slots that it holds in a pool.
    pub fn handle_holding(
        &mut self,
        node: id::Node,
        holding: &Holding,
        now: id::Time,
        out: &mut Vec<Message>,
    ) {
        if let Ok(index) = self.find(holding.pool) {
            self.schedulers[index].handle_holding(node, &holding.held, now, out);
        }
    }

    /// Frees the slots and removes the queued requests of a node that has died or restarted.
    pub fn forget_node(&mut self, node: id::Node, now: id::Time, out: &mut Vec<Message>) {
        for pool in &mut self.schedulers {
            pool.forget_node(node, now, out);
        }
    }

    /// Handles the load report of an endpoint.
    pub fn handle_report(
        &mut self,
        endpoint: id::Endpoint,
        report: engine::Report,
        now: id::Time,
        out: &mut Vec<Message>,
    ) {
        for pool in &mut self.schedulers {
            if pool.pool().endpoints.binary_search(&endpoint).is_ok() {
                pool.handle_report(endpoint, report, now, out);
            }
        }
    }

    /// Runs the periodic work of every scheduler.
    pub fn tick(&mut self, now: id::Time, out: &mut Vec<Message>) {
        for pool in &mut self.schedulers {
            pool.tick(now, out);
        }
    }

    /// Returns summaries of all pools for gossip, stamped with this node's heartbeat count.
    #[must_use]
    pub fn summaries(&self, stamp: u32, now: id::Time) -> Vec<Summary> {
        self.schedulers
            .iter()
            .map(|pool| pool.summary(stamp, now))
            .collect()
    }

    /// Returns the summed counts of all pools, including those that this node no longer owns.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut sum = self.past_counts;
        for pool in &self.schedulers {
            add(&mut sum, pool.counts());
        }
        sum
    }

    /// Checks the invariants of every scheduler.
    ///
    /// # Panics
    /// Panics if one is violated, which is a bug in this program.
    pub fn check_invariants(&self) {
        for pool in &self.schedulers {
            pool.check_invariants();
        }
    }
}

fn add(sum: &mut Counts, counts: Counts) {
    sum.granted += counts.granted;
    sum.preempted += counts.preempted;
    sum.shed_for_bulk += counts.shed_for_bulk;
}
