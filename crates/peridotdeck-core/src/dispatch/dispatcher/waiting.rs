//! Waiting of requests at their node, and the time after which a refused caller may retry.

use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use crate::{
    dispatch::{
        Key,
        attempt::{Delay, Placement, WaitCause},
        config::Service,
        flight::Flight,
        placement::{Estimate, Exclusion},
        refusal::{Cause, Refusal},
    },
    id::Time,
};

/// Fraction of the target for which a request waits for an eligible endpoint, or for room if less
/// urgent ones run.
pub(super) const WAIT_TARGET_FRACTION: f64 = 0.3;

/// Fraction of the target for which a request waits for a part of the rate that an endpoint names.
///
/// Such a part comes soon, while a caller that is refused comes back much later.
const RATE_WAIT_TARGET_FRACTION: f64 = 0.6;

/// Fraction of the target for which a request waits for a place at a brittle endpoint.
///
/// It would wait for as long in the queue of an endpoint that is not brittle.
const PLACE_WAIT_TARGET_FRACTION: f64 = 1.0;

/// Shortest time for which a request waits for an eligible endpoint before it is refused.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Shortest and longest retry delay that is sent to a refused caller.
pub(super) const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(2));

/// Longest retry delay that a node without a configuration sends to callers. Its publisher is
/// down for an unknown time.
pub(super) const MAX_UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Largest fraction of the caller's time that a retry delay may take, since callers ignore
/// longer delays.
pub(super) const RETRY_AFTER_FRACTION: f64 = 0.3;

/// Fraction of an engine's batch that requests of the least urgent class may fill. In a fuller
/// batch more urgent requests would displace them, and their prompts would be read again.
const BATCH_FILL_FRACTION: f64 = 0.9;

/// Fraction of the target within which a late request should be answered after it is sent.
const LATE_ANSWER_FRACTION: f64 = 0.5;

/// Shortest time between two looks for room, as a fraction of the target.
///
/// Each look estimates all endpoints of the service.
pub(super) const DEFER_TARGET_FRACTION: f64 = 0.02;

/// Longest wait of a request of the least urgent class, as a multiple of its target.
pub(super) const MAX_WAIT_TARGETS: f64 = 1.5;

impl Dispatcher {
    /// Returns the delay for a request that should wait although an endpoint is eligible.
    ///
    /// In a burst of the least urgent class the engines are full. A request that is sent to them
    /// then displaces others or is displaced, and delays requests that would still be on time. A
    /// request that would be late anyway therefore waits, within bounds, until an engine has room.
    pub(super) fn defer(
        &mut self,
        flight: &Flight,
        service: &Service,
        key: Key,
        estimate: &Estimate,
        now: Time,
    ) -> Option<Delay> {
        let model = service.model?;
        let target = flight.route.target;
        let waited = now.saturating_sub(flight.arrived);
        let may_wait = waited < target.mul_f64(MAX_WAIT_TARGETS) && flight.runs == 0;
        if !may_wait || self.fleet.is_leaving() || !self.is_least_urgent(flight) {
            return None;
        }
        let running = self.state(key)?.load().running;
        let expected = estimate.time_to_first;
        let cause = if f64::from(running) > f64::from(model.slots) * BATCH_FILL_FRACTION {
            WaitCause::Full
        } else if is_late_answer(target, waited, expected) {
            WaitCause::Late
        } else {
            return None;
        };
        // Random delays keep requests from retrying together at the same engine.
        let jitter = 1.0 + 2.0 * self.rng.random::<f64>();
        let regular = Delay::poll(cause);
        let pause = regular.time.max(target.mul_f64(DEFER_TARGET_FRACTION));
        Some(Delay {
            time: pause.mul_f64(jitter),
            running,
            expected,
            ..regular
        })
    }

    /// Returns whether a request's route is among the least urgent of its service's routes.
    ///
    /// It is not if all routes of the service have the same priority.
    fn is_least_urgent(&self, flight: &Flight) -> bool {
        let Some(config) = self.registry.config() else {
            return false;
        };
        let routes = config.routes_to(&flight.service);
        let priorities = routes
            .filter(|route| !route.public)
            .map(|route| route.priority);
        let (mut first, mut last) = (u8::MAX, u8::MIN);
        for priority in priorities {
            first = first.min(priority);
            last = last.max(priority);
        }
        let own = flight.route.priority;
        first < own && own >= last
    }

    /// Lets a request without an eligible endpoint wait, or refuses it after a bounded wait.
    ///
    /// If no endpoint can become eligible in time, for its region, or because it leaves and no other
    /// runs the stream's software version, the request is refused immediately.
    pub(super) fn wait_or_refuse(
        &mut self,
        flight: &mut Flight,
        exclusions: Vec<Exclusion>,
        now: Time,
    ) -> Placement {
        let fraction = if exclusions.contains(&Exclusion::Full) {
            PLACE_WAIT_TARGET_FRACTION
        } else if exclusions.contains(&Exclusion::RateLimited) {
            RATE_WAIT_TARGET_FRACTION
        } else {
            WAIT_TARGET_FRACTION
        };
        let max_wait = flight.route.target.mul_f64(fraction).max(MIN_WAIT);
        let since = *flight.waiting_since.get_or_insert(now);
        let is_hopeless = !exclusions.is_empty()
            && exclusions.iter().all(|exclusion| lasts(*exclusion, flight))
            && !self.may_list_version(flight, now);
        let waited = now.saturating_sub(since);
        let left = max_wait.min(flight.time_left(now)).saturating_sub(waited);
        let pause = self.pause_left(flight, &exclusions, now);
        if !is_hopeless && left > pause.unwrap_or_default() {
            return Placement::Wait(Delay::poll(WaitCause::NoEndpoint));
        }
        let wait = self.retry_after(flight, now).max(pause.unwrap_or_default());
        Placement::Refuse(give_up(flight, Cause::NoEndpoint, Some(wait)), exclusions)
    }

    /// Returns the time until an endpoint accepts requests again, if all that could take a request
    /// have asked for none.
    fn pause_left(&self, flight: &Flight, exclusions: &[Exclusion], now: Time) -> Option<Duration> {
        let usable = |exclusion: &Exclusion| {
            matches!(
                exclusion,
                Exclusion::Tried
                    | Exclusion::Resting
                    | Exclusion::Detour
                    | Exclusion::Cold
                    | Exclusion::ColdElsewhere
                    | Exclusion::RateLimited
                    | Exclusion::Full
            )
        };
        if exclusions.iter().any(usable) {
            return None;
        }
        let paused = self
            .endpoints_of(&flight.service)
            .filter(|state| self.admits(state, flight, now) == Err(Exclusion::RetryAfter));
        paused.filter_map(|state| state.pause_left(now)).min()
    }

    /// Returns a random time between two thirds of `most` and `most`, so that callers do not retry
    /// together.
    pub(super) fn random_upper_third(&mut self, most: Duration) -> Duration {
        most.mul_f64(1.0 - self.rng.random::<f64>() / 3.0)
    }

    /// Returns a random retry delay over the time in which endpoints usually recover.
    ///
    /// It is limited to the delays that callers respect.
    pub(super) fn retry_after(&mut self, flight: &Flight, now: Time) -> Duration {
        let most = flight
            .time_left(now)
            .mul_f64(RETRY_AFTER_FRACTION)
            .min(RETRY_AFTER_BOUNDS.1);
        let least = RETRY_AFTER_BOUNDS.0.min(most);
        least + most.saturating_sub(least).mul_f64(self.rng.random::<f64>())
    }
}

/// Returns whether an answer that is expected after a time will be late, and the wait is not all of it.
pub(super) fn is_late_answer(target: Duration, waited: Duration, expected: Duration) -> bool {
    waited + expected > target && expected > target.mul_f64(LATE_ANSWER_FRACTION)
}

/// Returns whether a reason excludes an endpoint for as long as a request could wait.
///
/// An endpoint that leaves is replaced, but perhaps by one of another software version.
fn lasts(exclusion: Exclusion, flight: &Flight) -> bool {
    match exclusion {
        Exclusion::Region | Exclusion::Version => true,
        Exclusion::Draining | Exclusion::Departing => flight.software.is_some(),
        _ => false,
    }
}

/// Returns the refusal that ends a request, with the verdict that follows from its runs.
pub(super) fn give_up(flight: &Flight, cause: Cause, wait: Option<Duration>) -> Refusal {
    if flight.runs > 0 {
        Refusal::may_have_run(cause)
    } else {
        Refusal::not_run(cause, wait)
    }
}
