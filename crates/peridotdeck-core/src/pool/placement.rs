//! Which waiting request gets which slot.

use peridotdeck_wire::Grant;

use super::{Message, RECENT, RESERVE_PART, Run, Scheduler};
use crate::{engine, id, queue::Entry, strategy::Strategy};

impl Scheduler {
    /// Grants free slots, then preempts bulk for interactive requests that still wait.
    pub(super) fn pump(&mut self, now: id::Time, out: &mut Vec<Message>) {
        if self.strategy.is_baseline() {
            return self.pump_baseline(now, out);
        }
        while let Some((attempt, endpoint)) = self.select(now) {
            self.grant(attempt, endpoint, now, out);
        }
        self.preempt(now, out);
    }

    pub(super) fn pump_baseline(&mut self, now: id::Time, out: &mut Vec<Message>) {
        while let Some(attempt) = self.queue.oldest() {
            let alive: Vec<usize> = (0..self.engines.len())
                .filter(|&at| self.engines[at].limit(now, false) > 0)
                .collect();
            let Some(&first) = alive.first() else { return };
            self.turn += 1;
            let at = match self.strategy {
                Strategy::RoundRobin => alive[self.turn % alive.len()],
                _ => alive
                    .iter()
                    .copied()
                    .min_by_key(|&at| self.engines[at].in_flight())
                    .unwrap_or(first),
            };
            self.grant(attempt, self.engines[at].id(), now, out);
        }
    }

    pub(super) fn select(&self, now: id::Time) -> Option<(id::Attempt, id::Endpoint)> {
        let settling = self.is_settling(now);
        if self
            .engines
            .iter()
            .all(|state| state.free(now, settling) == 0)
        {
            return None;
        }
        let bulk_room = self.bulk_room(now);
        let starved = |entry: &Entry| self.running(&entry.class) < self.guaranteed(&entry.class);
        let allowed = |entry: &Entry| {
            (!entry.bulk || bulk_room || starved(entry))
                && self.place(entry, now, settling).is_some()
        };
        let attempt = self.queue.next(starved, allowed)?;
        let entry = self
            .queue
            .entries()
            .iter()
            .find(|entry| entry.attempt == attempt)?;
        Some((attempt, self.place(entry, now, settling)?))
    }

    /// Tells whether bulk may take a slot beyond its guaranteed share.
    pub(super) fn bulk_room(&self, now: id::Time) -> bool {
        let recent = self
            .last_interactive
            .is_some_and(|last| now.saturating_sub(last) < RECENT);
        let limit = self.limit(now);
        let free = self.free(now);
        let reserve = if recent {
            limit.div_ceil(RESERVE_PART)
        } else {
            0
        };
        free > reserve
    }

    /// Chooses the endpoint for a request, or none if it must wait.
    pub(super) fn place(
        &self,
        entry: &Entry,
        now: id::Time,
        settling: bool,
    ) -> Option<id::Endpoint> {
        if self.must_run_alone(entry) {
            return None;
        }
        let median = self.medians().first_ms;
        let free = self
            .engines
            .iter()
            .filter(|state| state.free(now, settling) > 0);
        let elsewhere = self
            .engines
            .iter()
            .any(|state| state.phase() == engine::Phase::Warm);
        let fit = free.filter(|state| {
            let suspects = self
                .runs
                .iter()
                .any(|run| run.endpoint == state.id() && run.suspect);
            let spread = entry.crashes > 0 && suspects;
            let shunned = !entry.bulk && elsewhere && state.is_shunned(now);
            !spread && !shunned
        });
        let best = fit.min_by(|one, other| {
            let avoided = |state: &engine::State| entry.avoid.contains(&state.id());
            avoided(one).cmp(&avoided(other)).then(
                one.cost(entry.prefix, median)
                    .total_cmp(&other.cost(entry.prefix, median)),
            )
        });
        best.map(engine::State::id)
    }

    /// Copies of a request that has never finished run one at a time, so that a caller that sends
    /// a crashing request many times at once cannot take down many endpoints.
    pub(super) fn must_run_alone(&self, entry: &Entry) -> bool {
        self.proven.binary_search(&entry.fingerprint).is_err()
            && self
                .runs
                .iter()
                .any(|run| run.fingerprint == entry.fingerprint)
    }

    pub(super) fn medians(&self) -> engine::Medians {
        engine::Medians {
            first_ms: median(self.engines.iter().filter_map(engine::State::first_ms)),
            gap_ms: median(self.engines.iter().filter_map(engine::State::gap_ms)),
        }
    }

    pub(super) fn grant(
        &mut self,
        attempt: id::Attempt,
        endpoint: id::Endpoint,
        now: id::Time,
        out: &mut Vec<Message>,
    ) {
        let Some(entry) = self.queue.remove(attempt) else {
            return;
        };
        let settling = self.is_settling(now);
        let baseline = self.strategy.is_baseline();
        let Some(state) = self.engines.iter_mut().find(|state| state.id() == endpoint) else {
            return;
        };
        assert!(
            baseline || state.free(now, settling) > 0,
            "endpoint {endpoint} is granted beyond its limit"
        );
        state.take(entry.prefix, now);
        self.queue.charge(&entry);
        self.counts.granted += 1;
        self.runs.push(Run {
            attempt,
            endpoint,
            node: entry.node,
            class: entry.class,
            bulk: entry.bulk,
            fingerprint: entry.fingerprint,
            suspect: entry.crashes > 0,
            since: now,
            confirmed: now,
            stopping: false,
        });
        out.push((entry.node, Grant { attempt, endpoint }.into()));
    }
}

/// The lower middle: with two endpoints the slow one must not set the standard.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
        .get(values.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(1.0)
}
