//! Admission of requests, and the choice of an endpoint for each.

use std::time::Duration;

use rand::Rng;

use super::{
    Dispatcher,
    waiting::{MAX_UNCONFIGURED_RETRY_AFTER, RETRY_AFTER_FRACTION, give_up},
};
use crate::{
    dispatch::{
        Key,
        attempt::{Assignment, Attempt, Delay, Placement, WaitCause},
        config::{Service, Share},
        data_centre,
        endpoint::{Load, State},
        flight::{DecodedRequest, Flight},
        key as endpoint_key,
        placement::{CachedTokens, Estimate, Exclusion, View},
        prefix::{Holding, Index, REFRESH},
        refusal::{Cause, Refusal},
    },
    id::{Fingerprint, Time},
};

/// Largest random addition to a score, so that nodes with the same view choose differently.
const MAX_SCORE_JITTER: f64 = 8.0;

/// Multiple of the expected time to an answer after which another endpoint is tried.
///
/// The other one queues the request behind its own ones, and reads its prompt again. A wait that a
/// queue explains is therefore no reason to give up a place in it.
const HEDGE_FACTOR: f64 = 4.0;

/// Smallest and largest fraction of the target after which another endpoint is tried.
const HEDGE_TARGET_FRACTIONS: (f64, f64) = (0.5, 1.0);

/// Time after which a request demands a place at a second brittle endpoint too.
///
/// Of two places it leaves one unused, which nobody else has for a while.
const SECOND_DEMAND_DELAY: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Admits a request: finds its route and organisation and chooses a service.
    ///
    /// # Errors
    /// Returns the refusal if there is no configuration, no matching route or no valid key, or if
    /// the request is quarantined.
    pub fn admit(
        &mut self,
        request: DecodedRequest,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Result<Flight, Refusal> {
        let Some(config) = self.registry.config().cloned() else {
            let max_wait = request.max_wait.unwrap_or(MAX_UNCONFIGURED_RETRY_AFTER);
            let wait = self.random_upper_third(
                max_wait
                    .mul_f64(RETRY_AFTER_FRACTION)
                    .min(MAX_UNCONFIGURED_RETRY_AFTER),
            );
            return Err(Refusal::not_run(Cause::Unconfigured, Some(wait)));
        };
        let refuse = |cause| Err(Refusal::not_run(cause, None));
        let Some(route) = config.route(&request.host, &request.path) else {
            return refuse(Cause::NoRoute);
        };
        let key_owner = request
            .key
            .as_deref()
            .and_then(|key| config.organisation(key));
        if key_owner.is_none() && !route.public && !config.organisations.is_empty() {
            return refuse(Cause::BadKey);
        }
        let organisation = if route.public {
            None
        } else {
            key_owner.cloned()
        };
        let max_wait = request.max_wait.unwrap_or(route.timeout).min(route.timeout);
        let trial = self.check_quarantine(&request, fingerprint, max_wait, now)?;
        let service = self.choose_service(&route.split);
        self.budget.count_request(&service, now);
        let rank = config.rank(route, organisation.as_deref());
        let urgent = config.is_urgent_stream(route, &service);
        Ok(Flight {
            id: request.id,
            rank,
            urgent,
            organisation,
            resumes: request.resumes,
            prompt: request.prompt,
            fingerprint,
            trial,
            deadline: now + max_wait,
            service,
            ..Flight::new(route.clone(), config.version, now)
        })
    }

    /// Returns a service at random, in proportion to the weights.
    fn choose_service(&mut self, split: &[Share]) -> String {
        let total: u32 = split.iter().map(|share| share.weight).sum();
        let mut remaining = if total > 0 {
            self.rng.random_range(0..total)
        } else {
            0
        };
        for share in split {
            if remaining < share.weight {
                return share.service.clone();
            }
            remaining -= share.weight;
        }
        split
            .first()
            .map(|share| share.service.clone())
            .unwrap_or_default()
    }

    /// Decides whether to send a request to an endpoint now, let it wait, or refuse it.
    pub fn place(&mut self, flight: &mut Flight, now: Time) -> Placement {
        if flight.time_left(now).is_zero() {
            return Placement::Refuse(give_up(flight, Cause::TimedOut, None), Vec::new());
        }
        if let Some(refusal) = self.refuse_late(flight, now) {
            return Placement::Refuse(refusal, Vec::new());
        }
        if let Err(refusal) = self.recheck_quarantine(flight, now) {
            return Placement::Refuse(refusal, Vec::new());
        }
        if let Some(placement) = self.resolve_version(flight, now) {
            return placement;
        }
        let Some(config) = self.registry.config().cloned() else {
            return Placement::Wait(Delay::poll(WaitCause::Unconfigured));
        };
        let unknown = Service::default();
        let service = config.service(&flight.service).unwrap_or(&unknown);
        let (ranked, mut exclusions) = self.rank(flight, service, now);
        let mut within_rate = ranked
            .iter()
            .filter(|(key, _)| self.rate_admits(*key, flight.rank, now));
        if let Some((key, estimate)) = within_rate.next()
            && let Some(delay) = self.defer(flight, service, *key, estimate, now)
        {
            return Placement::Wait(delay);
        }
        let since = flight.waiting_since.unwrap_or(now);
        let waits = now.saturating_sub(since) >= SECOND_DEMAND_DELAY;
        let demands = 1 + usize::from(waits);
        let mut full = 0;
        for (key, estimate) in ranked {
            let admitted = self
                .admit_rate(key, flight, full < demands, now)
                .and_then(|()| self.admit_cold(key, service, now));
            match admitted {
                Ok(()) => return Placement::Send(self.assign(key, estimate, flight, service, now)),
                Err(exclusion) => {
                    full += usize::from(exclusion == Exclusion::Full);
                    exclusions.push(exclusion);
                }
            }
        }
        self.wait_or_refuse(flight, exclusions, now)
    }

    /// Checks whether an endpoint is eligible for a request, without regard to cold start.
    ///
    /// # Errors
    /// Returns the first reason that excludes the endpoint.
    pub(super) fn admits(
        &self,
        state: &State,
        flight: &Flight,
        now: Time,
    ) -> Result<(), Exclusion> {
        let info = &state.info;
        let closed = self
            .registry
            .closed()
            .binary_search(&info.data_centre)
            .is_ok();
        let fits = flight
            .software
            .is_none_or(|software| software == state.software)
            && !(flight.goes_on() && state.is_replaced());
        let exclusions = [
            (info.service != flight.service, Exclusion::Service),
            (!flight.may_run_in(&state.region), Exclusion::Region),
            (closed, Exclusion::Closed),
            (info.draining, Exclusion::Draining),
            (state.is_departing(), Exclusion::Departing),
            (state.pause_left(now).is_some(), Exclusion::RetryAfter),
            (!fits, Exclusion::Version),
            (flight.excludes(state.key), Exclusion::Tried),
            (!state.path.is_usable(), Exclusion::Resting),
            (!self.detour_allows(state, flight), Exclusion::Detour),
        ];
        match exclusions.iter().find(|(excluded, _)| *excluded) {
            Some((_, exclusion)) => Err(*exclusion),
            None => Ok(()),
        }
    }

    /// Returns the cached tokens of a prompt at each endpoint.
    fn cached_tokens(&self, flight: &Flight, now: Time) -> Vec<CachedTokens> {
        let parts = flight.prompt.shared.iter();
        let holders: Vec<(u32, &[Holding])> = parts
            .map(|part| (part.tokens, self.prefixes.holders(part.prefix)))
            .take_while(|(_, holders)| !holders.is_empty())
            .collect();
        let cached = |state: &State| {
            let mut cached = CachedTokens::default();
            for (tokens, holders) in &holders {
                let holder = holders.binary_search_by_key(&state.key, |holder| holder.endpoint);
                let Ok(index) = holder else {
                    break;
                };
                let age = now.saturating_sub(holders[index].since);
                if cached.read == cached.sent && Index::is_read(age) {
                    cached.read = *tokens;
                }
                cached.sent = *tokens;
            }
            cached
        };
        self.states.iter().map(cached).collect()
    }

    /// Returns the length of a prompt's longest prefix that any endpoint used recently, in tokens.
    fn recent_tokens(&self, flight: &Flight, now: Time) -> u32 {
        let is_recent = |used: Time| now.saturating_sub(used) < self.options.reuse_window + REFRESH;
        let mut parts = flight.prompt.shared.iter().rev();
        let recent = parts.find(|part| self.prefixes.last_use(part.prefix).is_some_and(is_recent));
        recent.map_or(0, |part| part.tokens)
    }

    /// Returns the median slowdown of a service's endpoints; 1.0 if it has none.
    fn median_slowdown(&self, service: &str) -> f64 {
        let mut slowdowns: Vec<f64> = self.endpoints_of(service).map(State::slowdown).collect();
        slowdowns.sort_by(f64::total_cmp);
        slowdowns.get(slowdowns.len() / 2).copied().unwrap_or(1.0)
    }

    /// Returns the endpoints of a service.
    pub(super) fn endpoints_of(&self, service: &str) -> impl Iterator<Item = &State> {
        self.states
            .iter()
            .filter(move |state| state.info.service == service)
    }

    /// Returns each endpoint of a request's service, with its estimate or the reason to exclude it.
    fn estimates(
        &self,
        flight: &Flight,
        service: &Service,
        now: Time,
    ) -> Vec<(&State, Result<Estimate, Exclusion>)> {
        let cached = self.cached_tokens(flight, now);
        let name = &flight.service;
        let holders = cached
            .iter()
            .enumerate()
            .filter(|(_, held)| held.is_source());
        let sources: Vec<usize> = holders.map(|(index, _)| index).collect();
        let view = View {
            states: &self.states,
            cached: &cached,
            sources: &sources,
            most_cached: cached
                .iter()
                .copied()
                .fold(CachedTokens::default(), CachedTokens::max),
            recent: self.recent_tokens(flight, now),
            max_token_gap: self.shortest_sensitive_gap(name),
            gap_sensitive: self.is_sensitive(&flight.route, name),
            data_centre: &self.options.data_centre,
            region: &self.region,
            plain_ms: self.plain_answer_ms.value(name),
            whole_answer_ms: self.whole_answer_ms.value(name),
            median_slowdown: self.median_slowdown(name),
            now,
        };
        let estimate = |state| {
            self.admits(state, flight, now)
                .map(|()| view.estimate(state, flight, service))
        };
        self.endpoints_of(name)
            .map(|state| (state, estimate(state)))
            .collect()
    }

    /// Returns the eligible endpoints, best first, and the reasons that excluded the others.
    fn rank(
        &mut self,
        flight: &Flight,
        service: &Service,
        now: Time,
    ) -> (Vec<(Key, Estimate)>, Vec<Exclusion>) {
        let mut ranked = Vec::new();
        let mut exclusions = Vec::new();
        for (state, estimate) in self.estimates(flight, service, now) {
            match estimate {
                Ok(estimate) => ranked.push((state.key, estimate)),
                Err(exclusion) => exclusions.push(exclusion),
            }
        }
        for (_, estimate) in &mut ranked {
            estimate.score += MAX_SCORE_JITTER * self.rng.random::<f64>();
        }
        ranked.sort_by(|(_, one), (_, other)| one.score.total_cmp(&other.score));
        (ranked, exclusions)
    }

    /// Returns the estimate, or the reason for exclusion, of each endpoint for a route.
    ///
    /// The endpoints are those of the route's first service. Returns `None` if no route has the
    /// name, or if the node has no configuration.
    #[must_use]
    pub fn explain(
        &self,
        route: &str,
        tokens: u32,
        now: Time,
    ) -> Option<Vec<(String, Result<Estimate, Exclusion>)>> {
        let config = self.registry.config()?;
        let route = config.routes.iter().find(|known| known.name == route)?;
        let service = route.split.first()?.service.clone();
        let mut flight = Flight::new(route.clone(), config.version, now);
        flight.prompt.tokens = tokens;
        flight.urgent = config.is_urgent_stream(&flight.route, &service);
        let unknown = Service::default();
        let service_config = config.service(&service).unwrap_or(&unknown);
        flight.service = service;
        let estimates = self.estimates(&flight, service_config, now).into_iter();
        let named = estimates.map(|(state, estimate)| (state.info.id.clone(), estimate));
        Some(named.collect())
    }

    /// Counts a request towards this node's share of a cold endpoint's rate.
    ///
    /// A cold endpoint accepts requests from a few nodes of its data centre, at a fraction of its
    /// rate. They are the same for all processes under its id, as nodes learn of a restart at
    /// different times. Each node may accumulate an allowance of one request. If the data centre is
    /// split into two sets of nodes that cannot reach each other, each set may choose its own
    /// senders. Together they send at most five requests plus one and a half times the rate.
    ///
    /// # Errors
    /// Returns the reason if the endpoint is cold and this node may not send to it now.
    fn admit_cold(&mut self, key: Key, service: &Service, now: Time) -> Result<(), Exclusion> {
        /// Fraction of the rate that all senders together may use.
        const USED_FRACTION: f64 = 0.6;
        /// Number of senders to an endpoint with a rate near 0, and the increase for each request
        /// per second.
        const SENDER_COUNT: (f64, f64) = (2.5, 0.15);
        let index = self.find(key).map_err(|_| Exclusion::Resting)?;
        let state = &self.states[index];
        let rate = service.cold_rate;
        if rate <= 0.0 || !state.is_cold(now) {
            return Ok(());
        }
        let here = data_centre(&self.options.data_centre);
        let senders = (SENDER_COUNT.0 + SENDER_COUNT.1 * rate) as usize;
        if state.info.data_centre != self.options.data_centre
            || self.fleet.is_isolated(now)
            || !self
                .fleet
                .is_among_first(senders, sender_ranking(&state.info.id), now)
        {
            return Err(Exclusion::ColdElsewhere);
        }
        let senders = senders.min(self.fleet.live_nodes(here, now).len()).max(1);
        let share = rate * USED_FRACTION / senders as f64;
        let taken = self.states[index].admit_while_cold(share, now);
        taken.map_err(|_| Exclusion::Cold)
    }

    /// Assigns a request to an endpoint and records the use of its prompt prefixes there.
    fn assign(
        &mut self,
        key: Key,
        estimate: Estimate,
        flight: &mut Flight,
        service: &Service,
        now: Time,
    ) -> Assignment {
        flight.waiting_since = None;
        flight.tried.push(key);
        self.spend_rate(key, flight.rank, now);
        if service.model.is_some() {
            for part in &flight.prompt.shared {
                self.prefixes.record_use(part.prefix, key, now);
                if self.prefixes.mark_announced_if_due(part.prefix, key, now) {
                    self.fleet.announce_prefix(part.prefix, key, true);
                }
            }
        }
        self.fleet.mark_changed();
        let source = estimate.source.and_then(|source| self.state(source));
        let source = source.map(|state| state.info.address);
        let hedge_after = hedge_after(flight, &estimate);
        let load = Load {
            running: 1,
            unread: estimate.unread,
            urgent: u32::from(flight.urgent),
        };
        let confirm = flight.goes_on() && !self.is_roster_confirmed(now);
        let state = self
            .state_mut(key)
            .expect("only known endpoints are ranked");
        let before = state.load();
        state.own_load.add(load);
        Assignment {
            attempt: Attempt {
                key,
                software: state.software,
                detour: state.path.detour(),
                load,
                expected: estimate.time_to_first,
                sent: now,
                answered: None,
            },
            address: state.info.address,
            instance: state.info.id.clone(),
            version: state.info.version.clone(),
            confirm,
            source,
            rank: flight.rank,
            hedge_after,
            estimate,
            load: before,
        }
    }
}

/// Returns the key that ranks the nodes of a data centre as senders to an endpoint while cold.
fn sender_ranking(id: &str) -> Key {
    /// Start time that stands for all processes under the id.
    const ANY_START: u64 = 0;
    endpoint_key(id, ANY_START)
}

/// Returns the time after which another endpoint is tried, if the request may run again.
fn hedge_after(flight: &Flight, estimate: &Estimate) -> Option<Duration> {
    let target = flight.route.target;
    let expected = estimate.time_to_first.mul_f64(HEDGE_FACTOR);
    let (least, most) = (
        target.mul_f64(HEDGE_TARGET_FRACTIONS.0),
        target.mul_f64(HEDGE_TARGET_FRACTIONS.1),
    );
    let may_rerun = flight.may_run_after(flight.runs + 1);
    may_rerun.then(|| expected.clamp(least, most))
}
