//! Log lines and metrics of one request: its placement, its waits, and its end.

use peridotdeck_core::dispatch::{
    attempt::{Assignment, Delay},
    placement::Exclusion,
    refusal::Refusal,
    registry::Area,
    share::Room,
};

use super::Forwarding;
use crate::{
    Ingress,
    answer::{Events, Foreign, logged_id},
    clock,
    shared::detour_text,
};

impl<I: Ingress> Forwarding<I> {
    /// Logs and counts a request that ended without a complete answer, for the refusal's cause.
    pub(crate) fn record_refusal(&mut self, outcome: &str, refusal: &Refusal) {
        let wait = refusal.retry_after.unwrap_or_default().as_millis();
        let cause = format!(
            "{} verdict={} retry_after_ms={wait}",
            refusal.cause, refusal.verdict
        );
        self.record_end(outcome, 0, &cause);
    }

    /// Logs and counts the end of the request, once.
    pub(crate) fn record_end(&mut self, outcome: &str, status: u16, cause: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let flight = &self.flight;
        let time = clock::now().saturating_sub(flight.arrived);
        self.shared
            .metrics
            .count_request(&flight.route.name, outcome);
        if outcome == "answered" {
            let (class, organisation) = (&flight.route.name, flight.organisation_name());
            self.shared
                .metrics
                .observe_whole_answer(class, organisation, time);
        }
        log::info!(
            "event=request_ended id={} route={} organisation={} version={} outcome={outcome} \
             status={status} ms={} first_ms={} pause_ms={} attempts={} runs={} rejections={} \
             framing={} cause={cause}",
            flight.id,
            flight.route.name,
            flight.organisation_name(),
            flight.version,
            time.as_millis(),
            self.time_to_first.unwrap_or(time).as_millis(),
            self.longest_pause.as_millis(),
            self.attempts,
            flight.runs,
            flight.rejections,
            self.framing.map_or("none", Into::into),
        );
    }

    /// Logs the endpoint of an attempt, and the facts that the choice was based on.
    pub(super) fn log_placed(&self, assignment: &Assignment) {
        let estimate = &assignment.estimate;
        let now = clock::now();
        let dispatcher = self.shared.dispatcher();
        let roster = dispatcher.registry().progress(Area::Roster).changed;
        let roster_age = dispatcher.registry().age(Area::Roster, now);
        let policy_age = dispatcher.registry().age(Area::Policy, now);
        let region = dispatcher.region_of_endpoint(assignment.attempt.key());
        let region = region.unwrap_or("unknown").to_owned();
        drop(dispatcher);
        log::info!(
            "event=request_placed id={} route={} endpoint={} software={} detour={} resumes={} attempt={} \
             rank={} score={:.0} \
             expected_ms={} prompt={} shared={} known={} cached={} unread={} fetch={} running={} \
             backlog={} candidates={} view_age_ms={} corrected={} waited_ms={} left_ms={} roster={} \
             roster_age_ms={} region={region} allowed={} admitted={} version={} \
             policy_age_ms={}",
            self.flight.id,
            self.flight.route.name,
            assignment.instance,
            assignment.version,
            detour_text(assignment.attempt.detour()),
            self.flight.resumes.as_deref().unwrap_or("none"),
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
            assignment.candidates,
            assignment.view_age.as_millis(),
            assignment.corrected,
            now.saturating_sub(self.flight.arrived).as_millis(),
            self.flight.time_left(now).as_millis(),
            roster,
            roster_age.as_millis(),
            self.flight.regions,
            self.flight.version,
            self.flight.narrowed_by,
            policy_age.as_millis(),
        );
    }

    /// Logs the first event of a continuation.
    pub(crate) fn log_joined(&self, events: &Events, after: Option<&str>) {
        log::info!(
            "event=stream_joined id={} endpoint={} after={} first={}",
            self.flight.id,
            self.endpoint,
            logged_id(after),
            logged_id(events.first_id()),
        );
    }

    /// Logs the first thing in the stream of the last attempt that does not belong to it.
    pub(crate) fn log_foreign(&self, foreign: &Foreign) {
        log_foreign(&self.flight.id, &self.endpoint, foreign);
    }

    /// Logs at which version a stream that was taken up goes on and why, whenever this changes.
    pub(super) fn log_resolved(&mut self) {
        let Some(resolution) = self.flight.resolution else {
            return;
        };
        let decision = (resolution.by, resolution.software);
        if self.resolved.replace(decision) == Some(decision) {
            return;
        }
        let software = resolution.software.map_or_else(
            || "any".to_owned(),
            |software| {
                let dispatcher = self.shared.dispatcher();
                let mut listed = dispatcher.registry().endpoints().iter();
                let found = listed.find(|endpoint| endpoint.software() == software);
                found.map_or_else(
                    || format!("unlisted:{software:08x}"),
                    |endpoint| endpoint.version.clone(),
                )
            },
        );
        log::info!(
            "event=stream_resolved id={} resumes={} software={software} by={} roster={} \
             roster_age_ms={} history_ms={}",
            self.flight.id,
            self.flight.resumes.as_deref().unwrap_or("none"),
            resolution.by,
            resolution.roster,
            resolution.roster_age.as_millis(),
            resolution.history.as_millis(),
        );
    }

    /// Logs why no version could be named for a stream that was taken up, if that is why it is refused.
    pub(super) fn log_unknown(&self) {
        let Some(doubt) = self.flight.doubt else {
            return;
        };
        let now = clock::now();
        let dispatcher = self.shared.dispatcher();
        let unlisted = dispatcher.unlisted(&self.flight);
        let age = dispatcher.registry().age(Area::Roster, now);
        drop(dispatcher);
        log::info!(
            "event=stream_unknown id={} resumes={} doubt={doubt} unlisted={unlisted} roster_age_ms={} ms={}",
            self.flight.id,
            self.flight.resumes.as_deref().unwrap_or("none"),
            age.as_millis(),
            now.saturating_sub(self.flight.arrived).as_millis(),
        );
    }

    /// Logs why the request waits, whenever the cause changes.
    pub(super) fn log_waiting(&mut self, delay: &Delay) {
        if self.wait_cause.replace(delay.cause) == Some(delay.cause) {
            return;
        }
        let cause = delay.cause.into();
        let metrics = &self.shared.metrics;
        metrics.count_wait(&self.flight.route.name, cause);
        log::info!(
            "event=request_waits id={} route={} cause={cause} running={} expected_ms={} target_ms={} \
             left_ms={}{}",
            self.flight.id,
            self.flight.route.name,
            delay.running,
            delay.expected.as_millis(),
            self.flight.route.target.as_millis(),
            self.flight.time_left(clock::now()).as_millis(),
            self.room_text(delay.room),
        );
    }

    /// Returns the room that a waiting request finds and who competes for it, if that was looked at.
    fn room_text(&self, room: Option<Room>) -> String {
        let Some(room) = room else {
            return String::new();
        };
        let organisation = self.flight.organisation_name();
        let dispatcher = self.shared.dispatcher();
        let part = dispatcher
            .shares()
            .usage
            .recent_part(organisation, clock::now());
        format!(
            " rank={} slots={} free={} kept={} ahead={} repeats={} organisation={organisation} part={part:.2}",
            self.flight.rank, room.slots, room.free, room.kept, room.ahead, self.flight.repeats,
        )
    }

    /// Logs why no endpoint could take the request: the number of endpoints for each exclusion.
    pub(super) fn log_unplaced(&self, exclusions: &[Exclusion]) {
        let mut exclusions = exclusions.to_vec();
        exclusions.sort_unstable();
        let counts: Vec<String> = exclusions
            .chunk_by(|one, other| one == other)
            .map(|equal| format!("{}:{}", equal[0], equal.len()))
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
            registry.progress(Area::Roster).changed,
            registry.age(Area::Roster, now).as_millis(),
            registry.progress(Area::Policy).changed,
            registry.age(Area::Policy, now).as_millis(),
        );
    }
}

/// Logs the first thing in an endpoint's stream that does not belong to it.
pub(super) fn log_foreign(id: &str, endpoint: &str, foreign: &Foreign) {
    log::info!("event=event_foreign id={id} endpoint={endpoint} {foreign}");
}
