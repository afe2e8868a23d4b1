//! Pauses of streams, and the routes whose streams miss their target while long prompts are read.

use std::time::Duration;

use super::Dispatcher;
use crate::dispatch::config::Route;

impl Dispatcher {
    /// Records a pause of a stream at one endpoint if it is longer than usual.
    ///
    /// Returns whether it is. Each stream counts once: at its first long pause, or at its end
    /// through [`Self::record_steady_stream`].
    ///
    /// The running value approaches the longest pause that nine of ten streams stay within.
    pub fn record_pause(&mut self, service: &str, pause: Duration) -> bool {
        /// Increase of the running value for a stream with a longer pause, in milliseconds.
        const INCREASE_MS: f64 = 9.0;
        let value = self.pause_ms.value_mut(service);
        let longer = pause.as_secs_f64() * 1e3 > *value;
        if longer {
            *value += INCREASE_MS;
        }
        longer
    }

    /// Records a complete stream at one endpoint that had no long pause.
    pub fn record_steady_stream(&mut self, service: &str) {
        /// Decrease of the running value for a stream without a long pause, in milliseconds.
        const DECREASE_MS: f64 = 1.0;
        let value = self.pause_ms.value_mut(service);
        *value = (*value - DECREASE_MS).max(0.0);
    }

    /// Returns whether streams of a route miss their target while long prompts are read.
    ///
    /// They do if the pauses that the prompts cause exceed the pause that the route allows.
    pub(super) fn is_sensitive(&self, route: &Route, service: &str) -> bool {
        /// Fraction of the allowed pause that is compared, which leaves time for the network.
        const USABLE_FRACTION: f64 = 0.85;
        let pause = self.pause_ms.value(service);
        route
            .gap
            .is_some_and(|gap| pause > gap.as_secs_f64() * 1e3 * USABLE_FRACTION)
    }

    /// Returns the shortest allowed pause among the sensitive routes of a service, if any.
    pub(super) fn shortest_sensitive_gap(&self, service: &str) -> Option<Duration> {
        let routes = self.registry.config()?.routes_to(service);
        routes
            .filter(|route| self.is_sensitive(route, service))
            .filter_map(|route| route.gap)
            .min()
    }
}
