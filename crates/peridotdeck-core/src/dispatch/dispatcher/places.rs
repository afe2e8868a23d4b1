//! Places at brittle endpoints: those that this node holds, and those that it grants to others.
//!
//! Belief, owners, demands and messages are those of rates; see [`crate::dispatch::rate`].

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Dispatcher, rates::Grant};
use crate::{
    dispatch::{Key, Node, attempt::End, endpoint::State, rate::Demand},
    id::Time,
};

/// Largest fraction of a brittle endpoint's room that is granted while nodes of its data centre are
/// out of touch, which may hold places or grant a tenth.
const INCOMPLETE_FRACTION: f64 = 0.88;

/// Shortest time between two reports of held places.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Returns whether a request of a rank needs no place at an endpoint, or may take one.
    pub(super) fn has_place(&self, key: Key, rank: u8, now: Time) -> bool {
        let entry = self.rates.get(key);
        let limited = entry.filter(|entry| entry.needs_place(now));
        limited.is_none_or(|entry| entry.places.admits(rank, now))
    }

    /// Keeps the place that a request has left at a brittle endpoint for the next one.
    ///
    /// Nothing is kept after a rejection, as there was no such place, nor without an owner in touch.
    pub(super) fn end_place(&mut self, key: Key, end: End, now: Time) {
        // Finding the owner takes a pass over the fleet, which attempts elsewhere need not pay for.
        if !self.rates.is_brittle(key) {
            return;
        }
        let owner = self
            .state(key)
            .and_then(|state| self.rate_owner(state, now));
        let Some(entry) = self.rates.brittle_mut(key) else {
            return;
        };
        if end == End::Rejected {
            entry.rejected += 1;
            self.require_places(key, now);
        } else if owner.is_some_and(|(_, fraction)| fraction > 0.0) {
            entry.places.release(now);
        }
    }

    /// Grants the places that are free at a brittle endpoint.
    pub(super) fn share_out_room(&mut self, key: Key, fraction: f64, now: Time) {
        let Some(state) = self.state(key) else {
            return;
        };
        let (slots, running) = (self.slots(state), state.own_load.running);
        let fraction = if self.fleet.is_complete(now) {
            fraction
        } else {
            fraction.min(INCOMPLETE_FRACTION)
        };
        let me = self.options.node;
        let Some(entry) = self.rates.brittle_mut(key) else {
            return;
        };
        let held = running.saturating_add(entry.places.unused(now));
        let rejected = std::mem::take(&mut entry.rejected);
        let seen = entry.seen;
        entry.room.report(me, held, seen, rejected, now);
        if let Some(demand) = entry.places.take_demand(now) {
            entry.room.demand(me, demand, now);
        }
        let nodes = entry.room.share_out(slots, fraction, now);
        for (node, number) in nodes {
            if node == me {
                entry.places.deposit(1, now);
                entry.seen = number;
            } else {
                self.grants.push(Grant {
                    receiver: node,
                    endpoint: key,
                    number: Some(number),
                });
            }
        }
    }

    /// Returns the number of requests that an endpoint runs at once.
    fn slots(&self, state: &State) -> u32 {
        let config = self.registry.config();
        let service = config.and_then(|config| config.service(&state.info.service));
        service.map_or(state.info.slots, |service| service.slots(state.info.slots))
    }

    /// Returns this node's report of the places that it holds at a brittle endpoint, with its demand,
    /// and the node that shares out the endpoint's room.
    pub(super) fn due_report(&mut self, key: Key, now: Time) -> Option<(Node, beat::Demand)> {
        if !self.rates.is_brittle(key) {
            return None;
        }
        let state = self.state(key)?;
        let running = state.own_load.running;
        let (owner, _) = self.rate_owner(state, now)?;
        if owner == self.options.node {
            return None;
        }
        let entry = self.rates.brittle_mut(key)?;
        let held = running.saturating_add(entry.places.unused(now));
        let demand = entry.places.take_demand(now);
        let is_early = |at: Time| now.saturating_sub(at) < REPORT_INTERVAL;
        let last = entry.reported;
        // Places that are free are reported at once, as other nodes may wait for them.
        let is_due = demand.is_some()
            || last.is_some_and(|(_, count)| count > held)
            || (last.is_none_or(|(at, _)| !is_early(at))
                && (held > 0 || last.is_some_and(|(_, count)| count > 0)));
        if !is_due {
            return None;
        }
        entry.reported = Some((now, held));
        let Demand { rank, count } = demand.unwrap_or(Demand {
            rank: u8::MAX,
            count: 0,
        });
        let report = beat::Demand {
            endpoint: key,
            rank,
            count,
            places: true,
            held,
            rejected: std::mem::take(&mut entry.rejected),
            seen: entry.seen,
        };
        Some((owner, report))
    }

    /// Requires places at once at all endpoints of a service, as a brittle one has rejected a request.
    ///
    /// A node that has just started has not heard of them, and would overfill one after the other.
    fn require_places(&mut self, key: Key, now: Time) {
        let Some(rejections) = self
            .rates
            .get(key)
            .and_then(|entry| entry.limit.terms.rejections)
        else {
            return;
        };
        let Some(service) = self.state(key).map(|state| state.info.service.clone()) else {
            return;
        };
        let keys: Vec<Key> = self.endpoints_of(&service).map(|state| state.key).collect();
        for key in keys {
            self.rates.require_places(key, rejections, now);
        }
    }

    /// Takes an endpoint that has just become known for brittle if others of its service are.
    pub(super) fn presume_terms(&mut self, key: Key, service: &str, now: Time) {
        let of_service = |key: Key| {
            let state = self.state(key);
            state.is_some_and(|state| state.info.service == service)
        };
        let rejections = self.rates.named().find_map(|entry| {
            let rejections = entry.limit.terms.rejections?;
            of_service(entry.endpoint).then_some(rejections)
        });
        if let Some(rejections) = rejections {
            self.rates.require_places(key, rejections, now);
        }
    }
}
