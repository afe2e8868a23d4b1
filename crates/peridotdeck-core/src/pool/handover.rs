//! Slots that others know of: statements of entry nodes, and changes of the owner.

use std::time::Duration;

use peridotdeck_wire::{Handover, Held, Holding, Reason};

use super::{HOLDER_SILENCE, Reply, Run, SETTLE, Scheduler, deny};
use crate::{engine, id, membership::View};

impl Scheduler {
    /// Settles anew if it has not settled yet: a peer that has just been heard may have owned the
    /// pool until now, and needs time to learn that it does not.
    pub fn settle_longer(&mut self, now: id::Time) {
        if self.is_settling(now) {
            self.settled = now + SETTLE;
        }
    }

    /// Takes an entry node's full statement of the slots that it holds.
    ///
    /// A new owner learns of grants that another node made; an old one notices slots whose return
    /// was lost on its way.
    pub fn hold(&mut self, node: id::Node, held: &[Held], now: id::Time, out: &mut Vec<Reply>) {
        /// Age from which a grant must be part of the statement.
        const KNOWN_AGE: Duration = Duration::from_secs(1);
        let stated = |run: &Run| held.iter().any(|each| each.attempt == run.attempt);
        let lost = |run: &Run| {
            run.node == node && !stated(run) && now.saturating_sub(run.since) > KNOWN_AGE
        };
        self.release(now, lost);
        for run in self
            .runs
            .iter_mut()
            .filter(|run| run.node == node && stated(run))
        {
            run.confirmed = now;
        }
        for each in held {
            self.adopt(node, each, now);
        }
        self.pump(now, out);
    }

    pub(super) fn release(&mut self, now: id::Time, lost: impl Fn(&Run) -> bool) {
        for run in self.runs.extract_if(.., |run| lost(run)) {
            if let Some(state) = self
                .engines
                .iter_mut()
                .find(|state| state.id() == run.endpoint)
            {
                state.release(now);
            }
        }
    }

    pub(super) fn adopt(&mut self, node: id::Node, held: &Held, now: id::Time) {
        let known = self.runs.iter().any(|run| run.attempt == held.attempt);
        let state = self
            .engines
            .iter_mut()
            .find(|state| state.id() == held.endpoint);
        let (false, Some(state)) = (known, state) else {
            return;
        };
        state.adopt(now);
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
            suspect: false,
            since: now,
            confirmed: now,
            stopping: false,
        });
    }

    /// Frees what an entry node held that has died.
    pub fn forget(&mut self, node: id::Node, now: id::Time, out: &mut Vec<Reply>) {
        self.queue.drain(|entry| entry.node == node);
        self.release(now, |run| run.node == node);
        self.pump(now, out);
    }

    /// Drops the requests of nodes that have been silent for a long time: they have died.
    pub fn forget_silent(&mut self, view: &View, now: id::Time) {
        let silent = |node: id::Node| {
            view.last_received(node)
                .is_none_or(|heard| now.saturating_sub(heard) > HOLDER_SILENCE)
        };
        self.queue
            .drain(|entry| entry.node != view.local_node() && silent(entry.node));
    }

    /// Gives up the pool to its next owner, if there is one.
    ///
    /// Every waiting request is sent there by its entry node. The next owner learns what this one
    /// knows, so it need not settle.
    pub fn retire(&mut self, next: Option<id::Node>, out: &mut Vec<Reply>) {
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
                .map(Run::held)
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

    /// Takes over what the last owner knew: nothing is left to settle.
    pub fn inherit(&mut self, handover: &Handover, now: id::Time) {
        for trust in &handover.trust {
            if let Some(state) = self
                .engines
                .iter_mut()
                .find(|state| state.id() == trust.endpoint)
            {
                state.believe(trust);
            }
        }
        for holding in &handover.runs {
            for held in &holding.held {
                self.adopt(holding.node, held, now);
            }
        }
        self.settled = now;
    }
}
