//! Endpoints that long prompts leave to streams which are late beside them.

use super::Dispatcher;
use crate::dispatch::{Key, config::Route};

/// Odd factor that puts keys into an order of their own.
const SHUFFLE: Key = 0x9e37_79b1;

impl Dispatcher {
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

    /// Returns the endpoints of each data centre that long prompts should leave to sensitive
    /// streams, if there are any.
    ///
    /// All nodes choose the same ones, because they know the same endpoints.
    pub(super) fn quiet(&self, service: &str) -> Vec<Key> {
        /// Part of a data centre's endpoints.
        const PART: f64 = 0.34;
        let Some(config) = self.registry.config() else {
            return Vec::new();
        };
        let uses = |route: &Route| route.split.iter().any(|share| share.service == service);
        let mut routes = config.routes.iter().filter(|route| uses(route));
        if !routes.any(|route| self.is_sensitive(route, service)) {
            return Vec::new();
        }
        let mut quiet = Vec::new();
        for (place, _) in &self.options.regions {
            let peers = self.peers(service);
            let here = peers.filter(|state| state.info.place == *place);
            let mut keys: Vec<Key> = here.map(|state| state.key).collect();
            let count = (keys.len() as f64 * PART) as usize;
            keys.sort_by_key(|key| key.wrapping_mul(SHUFFLE));
            quiet.extend(keys.into_iter().take(count));
        }
        quiet.sort_unstable();
        quiet
    }
}
