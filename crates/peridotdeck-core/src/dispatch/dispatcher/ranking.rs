//! The endpoints that a request may use, with the estimate that ranks each.

use std::cmp::Reverse;

use rand::Rng;

use super::Dispatcher;
use crate::{
    dispatch::{
        Key,
        balance::Choice,
        config::Service,
        data_centre,
        endpoint::{Load, State},
        feature::Feature,
        flight::Flight,
        lending::Levels,
        placement::{CachedTokens, Estimate, Exclusion, View},
        prefix::{Holding, Index, REFRESH},
    },
    id::Time,
    rendezvous,
};

/// Largest random addition to a score, so that nodes with the same view choose differently.
const MAX_SCORE_JITTER: f64 = 8.0;

/// The endpoints of a service, compared for one request.
pub(super) struct Comparison<'a> {
    /// Each endpoint, with its estimate or the reason to exclude it.
    pub(super) endpoints: Vec<(&'a State, Result<Estimate, Exclusion>)>,
    /// Score that one more request adds at the best endpoint, if one of those close to it is drawn.
    step: Option<f64>,
}

/// The endpoints of a service in the order in which a request prefers them.
pub(super) struct Ranking {
    /// Eligible endpoints, best first.
    pub(super) endpoints: Vec<(Key, Estimate)>,
    /// Reasons that excluded the others.
    pub(super) exclusions: Vec<Exclusion>,
    /// How the first one was chosen among those with close scores.
    pub(super) choice: Choice,
}

impl Dispatcher {
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
            (!flight.regions.allows(&state.region), Exclusion::Region),
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
    pub(super) fn endpoints_of(&self, service: &str) -> impl Iterator<Item = &State> + Clone {
        self.states
            .iter()
            .filter(move |state| state.info.service == service)
    }

    /// Returns the use of a service's endpoints by data centre, if data centres lend each other room.
    ///
    /// Endpoints that may take no requests have no room, and data centres that are not heard of are
    /// left out.
    fn levels(&self, name: &str, service: &Service, now: Time) -> Option<Levels<'_>> {
        if !self.options.features.has(Feature::Lending) {
            return None;
        }
        let has_room = |state: &&State| {
            let info = &state.info;
            let is_open = !info.draining && !state.is_departing() && state.path.is_usable();
            is_open && !state.is_cold(now) && self.is_heard(&info.data_centre)
        };
        let slots = |state: &State| service.slots(state.info.slots);
        Some(Levels::of(self.endpoints_of(name).filter(has_room), slots))
    }

    fn is_heard(&self, place: &str) -> bool {
        place == self.options.data_centre || self.fleet.is_heard(data_centre(place))
    }

    /// Returns each endpoint of a request's service, with its estimate or the reason to exclude it.
    pub(super) fn estimates(
        &self,
        flight: &Flight,
        service: &Service,
        now: Time,
    ) -> Comparison<'_> {
        let cached = self.cached_tokens(flight, now);
        let name = &flight.service;
        let holders = cached
            .iter()
            .enumerate()
            .filter(|(_, held)| held.is_source());
        let sources: Vec<usize> = holders.map(|(index, _)| index).collect();
        let levels = self.levels(name, service, now);
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
            usual: self.usual_speed(name),
            levels: levels.as_ref(),
            assumed: Load::default(),
            now,
        };
        let estimate = |state| {
            self.admits(state, flight, now)
                .map(|()| view.estimate(state, flight, service))
        };
        let endpoints: Vec<_> = self
            .endpoints_of(name)
            .map(|state| (state, estimate(state)))
            .collect();
        let eligible = endpoints.iter();
        let best = eligible
            .filter_map(|(state, estimate)| Some((state, estimate.ok()?.score)))
            .min_by(|(_, one), (_, other)| one.total_cmp(other));
        let step = best.filter(|_| self.balances()).map(|(state, score)| {
            let busier = View {
                assumed: state.correction.unseen_request(),
                ..view
            };
            busier.estimate(state, flight, service).score - score
        });
        Comparison { endpoints, step }
    }

    /// Moves endpoints of the version at which a session's streams begin to the front.
    ///
    /// They must answer within the route's target and not fail more than others do by chance: a caller
    /// loses more by a late or failed answer now than by a refusal if all nodes should end.
    fn prefer_session_version(&self, flight: &Flight, ranked: &mut [(Key, Estimate)], now: Time) {
        let Some(software) = self.session_version(flight) else {
            return;
        };
        let is_preferred = |(key, estimate): &(Key, Estimate)| {
            let state = self.state(*key).filter(|state| state.software == software);
            let is_sound = state.is_some_and(|state| state.is_sound(now));
            is_sound && estimate.time_to_first <= flight.route.target
        };
        ranked.sort_by_cached_key(|endpoint| !is_preferred(endpoint));
    }

    /// Returns the eligible endpoints, best first, and the reasons that excluded the others.
    pub(super) fn rank(&mut self, flight: &Flight, service: &Service, now: Time) -> Ranking {
        self.correct_views(&flight.service, now);
        let mut ranked = Vec::new();
        let mut exclusions = Vec::new();
        let Comparison { endpoints, step } = self.estimates(flight, service, now);
        for (state, estimate) in endpoints {
            match estimate {
                Ok(estimate) => ranked.push((state.key, estimate)),
                Err(exclusion) => exclusions.push(exclusion),
            }
        }
        if !self.balances() {
            for (_, estimate) in &mut ranked {
                estimate.score += MAX_SCORE_JITTER * self.rng.random::<f64>();
            }
        }
        let node = self.options.node.into();
        let preference = |key: Key| Reverse(rendezvous::weight(key.into(), node));
        ranked.sort_by(|(key, one), (other_key, other)| {
            let order = one.score.total_cmp(&other.score);
            // Nodes prefer different ones of equal endpoints.
            order.then_with(|| preference(*key).cmp(&preference(*other_key)))
        });
        let choice = step.map_or_else(Choice::default, |step| self.draw(&mut ranked, step));
        self.prefer_session_version(flight, &mut ranked, now);
        Ranking {
            endpoints: ranked,
            exclusions,
            choice,
        }
    }
}
