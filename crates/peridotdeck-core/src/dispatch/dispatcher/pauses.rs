//! How long streams pause, and which of them are late beside long prompts.

use std::time::Duration;

use super::Dispatcher;
use crate::dispatch::config::Route;

impl Dispatcher {
    /// Learns a pause of a stream at one endpoint if it is longer than usual, and returns whether it
    /// is; the stream counts once, and at its end otherwise.
    ///
    /// The running value approaches the longest pause that nine of ten streams stay within.
    pub fn record_pause(&mut self, service: &str, pause: Duration) -> bool {
        /// Change for a stream with a longer pause, in milliseconds.
        const UP: f64 = 9.0;
        let value = self.pauses.value_mut(service);
        let longer = pause.as_secs_f64() * 1e3 > *value;
        if longer {
            *value += UP;
        }
        longer
    }

    /// Learns from a whole stream at one endpoint that had no long pause.
    pub fn record_steady_stream(&mut self, service: &str) {
        /// Change for such a stream, in milliseconds.
        const DOWN: f64 = 1.0;
        let value = self.pauses.value_mut(service);
        *value = (*value - DOWN).max(0.0);
    }

    /// Returns whether streams of a route are late beside long prompts: the pauses that those cause
    /// exceed what the route allows.
    pub(super) fn is_sensitive(&self, route: &Route, service: &str) -> bool {
        /// Part of the allowed pause that leaves room for the way.
        const ROOM: f64 = 0.85;
        let pause = self.pauses.value(service);
        route
            .gap
            .is_some_and(|gap| pause > gap.as_secs_f64() * 1e3 * ROOM)
    }

    /// Returns the shortest pause that is allowed to such streams of a service, if there are any.
    pub(super) fn gap(&self, service: &str) -> Option<Duration> {
        let routes = self.registry.config()?.routes_to(service);
        routes
            .filter(|route| self.is_sensitive(route, service))
            .filter_map(|route| route.gap)
            .min()
    }
}
