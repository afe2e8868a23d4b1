//! Admission of requests, and where they go.

use std::time::Duration;

use rand::Rng;

use super::{
    Dispatcher,
    waiting::{BLIND, RETURN_PART, give_up},
};
use crate::{
    dispatch::{
        Key,
        attempt::{Attempt, Delay, Obstacle, Order, Placement},
        config::{Service, Share},
        endpoint::{Load, State},
        flight::{Ask, Flight},
        place,
        placement::{CachedTokens, Estimate, Exclusion, View, is_urgent},
        prefix::{Index, REFRESH},
        refusal::{Cause, Refusal},
        registry::Area,
        strikes,
    },
    id::{Fingerprint, Time},
};

/// Largest random addition to a score, so that nodes that see the same choose differently.
const JITTER: f64 = 8.0;

/// Answers are awaited this many times longer than expected before another endpoint is asked.
const HEDGE_FACTOR: f64 = 2.5;

/// Shortest and longest part of the target after which another endpoint is asked.
const HEDGE_PARTS: (f64, f64) = (0.4, 0.65);

impl Dispatcher {
    /// Finds the route and the organisation of a request and decides whether it may be served.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn admit(
        &mut self,
        ask: Ask,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Result<Flight, Refusal> {
        let Some(config) = self.registry.config().cloned() else {
            let patience = ask.patience.unwrap_or(BLIND);
            let wait = self.spread(patience.mul_f64(RETURN_PART).min(BLIND));
            return Err(Refusal::not_run(Cause::Unconfigured, Some(wait)));
        };
        let refuse = |cause| Err(Refusal::not_run(cause, None));
        let Some(route) = config.route(&ask.host, &ask.path) else {
            return refuse(Cause::NoRoute);
        };
        let holder = ask.key.as_deref().and_then(|key| config.organisation(key));
        if holder.is_none() && !route.public && !config.organisations.is_empty() {
            return refuse(Cause::BadKey);
        }
        let organisation = if route.public { None } else { holder.cloned() };
        if self.strikes.count(fingerprint) >= strikes::LIMIT {
            return refuse(Cause::Quarantined);
        }
        let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
        let service = self.choose_service(&route.split);
        self.budget.note(&service, now);
        let rank = config.rank(route, organisation.as_deref());
        Ok(Flight {
            id: ask.id,
            rank,
            organisation,
            prompt: ask.prompt,
            fingerprint,
            until: now + patience,
            service,
            ..Flight::new(route.clone(), config.version, now)
        })
    }

    fn choose_service(&mut self, split: &[Share]) -> String {
        let total: u32 = split.iter().map(|share| share.weight).sum();
        let mut left = if total > 0 {
            self.rng.random_range(0..total)
        } else {
            0
        };
        for share in split {
            if left < share.weight {
                return share.service.clone();
            }
            left -= share.weight;
        }
        split
            .first()
            .map(|share| share.service.clone())
            .unwrap_or_default()
    }

    /// Decides what to do with a request now.
    pub fn place(&mut self, flight: &mut Flight, now: Time) -> Placement {
        if flight.left(now).is_zero() {
            return Placement::Refuse(give_up(flight, Cause::TimedOut, None), Vec::new());
        }
        let Some(config) = self.registry.config().cloned() else {
            return Placement::Wait(Delay::short(Obstacle::Unconfigured));
        };
        let unknown = Service::default();
        let service = config.service(&flight.service).unwrap_or(&unknown);
        let (ranked, mut bars) = self.rank(flight, service, now);
        if let Some((key, estimate)) = ranked.first()
            && let Some(delay) = self.defer(flight, service, *key, estimate, now)
        {
            return Placement::Wait(delay);
        }
        for (key, estimate) in ranked {
            match self.take(key, service, now) {
                Ok(()) => return Placement::Send(self.send(key, estimate, flight, service, now)),
                Err(bar) => bars.push(bar),
            }
        }
        self.hold(flight, bars, now)
    }

    /// Returns whether an endpoint may take a request, apart from how cold it is.
    ///
    /// # Errors
    /// Why it may not.
    pub(super) fn admits(&self, state: &State, flight: &Flight) -> Result<(), Exclusion> {
        let info = &state.info;
        let closed = self
            .registry
            .closed()
            .binary_search(&info.data_centre)
            .is_ok();
        let bars = [
            (info.service != flight.service, Exclusion::Service),
            (!flight.may_run_in(&state.region), Exclusion::Region),
            (closed, Exclusion::Closed),
            (info.draining, Exclusion::Draining),
            (flight.tried.contains(&state.key), Exclusion::Tried),
            (state.is_in_backoff(), Exclusion::Resting),
        ];
        match bars.iter().find(|(barred, _)| *barred) {
            Some((_, bar)) => Err(*bar),
            None => Ok(()),
        }
    }

    /// Returns what each endpoint holds of a prompt's beginning.
    fn held(&self, flight: &Flight, now: Time) -> Vec<CachedTokens> {
        let held = |state: &State| {
            let mut held = CachedTokens::default();
            for part in &flight.prompt.shared {
                let Some(age) = self.prefixes.age(part.prefix, state.key, now) else {
                    break;
                };
                if held.read == held.sent && Index::is_read(age) {
                    held.read = part.tokens;
                }
                held.sent = part.tokens;
            }
            held
        };
        self.states.iter().map(held).collect()
    }

    /// Returns how many tokens of a prompt's beginning were used anywhere lately.
    fn recent(&self, flight: &Flight, now: Time) -> u32 {
        let lately = |at: Time| now.saturating_sub(at) < self.options.reuse + REFRESH;
        let mut parts = flight.prompt.shared.iter().rev();
        let recent = parts.find(|part| self.prefixes.last_use(part.prefix).is_some_and(lately));
        recent.map_or(0, |part| part.tokens)
    }

    fn usual_pace(&self, service: &str) -> f64 {
        let mut paces: Vec<f64> = self.peers(service).map(State::slowdown).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied().unwrap_or(1.0)
    }

    /// Returns the endpoints of a service.
    pub(super) fn peers(&self, service: &str) -> impl Iterator<Item = &State> {
        self.states
            .iter()
            .filter(move |state| state.info.service == service)
    }

    /// Returns what each endpoint of a request's service would do for it, or why it may not take it.
    fn estimates(
        &self,
        flight: &Flight,
        service: &Service,
        now: Time,
    ) -> Vec<(&State, Result<Estimate, Exclusion>)> {
        let held = self.held(flight, now);
        let name = &flight.service;
        let view = View {
            states: &self.states,
            cached: &held,
            most_cached: held
                .iter()
                .copied()
                .fold(CachedTokens::default(), CachedTokens::max),
            recent: self.recent(flight, now),
            max_token_gap: self.gap(name),
            gap_sensitive: self.is_sensitive(&flight.route, name),
            data_centre: &self.options.place,
            region: &self.region,
            plain_ms: self.plain.value(name),
            whole_answer_ms: self.whole.value(name),
            median_slowdown: self.usual_pace(name),
            now,
        };
        let estimate = |state| {
            self.admits(state, flight)
                .map(|()| view.estimate(state, flight, service))
        };
        self.peers(name)
            .map(|state| (state, estimate(state)))
            .collect()
    }

    /// Returns the endpoints that may take a request, best first, and what bars the others.
    fn rank(
        &mut self,
        flight: &Flight,
        service: &Service,
        now: Time,
    ) -> (Vec<(Key, Estimate)>, Vec<Exclusion>) {
        let mut ranked = Vec::new();
        let mut bars = Vec::new();
        for (state, estimate) in self.estimates(flight, service, now) {
            match estimate {
                Ok(estimate) => ranked.push((state.key, estimate)),
                Err(bar) => bars.push(bar),
            }
        }
        for (_, estimate) in &mut ranked {
            estimate.score += JITTER * self.rng.random::<f64>();
        }
        ranked.sort_by(|(_, one), (_, other)| one.score.total_cmp(&other.score));
        (ranked, bars)
    }

    /// Returns what each endpoint would do for a request on a route, or why it may not take it.
    ///
    /// Nothing is returned if no route has the name.
    #[must_use]
    pub fn explain(
        &self,
        route: &str,
        tokens: u32,
        now: Time,
    ) -> Option<Vec<(String, Result<Estimate, Exclusion>)>> {
        let config = self.registry.config()?;
        let route = config.routes.iter().find(|each| each.name == route)?;
        let service = route.split.first()?.service.clone();
        let mut flight = Flight::new(route.clone(), config.version, now);
        flight.prompt.tokens = tokens;
        let unknown = Service::default();
        let kind = config.service(&service).unwrap_or(&unknown);
        flight.service = service;
        let estimates = self.estimates(&flight, kind, now).into_iter();
        let named = estimates.map(|(state, estimate)| (state.info.id.clone(), estimate));
        Some(named.collect())
    }

    /// A cold endpoint takes requests from a few nodes of its data centre, at a part of its rate.
    ///
    /// Each of them may have saved up one request. Two sets of nodes that do not hear each other, and
    /// both believe to be the senders, stay within one and a half times the rate and five together.
    fn take(&mut self, key: Key, service: &Service, now: Time) -> Result<(), Exclusion> {
        /// Part of the rate that is given out.
        const PART: f64 = 0.6;
        /// Senders of an endpoint with the smallest rate, and for each request a second more.
        const SENDERS: (f64, f64) = (2.5, 0.15);
        let at = self.find(key).map_err(|_| Exclusion::Resting)?;
        let state = &self.states[at];
        let rate = service.cold_rate;
        if rate <= 0.0 || !state.is_cold(now) {
            return Ok(());
        }
        let here = place(&self.options.place);
        let senders = (SENDERS.0 + SENDERS.1 * rate) as usize;
        if state.info.data_centre != self.options.place
            || self.fleet.is_isolated(now)
            || !self.fleet.is_among_first(senders, key, now)
        {
            return Err(Exclusion::ColdElsewhere);
        }
        let senders = senders.min(self.fleet.live_nodes(here, now).len()).max(1);
        let share = rate * PART / senders as f64;
        let taken = self.states[at].admit_while_cold(share, now);
        taken.map_err(|_| Exclusion::Cold)
    }

    fn send(
        &mut self,
        key: Key,
        estimate: Estimate,
        flight: &mut Flight,
        service: &Service,
        now: Time,
    ) -> Order {
        flight.waiting = None;
        flight.tried.push(key);
        if service.model.is_some() {
            for part in &flight.prompt.shared {
                self.prefixes.record_use(part.prefix, key, now);
                if self.prefixes.mark_announced_if_due(part.prefix, key, now) {
                    self.fleet.announce_prefix(part.prefix, key, true, now);
                }
            }
        }
        self.fleet.mark_changed();
        let source = estimate.source.and_then(|source| self.state(source));
        let source = source.map(|state| state.info.address);
        let hedge = hedge(flight, &estimate);
        let roster = self.registry.revision(Area::Roster).changed;
        let roster_age = self.registry.age(Area::Roster, now);
        let load = Load {
            running: 1,
            unread: estimate.unread,
            urgent: u32::from(is_urgent(flight)),
        };
        let state = self
            .state_mut(key)
            .expect("only known endpoints are ranked");
        let before = state.load();
        state.own_load.add(load);
        Order {
            attempt: Attempt {
                key,
                load,
                expected: estimate.time_to_first,
                sent: now,
            },
            address: state.info.address,
            instance: state.info.id.clone(),
            source,
            rank: flight.rank,
            hedge,
            estimate,
            load: before,
            roster,
            roster_age,
        }
    }
}

/// Returns the time after which a repeatable request is better asked elsewhere.
fn hedge(flight: &Flight, estimate: &Estimate) -> Option<Duration> {
    let target = flight.route.target;
    let expected = estimate.time_to_first.mul_f64(HEDGE_FACTOR);
    let (least, most) = (target.mul_f64(HEDGE_PARTS.0), target.mul_f64(HEDGE_PARTS.1));
    let may = flight.may_run_after(flight.runs + 1);
    may.then(|| expected.clamp(least, most))
}
