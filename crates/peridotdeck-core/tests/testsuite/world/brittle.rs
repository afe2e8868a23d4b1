//! Endpoints that reject what they have no room for, and fall over if they reject too much.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    attempt::{Attempt, End},
    flight::Flight,
};

use super::{World, paths::Event};
use crate::dispatch::ms;

/// Requests that an endpoint runs at once, as the configuration says.
pub const SLOTS: usize = 64;

/// Time to a rejection.
const REJECTION: Duration = ms(2);

impl World {
    /// Rejects an attempt if its endpoint has no room; returns whether it did.
    pub(super) fn reject_if_full(
        &mut self,
        node: usize,
        flight: &Flight,
        attempt: &Attempt,
    ) -> bool {
        let key = attempt.key();
        let open = self.open.iter().filter(|open| open.attempt.key() == key);
        let running = open.count();
        let mut endpoints = self.endpoints.iter_mut();
        let endpoint = endpoints.find(|one| one.info.key() == key);
        let endpoint = endpoint.expect("only listed endpoints are used");
        if running < SLOTS.saturating_add(endpoint.queue) {
            return false;
        }
        let now = self.now;
        let is_recent = |at: &Duration| now.saturating_sub(*at) < ms(1_000);
        endpoint.rejected.push(now);
        let recent = endpoint.rejected.iter().filter(|at| is_recent(at)).count();
        let survives = endpoint.brittle.map_or(usize::MAX, |most| most as usize);
        if recent > survives && !endpoint.falls.last().is_some_and(is_recent) {
            endpoint.falls.push(now);
        }
        let event = Event::Failed(Box::new((flight.clone(), attempt.clone(), End::Rejected)));
        self.events.push((now + REJECTION, node, event));
        true
    }

    /// Returns the number of falls at all endpoints since a time.
    pub fn falls(&self, from: Duration) -> usize {
        let falls = self.endpoints.iter().flat_map(|endpoint| &endpoint.falls);
        falls.filter(|at| **at >= from).count()
    }
}
