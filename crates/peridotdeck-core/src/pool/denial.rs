//! Requests that a pool denies because it cannot serve them in time.

use std::{sync::Arc, time::Duration};

use peridotdeck_policy::Class;
use peridotdeck_wire::{Body, Deny, Reason};

use super::{Message, Scheduler};
use crate::{id, quarantine, queue::Entry};

/// Most bulk requests that wait in one pool; further ones are denied on arrival.
pub(super) const MAX_QUEUED_BULK: usize = 10_000;

impl Scheduler {
    /// Returns the denial of a request that cannot be served in time.
    ///
    /// A denial on arrival costs less than a later one.
    pub(super) fn refusal_on_arrival(&mut self, entry: &Entry, now: id::Time) -> Option<Body> {
        if usize::from(entry.crashes) >= quarantine::CRASH_LIMIT {
            return Some(deny(entry.attempt, Reason::Quarantined, Duration::ZERO));
        }
        if self
            .engines
            .iter()
            .all(|state| state.limit(now, false) == 0)
        {
            return Some(deny(entry.attempt, Reason::NoEndpoint, Duration::ZERO));
        }
        if self.strategy.is_baseline() {
            return None;
        }
        if entry.bulk {
            let waiting = self
                .queue
                .entries()
                .iter()
                .filter(|entry| entry.bulk)
                .count();
            let retry = Duration::from_secs(60);
            return (waiting >= MAX_QUEUED_BULK)
                .then(|| deny(entry.attempt, Reason::Overload, retry));
        }
        let class = self.snapshot.class(&entry.class)?;
        let wait = self.expected_wait(entry.tier, now);
        let waited = now.saturating_sub(entry.arrived);
        // With a free or preemptible slot a request is never denied, however long it has waited.
        if wait.is_zero() || waited + wait <= queue_timeout(class) {
            return None;
        }
        // The expected wait counts preemptible bulk as free, so nothing is shed to spare bulk and
        // this adds 0.
        self.counts.shed_for_bulk +=
            u64::from(self.preemptible_count() > self.queued_interactive());
        Some(deny(entry.attempt, Reason::Overload, wait))
    }

    /// Returns the expected wait for a slot of one more interactive request of a tier.
    pub(super) fn expected_wait(&self, tier: u8, now: id::Time) -> Duration {
        /// Service time in milliseconds that is assumed before the first sample.
        const DEFAULT_SERVICE_MS: f64 = 500.0;
        let limit = self.total_limit(now);
        let free = self.total_free(now);
        let ahead = self
            .queue
            .entries()
            .iter()
            .filter(|entry| !entry.bulk && entry.tier <= tier)
            .count();
        let available = free as usize + self.preemptible_count();
        if ahead < available {
            return Duration::ZERO;
        }
        let service_ms = self.service_time.value().unwrap_or(DEFAULT_SERVICE_MS);
        let rounds = (ahead - available + 1) as f64 / f64::from(limit.max(1));
        Duration::from_secs_f64(rounds * service_ms / 1e3)
    }

    /// Returns how many requests all endpoints together may run now.
    pub(super) fn total_limit(&self, now: id::Time) -> u32 {
        let settling = self.is_settling(now);
        self.engines
            .iter()
            .map(|state| state.limit(now, settling))
            .sum()
    }

    /// Returns the free slots of all endpoints.
    pub(super) fn total_free(&self, now: id::Time) -> u32 {
        let settling = self.is_settling(now);
        self.engines
            .iter()
            .map(|state| state.free(now, settling))
            .sum()
    }

    /// Returns the number of waiting interactive requests.
    pub(super) fn queued_interactive(&self) -> usize {
        self.queue
            .entries()
            .iter()
            .filter(|entry| !entry.bulk)
            .count()
    }

    /// Denies interactive requests that have exceeded their queue timeout.
    ///
    /// Serving them would make others late too. This runs after all grants and preemptions, so the
    /// requests that still wait found neither a free slot nor bulk to preempt.
    pub(super) fn deny_overdue(&mut self, now: id::Time, out: &mut Vec<Message>) {
        let pending = self.runs.iter().any(|run| run.stopping);
        if self.strategy.is_baseline() || pending || self.preemptible_count() > 0 {
            return;
        }
        let snapshot = Arc::clone(&self.snapshot);
        let is_late = |entry: &Entry| {
            let class = snapshot.class(&entry.class);
            !entry.bulk
                && class
                    .is_some_and(|class| now.saturating_sub(entry.arrived) > queue_timeout(class))
        };
        for entry in self.queue.drain(is_late) {
            let retry = self.expected_wait(entry.tier, now);
            out.push((entry.node, deny(entry.attempt, Reason::Overload, retry)));
        }
    }

    /// Denies all waiting requests when no endpoint is open, so that they go to other pools.
    ///
    /// This happens when operators take a data centre out of service.
    pub(super) fn deny_unservable(&mut self, now: id::Time, out: &mut Vec<Message>) {
        if self.engines.iter().any(|state| state.limit(now, false) > 0) {
            return;
        }
        for entry in self.queue.drain(|_| true) {
            out.push((
                entry.node,
                deny(entry.attempt, Reason::NoEndpoint, Duration::ZERO),
            ));
        }
    }
}

/// Returns the time for which a request of an interactive class may wait for a slot.
#[must_use]
pub fn queue_timeout(class: &Class) -> Duration {
    /// Divisor of the target for a whole answer: a longer wait would make the answer miss it.
    const WHOLE_ANSWER_DIVISOR: u32 = 2;
    let target = if class.first_token_ms > 0 {
        class.first_token_ms
    } else {
        class.whole_ms / WHOLE_ANSWER_DIVISOR
    };
    Duration::from_millis(target.into())
}

/// Returns the denial of an attempt, which may be sent again after a time.
pub(super) fn deny(attempt: id::Attempt, reason: Reason, retry: Duration) -> Body {
    Deny {
        attempt,
        reason,
        retry_ms: retry.as_millis() as u32,
    }
    .into()
}
