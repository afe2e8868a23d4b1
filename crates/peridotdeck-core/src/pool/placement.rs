//! Assignment of free slots to waiting requests.

use peridotdeck_wire::Grant;

use super::{INTERACTIVE_RESERVE_TIME, Message, RESERVE_DIVISOR, Run, Scheduler};
use crate::{engine, id, queue::Entry, strategy::Strategy};

impl Scheduler {
    /// Grants free slots, then preempts bulk runs for interactive requests that still wait.
    pub(super) fn grant_slots(&mut self, now: id::Time, out: &mut Vec<Message>) {
        if self.strategy.is_baseline() {
            return self.grant_slots_baseline(now, out);
        }
        while let Some((attempt, endpoint)) = self.select_grant(now) {
            self.grant(attempt, endpoint, now, out);
        }
        self.preempt_bulk(now, out);
    }

    /// Grants a slot to every waiting request at once, as the baseline strategies do.
    pub(super) fn grant_slots_baseline(&mut self, now: id::Time, out: &mut Vec<Message>) {
        while let Some(attempt) = self.queue.oldest() {
            let open: Vec<usize> = (0..self.engines.len())
                .filter(|&index| self.engines[index].limit(now, false) > 0)
                .collect();
            let Some(&first) = open.first() else { return };
            self.round_robin_turn += 1;
            let index = match self.strategy {
                Strategy::RoundRobin => open[self.round_robin_turn % open.len()],
                _ => open
                    .iter()
                    .copied()
                    .min_by_key(|&index| self.engines[index].in_flight())
                    .unwrap_or(first),
            };
            self.grant(attempt, self.engines[index].id(), now, out);
        }
    }

    /// Selects the next request that gets a slot, and its endpoint.
    pub(super) fn select_grant(&self, now: id::Time) -> Option<(id::Attempt, id::Endpoint)> {
        let settling = self.is_settling(now);
        if self
            .engines
            .iter()
            .all(|state| state.free(now, settling) == 0)
        {
            return None;
        }
        let bulk_allowed = self.may_grant_bulk(now);
        let below_share =
            |entry: &Entry| self.running_count(&entry.class) < self.guaranteed_slots(&entry.class);
        let allowed = |entry: &Entry| {
            (!entry.bulk || bulk_allowed || below_share(entry))
                && self.choose_endpoint(entry, now, settling).is_some()
        };
        let attempt = self.queue.next(below_share, allowed)?;
        let entry = self
            .queue
            .entries()
            .iter()
            .find(|entry| entry.attempt == attempt)?;
        Some((attempt, self.choose_endpoint(entry, now, settling)?))
    }

    /// Returns whether bulk may take a slot beyond its guaranteed share.
    pub(super) fn may_grant_bulk(&self, now: id::Time) -> bool {
        let recent = self
            .last_interactive
            .is_some_and(|last| now.saturating_sub(last) < INTERACTIVE_RESERVE_TIME);
        let limit = self.total_limit(now);
        let free = self.total_free(now);
        let reserve = if recent {
            limit.div_ceil(RESERVE_DIVISOR)
        } else {
            0
        };
        free > reserve
    }

    /// Chooses the endpoint for a request, or none if it must wait.
    pub(super) fn choose_endpoint(
        &self,
        entry: &Entry,
        now: id::Time,
        settling: bool,
    ) -> Option<id::Endpoint> {
        if self.must_run_alone(entry) {
            return None;
        }
        let median = self.medians().first_token_ms;
        let free = self
            .engines
            .iter()
            .filter(|state| state.free(now, settling) > 0);
        let has_warm = self
            .engines
            .iter()
            .any(|state| state.phase() == engine::Phase::Warm);
        let suitable = free.filter(|state| {
            let runs_suspect = self
                .runs
                .iter()
                .any(|run| run.endpoint == state.id() && run.crash_suspect);
            let must_separate = entry.crashes > 0 && runs_suspect;
            let excluded = !entry.bulk && has_warm && state.excludes_interactive(now);
            !must_separate && !excluded
        });
        let best = suitable.min_by(|left, right| {
            let avoided = |state: &engine::State| entry.avoid.contains(&state.id());
            avoided(left).cmp(&avoided(right)).then(
                left.cost(entry.prefix, median)
                    .total_cmp(&right.cost(entry.prefix, median)),
            )
        });
        best.map(engine::State::id)
    }

    /// Returns whether a request must wait until a running copy of it has ended.
    ///
    /// Copies of a request that has never finished run one at a time. Otherwise a caller that sends
    /// a crashing request many times at once could crash many endpoints.
    pub(super) fn must_run_alone(&self, entry: &Entry) -> bool {
        self.completed.binary_search(&entry.fingerprint).is_err()
            && self
                .runs
                .iter()
                .any(|run| run.fingerprint == entry.fingerprint)
    }

    /// Returns the median speeds over the pool's endpoints.
    pub(super) fn medians(&self) -> engine::Medians {
        engine::Medians {
            first_token_ms: median(
                self.engines
                    .iter()
                    .filter_map(engine::State::first_token_ms),
            ),
            token_gap_ms: median(self.engines.iter().filter_map(engine::State::token_gap_ms)),
        }
    }

    /// Grants a slot to a waiting request and charges its organisation.
    ///
    /// # Panics
    /// Panics if the endpoint has no free slot, except under a baseline strategy.
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
            "endpoint {endpoint} was granted a slot beyond its limit"
        );
        state.take_slot(entry.prefix, now);
        self.queue.charge(&entry);
        self.counts.granted += 1;
        self.runs.push(Run {
            attempt,
            endpoint,
            node: entry.node,
            class: entry.class,
            bulk: entry.bulk,
            fingerprint: entry.fingerprint,
            crash_suspect: entry.crashes > 0,
            started: now,
            confirmed: now,
            stopping: false,
        });
        out.push((entry.node, Grant { attempt, endpoint }.into()));
    }
}

/// Returns the lower median, or 1 for no values.
///
/// With two endpoints the slow one must not set the median.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
        .get(values.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(1.0)
}
