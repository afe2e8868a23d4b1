//! Synchronisation of slots in use: reports of entry nodes, dead nodes and changes of owner.

use std::time::Duration;

use peridotdeck_wire::{Handover, Held, Holding, Reason};

use super::{HOLDER_TIMEOUT, Message, Run, SETTLE_PERIOD, Scheduler, deny};
use crate::{engine, id, membership::View};

impl Scheduler {
    /// Restarts the settling time if it has not ended yet.
    ///
    /// A peer that has just appeared may have owned the pool until now, and needs time to notice
    /// that it no longer does.
    pub fn extend_settling(&mut self, now: id::Time) {
        if self.is_settling(now) {
            self.settled_at = now + SETTLE_PERIOD;
        }
    }

    /// Handles an entry node's full report of the slots that it holds.
    ///
    /// A new owner adopts grants that another owner made. Any owner frees slots whose release
    /// message was lost.
    pub fn handle_holding(
        &mut self,
        node: id::Node,
        held: &[Held],
        now: id::Time,
        out: &mut Vec<Message>,
    ) {
        /// Age from which a grant must be part of the report; until then it may be in transit.
        const MIN_REPORTED_AGE: Duration = Duration::from_secs(1);
        let reported = |run: &Run| held.iter().any(|slot| slot.attempt == run.attempt);
        let lost = |run: &Run| {
            run.node == node && !reported(run) && now.saturating_sub(run.started) > MIN_REPORTED_AGE
        };
        self.release_runs(now, lost);
        for run in self
            .runs
            .iter_mut()
            .filter(|run| run.node == node && reported(run))
        {
            run.confirmed = now;
        }
        for slot in held {
            self.adopt_run(node, slot, now);
        }
        self.grant_slots(now, out);
    }

    pub(super) fn release_runs(&mut self, now: id::Time, lost: impl Fn(&Run) -> bool) {
        for run in self.runs.extract_if(.., |run| lost(run)) {
            if let Some(state) = self
                .engines
                .iter_mut()
                .find(|state| state.id() == run.endpoint)
            {
                state.release_slot(now);
            }
        }
    }

    pub(super) fn adopt_run(&mut self, node: id::Node, held: &Held, now: id::Time) {
        let known = self.runs.iter().any(|run| run.attempt == held.attempt);
        let state = self
            .engines
            .iter_mut()
            .find(|state| state.id() == held.endpoint);
        let (false, Some(state)) = (known, state) else {
            return;
        };
        state.adopt_slot(now);
        self.queue.remove(held.attempt);
        self.runs.push(Run {
            attempt: held.attempt,
            endpoint: held.endpoint,
            node,
            class: held.class.clone(),
            bulk: self
                .snapshot
                .class(&held.class)
                .is_some_and(|class| class.bulk),
            fingerprint: held.fingerprint,
            crash_suspect: false,
            started: now,
            confirmed: now,
            stopping: false,
        });
    }

    /// Frees the slots and removes the waiting requests of a dead entry node.
    pub fn forget_node(&mut self, node: id::Node, now: id::Time, out: &mut Vec<Message>) {
        self.queue.drain(|entry| entry.node == node);
        self.release_runs(now, |run| run.node == node);
        self.grant_slots(now, out);
    }

    /// Removes the waiting requests of nodes that have been silent for `HOLDER_TIMEOUT`.
    ///
    /// These nodes have died.
    pub fn drop_silent_nodes(&mut self, view: &View, now: id::Time) {
        let silent = |node: id::Node| {
            view.last_received(node)
                .is_none_or(|heard| now.saturating_sub(heard) > HOLDER_TIMEOUT)
        };
        self.queue
            .drain(|entry| entry.node != view.local_node() && silent(entry.node));
    }

    /// Hands the pool over to its next owner, if there is one.
    ///
    /// Waiting requests are denied, and their entry nodes send them to the next owner. The next
    /// owner receives the state of this one, so it need not settle.
    pub fn hand_over(&mut self, next: Option<id::Node>, out: &mut Vec<Message>) {
        for entry in self.queue.drain(|_| true) {
            out.push((
                entry.node,
                deny(entry.attempt, Reason::NotOwner, Duration::ZERO),
            ));
        }
        let Some(next) = next else { return };
        let trust = self.engines.iter().map(engine::State::trust).collect();
        out.push((
            next,
            Handover {
                pool: self.pool.id,
                trust,
                runs: self.holdings(),
            }
            .into(),
        ));
    }

    pub(super) fn holdings(&self) -> Vec<Holding> {
        let mut nodes: Vec<id::Node> = self.runs.iter().map(|run| run.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        let held = |node| {
            self.runs
                .iter()
                .filter(move |run| run.node == node)
                .map(Run::to_held)
                .collect()
        };
        nodes
            .into_iter()
            .map(|node| Holding {
                pool: self.pool.id,
                node,
                held: held(node),
            })
            .collect()
    }

    /// Adopts the state of the last owner and ends the settling time.
    pub fn handle_handover(&mut self, handover: &Handover, now: id::Time) {
        for trust in &handover.trust {
            if let Some(state) = self
                .engines
                .iter_mut()
                .find(|state| state.id() == trust.endpoint)
            {
                state.inherit_trust(trust);
            }
        }
        for holding in &handover.runs {
            for held in &holding.held {
                self.adopt_run(holding.node, held, now);
            }
        }
        self.settled_at = now;
    }
}
