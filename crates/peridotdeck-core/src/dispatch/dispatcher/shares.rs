//! Room that is too small: which requests get it now, which wait, and which are refused.
//!
//! See `docs/design/SHARES.md`.

use std::time::Duration;

use super::{
    Dispatcher,
    waiting::{
        DEFER_TARGET_FRACTION, MAX_WAIT_TARGETS, RETRY_AFTER_BOUNDS, RETRY_AFTER_FRACTION,
        WAIT_TARGET_FRACTION, give_up, is_late_answer,
    },
};
use crate::{
    dispatch::{
        Key,
        attempt::{Attempt, Delay, End, Placement, WaitCause},
        config::Service,
        endpoint::{Load, State},
        feature::Feature,
        flight::Flight,
        placement::Estimate,
        refusal::Cause,
        share::{
            self, Room,
            queue::{Order, Queue},
            room::Need,
        },
    },
    id::{Fingerprint, Time},
};

/// Longest time between two looks for room, as a fraction of the target.
const MAX_LOOK_TARGET_FRACTION: f64 = 0.1;

/// Part of a caller's time without the answer itself for which a request waits at most.
const MAX_WAIT_FRACTION: f64 = 0.75;

/// Part of a caller's time after which a request that waits is not refused any more.
///
/// Its caller could not use a return by then.
const MAX_REFUSAL_FRACTION: f64 = 0.25;

/// Share of failed attempts from which the room of an endpoint does not count beside sound ones.
///
/// It would be empty, and so draw all work, just because it fails.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Part of the target within which an endpoint with room is preferred to a better one without.
const ON_TIME_FRACTION: f64 = 0.6;

impl Dispatcher {
    /// Returns what this node has learnt of the requests that compete for room.
    #[must_use]
    pub fn shares(&self) -> &share::Table {
        &self.shares
    }

    fn has_shares(&self) -> bool {
        self.options.features.has(Feature::Shares)
    }

    /// Counts a request that has been admitted; returns whether it repeats a refused or failed one.
    pub(super) fn note_arrival(
        &mut self,
        service: &str,
        rank: u8,
        fingerprint: Fingerprint,
        now: Time,
    ) -> bool {
        if !self.has_shares() {
            return false;
        }
        self.shares.demand.arrive(service, rank, now);
        self.shares.repeats.contains(fingerprint, now)
    }

    /// Records how long a complete answer held its slot, and the tokens that its organisation has used.
    pub(super) fn note_end(&mut self, attempt: &Attempt, end: End, flight: &Flight, now: Time) {
        if !self.has_shares() || end != End::Finished {
            return;
        }
        let hold = now.saturating_sub(attempt.sent);
        let demand = &mut self.shares.demand;
        demand.record_hold(&flight.service, flight.rank, hold);
        let tokens = flight.prompt.tokens.saturating_add(flight.prompt.output);
        let usage = &mut self.shares.usage;
        usage.add(flight.organisation_name(), tokens, now);
    }

    /// Remembers a request that gets no answer, since its caller may repeat it.
    pub(super) fn note_unserved(&mut self, flight: &Flight, now: Time) {
        if self.has_shares() {
            self.shares.repeats.record(flight.fingerprint, now);
            self.end_wait(flight);
        }
    }

    /// Gives up the place of a request among those that wait for room.
    pub fn end_wait(&mut self, flight: &Flight) {
        if let Some(ticket) = flight.ticket {
            self.shares.queue.remove(ticket);
        }
    }

    /// Keeps only endpoints with room for a request's class, or lets it wait, or refuses it.
    ///
    /// Returns nothing if the request may be sent to the best of the endpoints that are left.
    pub(super) fn share_room(
        &mut self,
        flight: &mut Flight,
        service: &Service,
        ranked: &mut Vec<(Key, Estimate)>,
        now: Time,
    ) -> Option<Placement> {
        if ranked.is_empty() || flight.runs > 0 || self.fleet.is_leaving() {
            return None;
        }
        // Only batching engines displace what is less urgent.
        service.model?;
        let (first, last) = self.ranks(flight);
        let is_hot = self.shares.usage.is_hot(flight.organisation_name(), now);
        let need = self.need(flight, is_hot, now);
        let mut room = Room::default();
        let mut has_room = Vec::with_capacity(ranked.len());
        let is_sound =
            |state: &State| !state.is_silent(now) && state.failure_rate(now) < MAX_FAILURE_RATE;
        let mut states = ranked.iter().filter_map(|(key, _)| self.state(*key));
        let has_sound = states.any(is_sound);
        for (key, _) in ranked.iter() {
            let found = self.state(*key);
            let found = found.filter(|state| !has_sound || is_sound(state));
            has_room.push(found.is_some_and(|state| add_room(&mut room, state, service, need)));
        }
        if flight.rank <= first && !is_hot {
            prefer_room(flight, ranked, &has_room);
            return None;
        }
        let order = Order {
            rank: flight.rank,
            is_postponed: (is_hot || flight.repeats) && !is_aged(flight, now),
            arrived: flight.arrived,
        };
        let queue = &mut self.shares.queue;
        let ahead = queue.ahead(&flight.service, order, flight.ticket, now);
        room.ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.shares.kept = room.kept;
        let is_due = room.free > room.ahead || (room.free > 0 && is_aged(flight, now));
        let waited = now.saturating_sub(flight.arrived);
        if is_due {
            let mut has_room = has_room.iter();
            let (mut open, full): (Vec<_>, Vec<_>) = ranked
                .drain(..)
                .partition(|_| has_room.next() == Some(&true));
            // What has room may be cold or in need, and take nothing.
            if waited >= flight.route.target.mul_f64(WAIT_TARGET_FRACTION) {
                open.extend(full);
            }
            *ranked = open;
            let may_be_late =
                first < flight.rank && flight.rank >= last && waited < self.longest_wait(flight);
            if !may_be_late || !is_late(flight, &ranked[0].1, waited) {
                return None;
            }
            let look = self.look(flight, order, WaitCause::Late, None, room, now);
            return Some(Placement::Wait(look));
        }
        // The engine displaces a less urgent request rather than let this one be late.
        if flight.rank < last && waited >= flight.route.target.mul_f64(WAIT_TARGET_FRACTION) {
            return None;
        }
        let hold = self.shares.demand.hold(&flight.service, flight.rank);
        let count = room.ahead.saturating_add(1);
        // Of the need of the whole service, a request competes with what falls to its endpoints.
        let part = (ranked.len() as f64 / need.endpoints.max(1.0)).min(1.0);
        let need_here = Need {
            all: need.all * part,
            ..need
        };
        let wait = room.expected_wait(need_here, hold, count);
        let may_refuse = flight.rank >= last && !room.is_half_free();
        if may_refuse && self.is_in_vain(flight, wait, now) {
            let wait = self.return_time(flight, wait.unwrap_or_default(), now);
            let refusal = give_up(flight, Cause::NoRoom, Some(wait));
            return Some(Placement::Refuse(refusal, Vec::new()));
        }
        if waited >= self.longest_wait(flight) {
            return None;
        }
        let cause = if room.free > 0 {
            WaitCause::Turn
        } else {
            WaitCause::Full
        };
        let look = self.look(flight, order, cause, wait, room, now);
        Some(Placement::Wait(look))
    }

    /// Returns the most and the least urgent rank of a service's routes.
    fn ranks(&self, flight: &Flight) -> (u8, u8) {
        let Some(config) = self.registry.config() else {
            return (flight.rank, flight.rank);
        };
        let routes = config.routes_to(&flight.service);
        let ranks = routes
            .filter(|route| !route.public)
            .map(|route| config.rank(route, None));
        ranks.fold((flight.rank, flight.rank), |(first, last), rank| {
            (first.min(rank), last.max(rank))
        })
    }

    /// Returns the slots that the classes above a request need in the whole fleet.
    ///
    /// To a hot organisation the others of its class are above it as well.
    fn need(&self, flight: &Flight, is_hot: bool, now: Time) -> Need {
        let demand = &self.shares.demand;
        let service = &flight.service;
        let mut own_need = demand.need_above(service, flight.rank, now);
        if is_hot {
            let others = 1.0
                - self
                    .shares
                    .usage
                    .recent_part(flight.organisation_name(), now);
            own_need += others * demand.need(service, flight.rank, now);
        }
        let mut count = 0_u32;
        let (mut own, mut all) = (Load::default(), Load::default());
        for state in self.endpoints_of(service) {
            count += 1;
            own.add(state.own_load);
            all.add(state.load());
        }
        // The fleet needs as many times more as it has running. A node has its equal part at least.
        let nodes = self.fleet.recent_size(self.options.regions.len(), now);
        let scale = f64::from(all.running.max(1)) / f64::from(own.running.max(1));
        let scale = scale.min(nodes as f64).max(1.0);
        let urgent = if flight.urgent {
            0.0
        } else {
            f64::from(all.urgent)
        };
        Need {
            all: (own_need * scale).max(urgent),
            urgent,
            endpoints: f64::from(count),
            own_part: 1.0 / scale,
        }
    }

    /// Returns whether a request cannot be served before its deadline, as far as is known.
    fn is_in_vain(&self, flight: &Flight, wait: Option<Duration>, now: Time) -> bool {
        let waited = now.saturating_sub(flight.arrived);
        let total = flight.deadline.saturating_sub(flight.arrived);
        let may_return = waited <= total.mul_f64(MAX_REFUSAL_FRACTION);
        may_return && wait.is_some_and(|wait| waited + wait > self.longest_wait(flight))
    }

    /// Returns the time for which a request waits at most, so that it can still be served.
    fn longest_wait(&self, flight: &Flight) -> Duration {
        let hold = self.shares.demand.hold(&flight.service, flight.rank);
        let total = flight.deadline.saturating_sub(flight.arrived);
        total.saturating_sub(hold).mul_f64(MAX_WAIT_FRACTION)
    }

    /// Returns a random delay after which there is probably room for a refused request.
    fn return_time(&mut self, flight: &Flight, wait: Duration, now: Time) -> Duration {
        let most = flight.time_left(now).mul_f64(RETRY_AFTER_FRACTION);
        // The upper third of one and a half times the wait begins at the wait.
        let span = wait
            .mul_f64(1.5)
            .clamp(RETRY_AFTER_BOUNDS.0.min(most), most);
        self.random_upper_third(span)
    }

    /// Puts a request at its place in the queue; returns the delay until it looks for room again.
    fn look(
        &mut self,
        flight: &mut Flight,
        order: Order,
        cause: WaitCause,
        wait: Option<Duration>,
        room: Room,
        now: Time,
    ) -> Delay {
        let target = flight.route.target;
        let regular = Delay::poll(cause);
        let shortest = regular.time.max(target.mul_f64(DEFER_TARGET_FRACTION));
        let longest = shortest.max(target.mul_f64(MAX_LOOK_TARGET_FRACTION));
        let expected = wait.unwrap_or_default();
        let time = (expected / 2).clamp(shortest, longest);
        let queue = &mut self.shares.queue;
        let ticket = *flight.ticket.get_or_insert_with(|| queue.ticket());
        if cause == WaitCause::Late {
            // It declines the room that there is, which others can use.
            queue.remove(ticket);
        } else {
            queue.wait(&flight.service, order, ticket, Queue::lease(time, now));
        }
        Delay {
            time,
            running: room.running,
            expected,
            room: Some(room),
            ..regular
        }
    }
}

/// Returns whether a request has waited for its target, after which it takes any free room.
fn is_aged(flight: &Flight, now: Time) -> bool {
    now.saturating_sub(flight.arrived) >= flight.route.target
}

/// Adds an endpoint to the room for a request; returns whether it has any.
fn add_room(room: &mut Room, state: &State, service: &Service, need: Need) -> bool {
    let slots = service.slots(state.info.slots);
    let load = state.load();
    room.add(slots, load.running, need.kept(load.urgent, slots))
}

/// Returns whether a request would be late at the best endpoint, and delay others that need not be.
fn is_late(flight: &Flight, estimate: &Estimate, waited: Duration) -> bool {
    let target = flight.route.target;
    waited < target.mul_f64(MAX_WAIT_TARGETS)
        && is_late_answer(target, waited, estimate.time_to_first)
}

/// Moves endpoints with room to the front, if the request is on time there.
///
/// An urgent request that finds a batch full displaces another one.
fn prefer_room(flight: &Flight, ranked: &mut Vec<(Key, Estimate)>, has_room: &[bool]) {
    let limit = flight.route.target.mul_f64(ON_TIME_FRACTION);
    let mut has_room = has_room.iter();
    let is_preferred = |(_, estimate): &mut (Key, Estimate)| {
        has_room.next() == Some(&true) && estimate.time_to_first <= limit
    };
    let mut preferred: Vec<(Key, Estimate)> = ranked.extract_if(.., is_preferred).collect();
    preferred.append(ranked);
    *ranked = preferred;
}
