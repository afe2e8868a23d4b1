//! The pools that this node schedules.

use std::{sync::Arc, time::Duration};

use peridotdeck_policy::Snapshot;
use peridotdeck_wire::{Ask, Body, Deny, Done, Handover, Holding, Reason, Summary};

use crate::{
    Strategy, engine, id,
    membership::View,
    pool::{Counts, Reply, Scheduler},
};

/// Age after which a handover says nothing about the present.
const HANDOVER_AGE: Duration = Duration::from_secs(2);

/// Schedulers, sorted by pool.
#[derive(Clone, Debug)]
pub struct Pools {
    strategy: Strategy,
    schedulers: Vec<Scheduler>,
    past: Counts,
    handovers: Vec<(Handover, id::Time)>,
    live: Vec<id::Node>,
}

impl Pools {
    /// Starts without pools.
    #[must_use]
    pub fn new(strategy: Strategy) -> Self {
        Self {
            strategy,
            schedulers: Vec::new(),
            past: Counts::default(),
            handovers: Vec::new(),
            live: Vec::new(),
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

    /// Takes over and gives up pools as the view says.
    pub fn follow(
        &mut self,
        view: &View,
        snapshot: &Arc<Snapshot>,
        now: id::Time,
        out: &mut Vec<Reply>,
    ) {
        let live = view.live_nodes(view.data_centre());
        let changed = self.live != live;
        for pool in &mut self.schedulers {
            pool.forget_silent(view, now);
            if changed {
                pool.settle_longer(now);
            }
        }
        self.live = live.to_vec();
        let me = Some(view.local_node());
        let mine = |pool: id::Pool| {
            snapshot
                .pool(pool)
                .is_some_and(|pool| view.owner(pool) == me)
        };
        for mut pool in self.schedulers.extract_if(.., |pool| !mine(pool.pool().id)) {
            let next = snapshot
                .pool(pool.pool().id)
                .and_then(|pool| view.owner(pool));
            pool.retire(next.filter(|&next| Some(next) != me), out);
            add(&mut self.past, pool.counts());
        }
        for pool in snapshot
            .pools()
            .iter()
            .filter(|pool| pool.place == view.data_centre())
        {
            if view.owner(pool) == me
                && let Err(at) = self.find(pool.id)
            {
                let (pool, snapshot) = (pool.clone(), Arc::clone(snapshot));
                let handover = self.take_handover(pool.id);
                let mut scheduler = Scheduler::new(pool, snapshot, self.strategy, now);
                if let Some(handover) = handover {
                    scheduler.inherit(&handover, now);
                }
                self.schedulers.insert(at, scheduler);
            }
        }
    }

    fn take_handover(&mut self, pool: id::Pool) -> Option<Handover> {
        let at = self
            .handovers
            .iter()
            .position(|(each, _)| each.pool == pool)?;
        Some(self.handovers.swap_remove(at).0)
    }

    /// Takes over a pool from its last owner, which may know of the change before this node does.
    pub fn inherit(&mut self, handover: Handover, now: id::Time) {
        self.handovers.retain(|(each, at)| {
            each.pool != handover.pool && now.saturating_sub(*at) < HANDOVER_AGE
        });
        match self.find(handover.pool) {
            Ok(at) => self.schedulers[at].inherit(&handover, now),
            Err(_) => self.handovers.push((handover, now)),
        }
    }

    /// Follows a configuration change.
    pub fn update(&mut self, snapshot: &Arc<Snapshot>) {
        for pool in &mut self.schedulers {
            pool.update(Arc::clone(snapshot));
        }
    }

    /// Drops all pools after a pause: other nodes may own them now.
    pub fn abandon(&mut self) {
        for pool in self.schedulers.drain(..) {
            add(&mut self.past, pool.counts());
        }
    }

    fn find(&self, pool: id::Pool) -> Result<usize, usize> {
        self.schedulers
            .binary_search_by_key(&pool, |scheduler| scheduler.pool().id)
    }

    /// Handles a request for a slot.
    pub fn ask(&mut self, node: id::Node, ask: Ask, now: id::Time, out: &mut Vec<Reply>) {
        if let Ok(at) = self.find(ask.pool) {
            return self.schedulers[at].ask(node, ask, now, out);
        }
        let deny = Deny {
            attempt: ask.attempt,
            reason: Reason::NotOwner,
            retry_ms: 0,
        };
        out.push((node, Body::from(deny)));
    }

    /// Takes a slot back.
    pub fn done(&mut self, done: &Done, now: id::Time, out: &mut Vec<Reply>) {
        if let Ok(at) = self.find(done.pool) {
            self.schedulers[at].done(done, now, out);
        }
    }

    /// Learns of slots in use.
    pub fn hold(&mut self, node: id::Node, holding: &Holding, now: id::Time, out: &mut Vec<Reply>) {
        if let Ok(at) = self.find(holding.pool) {
            self.schedulers[at].hold(node, &holding.held, now, out);
        }
    }

    /// Frees what a dead node held.
    pub fn forget(&mut self, node: id::Node, now: id::Time, out: &mut Vec<Reply>) {
        for pool in &mut self.schedulers {
            pool.forget(node, now, out);
        }
    }

    /// Learns from a load report.
    pub fn report(
        &mut self,
        endpoint: id::Endpoint,
        report: engine::Report,
        now: id::Time,
        out: &mut Vec<Reply>,
    ) {
        for pool in &mut self.schedulers {
            if pool.pool().endpoints.binary_search(&endpoint).is_ok() {
                pool.report(endpoint, report, now, out);
            }
        }
    }

    /// Lets time pass in every pool.
    pub fn tick(&mut self, now: id::Time, out: &mut Vec<Reply>) {
        for pool in &mut self.schedulers {
            pool.tick(now, out);
        }
    }

    /// Returns the state of all pools for gossip.
    #[must_use]
    pub fn summaries(&self, stamp: u32, now: id::Time) -> Vec<Summary> {
        self.schedulers
            .iter()
            .map(|pool| pool.summary(stamp, now))
            .collect()
    }

    /// Returns the counts of all pools, past ones included.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut sum = self.past;
        for pool in &self.schedulers {
            add(&mut sum, pool.counts());
        }
        sum
    }

    /// Checks the counts that must agree.
    ///
    /// # Panics
    /// If they do not, which is a fault of this program.
    pub fn check(&self) {
        for pool in &self.schedulers {
            pool.check();
        }
    }
}

fn add(sum: &mut Counts, counts: Counts) {
    sum.granted += counts.granted;
    sum.preempted += counts.preempted;
    sum.shed_for_bulk += counts.shed_for_bulk;
}
