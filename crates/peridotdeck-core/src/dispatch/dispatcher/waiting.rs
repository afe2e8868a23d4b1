//! Who waits at its node, how long, and when a refused caller may return.

use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use crate::{
    dispatch::{
        Key,
        attempt::{Delay, Obstacle, Placement},
        config::Service,
        flight::Flight,
        placement::{Estimate, Exclusion},
        refusal::{Cause, Refusal},
    },
    id::Time,
};

/// Part of the target for which a request waits for an endpoint before it is refused.
const HOLD_PART: f64 = 0.3;

/// Shortest time for which a request waits for an endpoint.
const HOLD: Duration = Duration::from_millis(100);

/// Shortest and longest time that a refused caller is told to stay away.
const RETURN: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(2));

/// Longest time that callers are told to stay away from a node without a configuration: what
/// publishes it is down, and nobody knows for how long.
pub(super) const BLIND: Duration = Duration::from_secs(4);

/// Part of the caller's time that it may be told to stay away: callers ignore longer ones.
pub(super) const RETURN_PART: f64 = 0.3;

/// Part of an engine's batch that requests of the least urgent class may fill: those that are more
/// urgent would displace them, and what they have read would be read again.
const BATCH_PART: f64 = 0.9;

/// Part of the target within which a request that is late anyway should be answered once it is sent.
const SPARE_PART: f64 = 0.5;

/// Targets for which a request of the least urgent class waits at most.
const PATIENCE: f64 = 1.5;

impl Dispatcher {
    /// Returns how long a request should wait here although an endpoint may take it, if it should.
    ///
    /// In a burst of the least urgent class the engines are full. What is sent to them then displaces
    /// others or is displaced, and makes those late that would still be on time. What would be late
    /// anyway waits, within bounds, until an engine has room.
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
        let may_wait = waited < target.mul_f64(PATIENCE) && flight.runs == 0;
        if !may_wait || self.fleet.is_leaving() || !self.yields(flight) {
            return None;
        }
        let running = self.state(key)?.load().running;
        let expected = estimate.time_to_first;
        let cause = if f64::from(running) > f64::from(model.slots) * BATCH_PART {
            Obstacle::Full
        } else if waited + expected > target && expected > target.mul_f64(SPARE_PART) {
            Obstacle::Late
        } else {
            return None;
        };
        // Requests that look again at different times do not meet at the same engine.
        let stretch = 1.0 + 2.0 * self.rng.random::<f64>();
        let short = Delay::short(cause);
        Some(Delay {
            time: short.time.mul_f64(stretch),
            running,
            expected,
            ..short
        })
    }

    /// Returns whether a request's route is the least urgent of several of its service.
    fn yields(&self, flight: &Flight) -> bool {
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

    /// Waits for an endpoint that may take a request, or refuses it after a while.
    pub(super) fn hold(
        &mut self,
        flight: &mut Flight,
        bars: Vec<Exclusion>,
        now: Time,
    ) -> Placement {
        let target = flight.route.target.mul_f64(HOLD_PART).max(HOLD);
        let since = *flight.waiting.get_or_insert(now);
        let hopeless = bars.iter().all(|bar| *bar == Exclusion::Region) && !bars.is_empty();
        if !hopeless && now.saturating_sub(since) < target.min(flight.left(now)) {
            return Placement::Wait(Delay::short(Obstacle::NoEndpoint));
        }
        let wait = self.return_time(flight, now);
        Placement::Refuse(give_up(flight, Cause::NoEndpoint, Some(wait)), bars)
    }

    /// Returns a time in the last third up to `most`, so that callers do not return together.
    pub(super) fn spread(&mut self, most: Duration) -> Duration {
        most.mul_f64(1.0 - self.rng.random::<f64>() / 3.0)
    }

    /// Returns spread over the time in which endpoints come back, within what callers heed.
    pub(super) fn return_time(&mut self, flight: &Flight, now: Time) -> Duration {
        let most = flight.left(now).mul_f64(RETURN_PART).min(RETURN.1);
        let least = RETURN.0.min(most);
        least + most.saturating_sub(least).mul_f64(self.rng.random::<f64>())
    }
}

/// Ends a flight with what is true of it.
pub(super) fn give_up(flight: &Flight, cause: Cause, wait: Option<Duration>) -> Refusal {
    if flight.runs > 0 {
        Refusal::may_have_run(cause)
    } else {
        Refusal::not_run(cause, wait)
    }
}
