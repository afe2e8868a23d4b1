//! The dispatcher: state and decisions of a node that places its own callers' requests.
//!
//! This module holds the state and applies the publisher's reports. The submodules hold the
//! decisions, grouped by their trigger:
//!
//! - `placing`: a request is admitted or placed;
//! - `ranking`: the endpoints for a request are compared;
//! - `balancing`: old reports of load are corrected, and one of close endpoints is drawn;
//! - `explain`: an operator asks what would happen to a request;
//! - `waiting`: a request waits or is refused, and its caller may return later;
//! - `shares`: a request competes with others for room;
//! - `outcomes`: an attempt ends;
//! - `pauses`: a stream pauses between events;
//! - `speeds`: an answer or a stream shows an endpoint's speed, or a peer tells of it;
//! - `quarantine`: an endpoint has crashed, or has answered on a prompt;
//! - `rates`: an endpoint names a rate, or a request needs a part of one;
//! - `regions`: a request may be served in some regions only;
//! - `places`: an endpoint is brittle, or a request needs a place there;
//! - `streams`: a stream begins, or a caller takes one up;
//! - `holders`: other nodes are told of streams, or asked for them;
//! - `peers`: a heartbeat from a peer arrives, or one to a peer is composed;
//! - `detours`: a path to an endpoint is lost, or works again;
//! - `probes`: a path needs a connection that only tests it;
//! - `shutdown`: the node leaves, and a request may not end before it does;
//! - `watchers`: those that read the publisher for others have not for too long;
//! - `maintenance`: time passes, or the result of a probe or of a cache query arrives.

mod balancing;
mod batch;
mod detours;
mod explain;
mod holders;
mod maintenance;
mod outcomes;
mod pauses;
mod peers;
mod places;
mod placing;
mod probes;
mod quarantine;
mod ranking;
mod rates;
mod regions;
mod shares;
mod shutdown;
mod speeds;
mod streams;
mod waiting;
mod watchers;

use std::time::Duration;

pub use explain::{Explanation, Query, Unknown};
use maintenance::MAX_CACHE_QUERIES;
use probes::Schedule;
use quarantine::{Begun, Suspicion};
use rand::{SeedableRng, rngs::SmallRng};
use rates::Grant;
use speeds::Speeds;

use super::{
    DataCentre, Key, Node, balance,
    budget::{Bound, Budget},
    crashes, data_centre, departures, detour,
    due::{CacheQuery, SnapshotRequest},
    duration,
    endpoint::State,
    feature,
    fleet::Fleet,
    mean,
    prefix::Index,
    rate,
    registry::{self, Change, Fact, Position, Registry, Report},
    share, stream,
};
use crate::id::Time;

/// Expected time of a plain service's answer before the first sample, in milliseconds.
const INITIAL_PLAIN_ANSWER_MS: f64 = 40.0;

/// Expected time of a complete answer before the first sample, in milliseconds.
const INITIAL_WHOLE_ANSWER_MS: f64 = 2_000.0;

/// Fixed options of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address that identifies this node to its peers.
    pub node: Node,
    /// Data centre of this node.
    pub data_centre: String,
    /// All data centres with their regions, sorted by data centre.
    pub regions: Vec<(String, String)>,
    /// Nodes through which this node finds its peers.
    pub seeds: Vec<Node>,
    /// Bound on the retries of each service over all nodes.
    pub retry_bound: Bound,
    /// Random number that distinguishes this process from earlier ones at the same address.
    pub incarnation: u64,
    /// Time after the last use of a prompt part in which a repeated prefill of it is charged.
    pub reuse_window: Duration,
    /// Whether the node has run before, so that endpoints may already hold cached prompts.
    pub is_restart: bool,
    /// Parts of the placement that are switched on.
    pub features: feature::Set,
}

/// A peer's announcement of a newer state of an area.
#[derive(Clone, Copy, Debug)]
struct NewerState {
    request: SnapshotRequest,
    position: Position,
    version: u64,
    is_local: bool,
}

/// State of a node that places its own callers' requests.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    options: Options,
    region: String,
    registry: Registry,
    states: Vec<State>,
    prefixes: Index,
    fleet: Fleet,
    /// Changes of the load that peers report.
    flows: balance::Table,
    budget: Budget,
    crashes: crashes::List,
    departures: departures::List,
    /// What has been learnt of the requests that compete for room.
    shares: share::Table,
    rates: rate::Table,
    /// Changes of rates that peers have reported since the last tick.
    rate_news: Vec<rate::News>,
    streams: stream::Table,
    versions: stream::Versions,
    listing: stream::Listing,
    history: stream::History,
    outbox: stream::Outbox,
    step: stream::Step,
    /// Streams whose versions are to be asked for.
    lookups: Vec<stream::Id>,
    /// Grants that are to be sent.
    grants: Vec<Grant>,
    suspicions: Vec<Suspicion>,
    begun: Vec<Begun>,
    schedule: Schedule,
    pauses: detour::Pauses,
    /// Changes of paths since the last tick.
    path_news: Vec<detour::News>,
    plain_answer_ms: mean::Table,
    whole_answer_ms: mean::Table,
    failure_rate: mean::Table,
    pause_ms: mean::Table,
    speeds: Speeds,
    /// Times that complete answers have taken.
    durations: duration::Table,
    /// Endpoints whose kept connections lead to a former address.
    moved: Vec<Key>,
    /// Time until which this node watches the publisher in place of those that cannot read it.
    watches_until: Time,
    /// Time at which requests are cut, if this node leaves.
    end: Option<Time>,
    newer_states: Vec<(NewerState, Time)>,
    clean_up_due: Time,
    cache_queries: Vec<CacheQuery>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates the state of a node that has only its options.
    #[must_use]
    pub fn new(options: Options, now: Time) -> Self {
        let region = region(&options.regions, &options.data_centre);
        let here = data_centre(&options.data_centre);
        let mut versions = stream::Versions::default();
        if options.is_restart {
            versions.start_history(now);
        }
        let fleet = Fleet::new(
            options.node,
            here,
            siblings(&options.regions, &options.data_centre),
            options.incarnation,
            &options.seeds,
            now,
        );
        Self {
            region,
            registry: Registry::default(),
            states: Vec::new(),
            prefixes: Index::default(),
            fleet,
            flows: balance::Table::default(),
            budget: Budget::new(options.retry_bound),
            crashes: crashes::List::default(),
            departures: departures::List::default(),
            shares: share::Table::default(),
            rates: rate::Table::default(),
            rate_news: Vec::new(),
            grants: Vec::new(),
            streams: stream::Table::default(),
            versions,
            listing: stream::Listing::default(),
            history: stream::History::default(),
            outbox: stream::Outbox::default(),
            step: stream::Step::default(),
            lookups: Vec::new(),
            suspicions: Vec::new(),
            begun: Vec::new(),
            schedule: Schedule::default(),
            pauses: detour::Pauses::default(),
            path_news: Vec::new(),
            plain_answer_ms: mean::Table::new(INITIAL_PLAIN_ANSWER_MS),
            whole_answer_ms: mean::Table::new(INITIAL_WHOLE_ANSWER_MS),
            failure_rate: mean::Table::new(0.0),
            pause_ms: mean::Table::new(0.0),
            speeds: Speeds::default(),
            durations: duration::Table::default(),
            moved: Vec::new(),
            watches_until: now,
            end: None,
            newer_states: Vec::new(),
            clean_up_due: now,
            cache_queries: Vec::new(),
            rng: SmallRng::seed_from_u64(options.incarnation),
            options,
        }
    }

    /// Returns the registry with the current configuration and endpoints.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns this node's view of its peers.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the states of all endpoints, sorted by key.
    #[must_use]
    pub fn states(&self) -> &[State] {
        &self.states
    }

    /// Returns the number of entries in the index of cached prompt prefixes.
    #[must_use]
    pub fn prefix_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether the node has a configuration and is not leaving, so it can serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.registry.config().is_some() && !self.fleet.is_leaving()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[Node], now: Time) {
        self.fleet.set_seeds(seeds, now);
    }

    /// Records that the publisher could not be read.
    pub fn note_publisher_failure(&mut self, now: Time) {
        self.registry.note_publisher_failure(now);
    }

    /// Applies a report of the publisher and returns what it changed.
    pub fn apply_report(&mut self, report: Report, now: Time) -> Change {
        // Also what has come and gone since the last report.
        let listed = report.facts.iter().filter_map(Fact::endpoint_entry);
        self.versions.observe(listed.clone(), now);
        let listed = listed.filter(|_| self.versions.is_history_short(now));
        let listed: Vec<registry::Endpoint> = listed.cloned().collect();
        let change = self.registry.apply(report, now);
        self.apply_change(&change, now);
        for entry in listed {
            if self.find(entry.key()).is_err() {
                self.keep_departed(&entry, now);
            }
        }
        if change.takes_away() {
            // The publisher may turn other data centres away, whose next round may be seconds off.
            self.fleet.mark_urgent();
        }
        change
    }

    /// Records that a read of the publisher has reported all changes up to the time at which it began.
    pub fn record_confirmation(&mut self, begun: Time) {
        self.step.confirm(begun);
    }

    /// Records the latest changes of the endpoint list, oldest first, as the publisher has kept them.
    ///
    /// They name endpoints that left before this node knew of them.
    pub fn record_history(&mut self, changes: Vec<stream::Past>, now: Time) {
        if !self.versions.is_history_short(now) {
            return;
        }
        let (history, states) = (&mut self.history, &self.states);
        history.record(changes, |key| {
            states.binary_search_by_key(&key, |state| state.key).is_ok()
        });
    }

    /// Returns the number of endpoints that have left while streams of before the start may be open.
    #[must_use]
    pub fn departed_count(&self) -> usize {
        self.history.departed().count()
    }

    /// Adopts a snapshot that a peer sent and returns what it changed.
    pub fn adopt(&mut self, snapshot: registry::Snapshot, now: Time) -> Change {
        let change = self.registry.adopt(snapshot, now);
        self.apply_change(&change, now);
        change
    }

    /// Updates the endpoint states after a change of the registry.
    fn apply_change(&mut self, change: &Change, now: Time) {
        if *change != Change::default() {
            self.fleet.mark_changed();
            self.versions.observe(change.removed.iter(), now);
            self.versions.observe(self.registry.endpoints().iter(), now);
        }
        let query_caches = self.states.is_empty() && self.options.is_restart;
        if query_caches && change.updated.len() <= MAX_CACHE_QUERIES {
            // A large fleet that starts at once reads it only where a stream is in doubt.
            self.history.want();
        }
        for endpoint in &change.removed {
            self.remove(endpoint, now);
        }
        for endpoint in &change.updated {
            let key = endpoint.key();
            let region = region(&self.options.regions, &endpoint.data_centre);
            match self.find(key) {
                Ok(index) => {
                    if self.states[index].info.address != endpoint.address {
                        self.moved.push(key);
                    }
                    self.states[index].update(endpoint.clone(), region, now);
                }
                Err(index) => {
                    let mut state = State::new(endpoint.clone(), region, now);
                    state.peer_load = self.fleet.load_at(key);
                    state.speed = self.speeds.take_former(&endpoint.id);
                    if self.departures.contains(key) {
                        state.mark_departing();
                    }
                    if query_caches {
                        self.cache_queries.push(state.cache_query());
                    }
                    self.states.insert(index, state);
                    self.presume_terms(key, &endpoint.service, now);
                }
            }
        }
        if !change.updated.is_empty() || !change.removed.is_empty() {
            self.speeds.set_endpoints(&self.states);
        }
    }

    fn remove(&mut self, endpoint: &registry::Endpoint, now: Time) {
        let key = endpoint.key();
        self.keep_departed(endpoint, now);
        if let Ok(index) = self.find(key) {
            let state = self.states.remove(index);
            self.speeds.keep_former(&state);
        }
        self.rates.remove(key);
        self.prefixes.remove_endpoint(key);
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.states.binary_search_by_key(&key, |state| state.key)
    }

    fn state(&self, key: Key) -> Option<&State> {
        let index = self.find(key).ok()?;
        Some(&self.states[index])
    }

    fn state_mut(&mut self, key: Key) -> Option<&mut State> {
        let index = self.find(key).ok()?;
        Some(&mut self.states[index])
    }
}

/// Returns the region of a data centre, or the data centre's own name if it is not listed.
fn region(regions: &[(String, String)], data_centre: &str) -> String {
    let found = regions.iter().find(|(name, _)| name == data_centre);
    found.map_or_else(|| data_centre.to_owned(), |(_, region)| region.clone())
}

/// Returns the other data centres in the region of a data centre.
fn siblings(regions: &[(String, String)], here: &str) -> Vec<DataCentre> {
    let home = region(regions, here);
    let others = regions
        .iter()
        .filter(|(name, region)| name != here && *region == home);
    others.map(|(name, _)| data_centre(name)).collect()
}
