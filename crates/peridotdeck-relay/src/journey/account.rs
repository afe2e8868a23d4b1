//! What the log and the metrics tell of a request: where it went, why it waits, how it ended.

use peridotdeck_core::dispatch::{
    attempt::{Assignment, Delay},
    placement::Exclusion,
    refusal::Refusal,
    registry::Area,
};

use super::Journey;
use crate::{Ingress, clock};

impl<I: Ingress> Journey<I> {
    /// Logs and counts a request that ended without a whole answer.
    pub(crate) fn end_with(&mut self, outcome: &str, refusal: &Refusal) {
        let wait = refusal.retry_after.unwrap_or_default().as_millis();
        let cause = format!(
            "{} verdict={} retry_after_ms={wait}",
            refusal.cause, refusal.verdict
        );
        self.end(outcome, 0, &cause);
    }

    /// Logs and counts the end of the request.
    pub(crate) fn end(&mut self, outcome: &str, status: u16, cause: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let flight = &self.flight;
        let time = clock::now().saturating_sub(flight.arrived);
        self.shared.metrics.ended(&flight.route.name, outcome);
        if outcome == "answered" {
            let (class, organisation) = (&flight.route.name, flight.organisation_name());
            self.shared.metrics.whole(class, organisation, time);
        }
        log::info!(
            "event=request_ended id={} route={} organisation={} version={} outcome={outcome} \
             status={status} ms={} first_ms={} pause_ms={} attempts={} runs={} rejections={} \
             cause={cause}",
            flight.id,
            flight.route.name,
            flight.organisation_name(),
            flight.version,
            time.as_millis(),
            self.first.unwrap_or(time).as_millis(),
            self.pause.as_millis(),
            self.attempts,
            flight.runs,
            flight.rejections,
        );
    }

    /// Logs where an attempt goes, and on what that was decided.
    pub(super) fn log_placed(&self, assignment: &Assignment) {
        let estimate = &assignment.estimate;
        let now = clock::now();
        log::info!(
            "event=request_placed id={} route={} endpoint={} attempt={} rank={} score={:.0} \
             expected_ms={} prompt={} shared={} known={} cached={} unread={} fetch={} running={} \
             backlog={} waited_ms={} left_ms={} roster={} roster_age_ms={}",
            self.flight.id,
            self.flight.route.name,
            assignment.instance,
            self.attempts,
            assignment.rank,
            estimate.score,
            estimate.time_to_first.as_millis(),
            self.flight.prompt.tokens,
            self.flight
                .prompt
                .shared
                .last()
                .map_or(0, |part| part.tokens),
            estimate.cached_anywhere,
            estimate.cached,
            estimate.unread,
            assignment.source.is_some(),
            assignment.load.running,
            assignment.load.unread,
            now.saturating_sub(self.flight.arrived).as_millis(),
            self.flight.time_left(now).as_millis(),
            assignment.roster,
            assignment.roster_age.as_millis(),
        );
    }

    /// Logs why the request waits, once for each cause.
    pub(super) fn log_waiting(&mut self, delay: &Delay) {
        if self.obstacle.replace(delay.cause) == Some(delay.cause) {
            return;
        }
        log::info!(
            "event=request_waits id={} route={} cause={} running={} expected_ms={} target_ms={} \
             left_ms={}",
            self.flight.id,
            self.flight.route.name,
            delay.cause,
            delay.running,
            delay.expected.as_millis(),
            self.flight.route.target.as_millis(),
            self.flight.time_left(clock::now()).as_millis(),
        );
    }

    /// Logs why no endpoint could take the request: how many were barred by what.
    pub(super) fn log_unplaced(&self, bars: &[Exclusion]) {
        let mut bars = bars.to_vec();
        bars.sort_unstable();
        let counts: Vec<String> = bars
            .chunk_by(|one, other| one == other)
            .map(|same| format!("{}:{}", same[0], same.len()))
            .collect();
        let dispatcher = self.shared.dispatcher();
        let registry = dispatcher.registry();
        let now = clock::now();
        log::info!(
            "event=request_unplaced id={} service={} barred={} roster={} roster_age_ms={} \
             policy={} policy_age_ms={}",
            self.flight.id,
            self.flight.service,
            counts.join(","),
            registry.revision(Area::Roster).changed,
            registry.age(Area::Roster, now).as_millis(),
            registry.revision(Area::Policy).changed,
            registry.age(Area::Policy, now).as_millis(),
        );
    }
}
