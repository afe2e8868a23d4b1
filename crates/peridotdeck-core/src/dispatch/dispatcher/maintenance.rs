//! Periodic work, and the results of cache queries.

use std::{cmp::Reverse, time::Duration};

use super::{Dispatcher, holders::LISTERS};
use crate::{
    dispatch::{
        Key, Prefix,
        due::{CacheQuery, Due},
        endpoint::State,
        fleet::Changes,
    },
    id::Time,
    rendezvous,
};

/// Time between two clean-ups of prefixes, crashes and suspicions, which expire slowly.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(2);

/// Most endpoints whose cached prefixes one node queries after its start.
pub(super) const MAX_CACHE_QUERIES: usize = 32;

/// Endpoints that each node queries if there are more, since the lists of a large fleet delay its endpoints.
const SHARED_CACHE_QUERIES: usize = 16;

impl Dispatcher {
    /// Performs the periodic work and returns the actions that are due.
    pub fn tick(&mut self, now: Time) -> Due {
        self.fleet.note_tick(now);
        let mut due = Due {
            change: self.registry.expire(now),
            ..Due::default()
        };
        self.apply_change(&due.change, now);
        let (removed, silent) = self.fleet.expire(now);
        due.silent = silent;
        let changes = Changes {
            removed,
            ..Changes::default()
        };
        self.apply_peer_loads(&changes);
        self.clear_begun(now);
        let tells = self.fleet.is_local_due(now);
        if self.fleet.is_due(now) {
            let status = self.status(now);
            due.heartbeats = self.fleet.beats(&status, now);
        }
        due.heartbeats.append(&mut self.rate_messages(now));
        due.heartbeats.append(&mut self.stream_messages(now));
        due.rates = std::mem::take(&mut self.rate_news);
        due.closed = self.end_detours(now);
        due.closed.append(&mut self.moved);
        due.probes = self.probes(now);
        due.searches = self.searches(now);
        due.paths = std::mem::take(&mut self.path_news);
        due.cache_queries = self.cache_queries(now);
        due.snapshot_requests = self.snapshot_requests(now);
        due.confirmation = self.step.begin_read(now);
        due.history = self.history.begin_read(now);
        due.watch_begun = self.begin_watch(now);
        due.ages = self.registry.ages(now);
        due.crashes = self.crashes.take_notices();
        due.speeds = self.take_speed_notices(now);
        if tells && !due.heartbeats.is_empty() {
            due.speed_message = self.speed_message(now);
        }
        if now >= self.clean_up_due {
            self.clean_up_due = now + CLEAN_UP_INTERVAL;
            self.prefixes.expire(now);
            self.crashes.expire(now);
            self.departures.expire(now);
            self.shares.expire(now);
            self.rates.expire(now);
            self.pauses.expire(now);
            self.streams.expire(now);
            self.versions.observe(self.registry.endpoints().iter(), now);
            if !self.versions.is_history_short(now) {
                self.history.forget();
            }
            self.expire_suspicions(now);
        }
        due
    }

    /// Returns the cache queries that are due.
    ///
    /// Only endpoints whose service has a model in the configuration can list their memory. The
    /// list delays an endpoint, so a node queries only some of many endpoints. Those of its own
    /// data centre come first, and of these the ones for which it ranks highest, so that all nodes
    /// together list all.
    fn cache_queries(&mut self, now: Time) -> Vec<CacheQuery> {
        if self.registry.config().is_none() {
            return Vec::new();
        }
        let mut queries = std::mem::take(&mut self.cache_queries);
        if !self.listing.is_partial() && self.listing.take_wanted(now) {
            queries = self.states.iter().map(State::cache_query).collect();
        }
        if self.listing.take_check(now) {
            queries.extend(self.missed_lists(now));
        }
        let states = queries
            .iter()
            .filter_map(|query| Some((query, self.state(query.key)?)));
        let rank = |query: &CacheQuery, state: &State| {
            let is_remote = state.info.data_centre != self.options.data_centre;
            let weight = rendezvous::weight(query.key.into(), self.options.node.into());
            (is_remote, Reverse(weight))
        };
        let mut due: Vec<_> = states
            .filter(|(_, state)| self.has_model(&state.info.service))
            .map(|(query, state)| (rank(query, state), *query))
            .collect();
        due.sort_by_key(|(rank, _)| *rank);
        if due.len() > MAX_CACHE_QUERIES {
            due.truncate(SHARED_CACHE_QUERIES);
            self.listing.skip(now);
        }
        for (_, query) in &due {
            self.listing.begin(query.key, now);
        }
        due.into_iter().map(|(_, query)| query).collect()
    }

    /// Returns whether a service's endpoints can list their memory, since it has a model.
    pub(super) fn has_model(&self, service: &str) -> bool {
        let config = self.registry.config();
        let service = config.and_then(|config| config.service(service));
        service.is_some_and(|service| service.model.is_some())
    }

    /// Returns queries of the endpoints here that this node has not listed, though it is to tell of them.
    ///
    /// They joined after the start, or have not answered. Nobody else calls them, and while one of another
    /// version is unlisted, no stream that only caches know goes on.
    fn missed_lists(&self, now: Time) -> impl Iterator<Item = CacheQuery> {
        let is_history_short = self.versions.is_history_short(now);
        let missed = self.states.iter().filter(move |state| {
            is_history_short
                && state.info.data_centre == self.options.data_centre
                && self.listing.lacks(state.key, now)
                && self.fleet.is_among_first(LISTERS, state.key, now)
        });
        missed.map(State::cache_query)
    }

    /// Records the prompt prefixes that an endpoint holds in memory.
    pub fn record_cached(&mut self, key: Key, parts: &[Prefix], now: Time) {
        if self.find(key).is_ok() {
            self.listing.add(key, parts, now);
            for part in parts {
                self.prefixes.record_use(*part, key, now);
            }
        }
    }

    /// Returns whether the evictions of an endpoint matter that is about to list its cache.
    ///
    /// They do once after a start in a fleet that has run before, where nodes do not share the lists out.
    #[must_use]
    pub fn needs_evictions(&self, key: Key, now: Time) -> bool {
        let is_first = !self.listing.shows(key) && !self.listing.is_partial();
        self.versions.is_history_short(now) && is_first
    }

    /// Records the prompt prefixes that an endpoint has evicted, which it has read nevertheless.
    pub fn record_evicted(&mut self, key: Key, parts: &[Prefix], now: Time) {
        if let Some(software) = self.state(key).map(|state| state.software) {
            self.keep_read_parts(software, parts.iter().copied(), now);
        }
    }

    /// Treats an endpoint as cold that is reachable again.
    ///
    /// It may have restarted while it was unreachable, and its new entry may not be known yet.
    pub(super) fn treat_as_cold(&mut self, key: Key, now: Time) {
        let Some(config) = self.registry.config().cloned() else {
            return;
        };
        let Some(state) = self.state_mut(key) else {
            return;
        };
        if let Some(service) = config.service(&state.info.service)
            && service.cold_rate > 0.0
        {
            state.presume_cold(now + service.cold, now);
        }
    }

    /// Records that an idle connection to an endpoint broke.
    pub fn suspect(&mut self, key: Key, now: Time) {
        if let Some(state) = self.state_mut(key) {
            state.path.suspect(now);
        }
    }
}
