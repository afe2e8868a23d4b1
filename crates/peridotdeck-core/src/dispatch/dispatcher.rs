//! All decisions of a node that places its own callers' requests.
//!
//! The state is here, with what the publisher says; what is done with it stands in modules by its
//! cause: a request (`placing`), the end of an attempt (`ends`), pauses of streams (`pauses`), a peer
//! (`peers`) or time (`upkeep`); who waits is decided in `waiting`.

mod ends;
mod pauses;
mod peers;
mod placing;
mod upkeep;
mod waiting;

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    Key, Node, Place,
    budget::{Bound, Budget},
    due::{Errand, Inquiry},
    endpoint::State,
    fleet::Fleet,
    mean, place,
    prefix::Index,
    registry::{self, Change, Registry, Report},
    strikes::List,
};
use crate::id::{Fingerprint, Time};

/// Expected time of a plain service's answer before any was seen, in milliseconds.
const PLAIN_MS: f64 = 40.0;

/// Expected time of a whole stream before any was seen, in milliseconds.
const WHOLE_MS: f64 = 2_000.0;

/// Nodes of a data centre that watch the publisher: one may fail, or be turned away.
const WATCHERS: usize = 2;

/// Key by which they are ranked.
const WATCH_KEY: Key = 0x7761_7463;

/// Fixed facts of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address by which peers know this node.
    pub node: Node,
    /// Its data centre.
    pub place: String,
    /// All data centres with their regions, sorted.
    pub regions: Vec<(String, String)>,
    /// Nodes to begin with.
    pub seeds: Vec<Node>,
    /// Bound on repeats.
    pub repeats: Bound,
    /// Random number of the process.
    pub incarnation: u64,
    /// Time after its last use in which reading a part of a prompt again is paid for.
    pub reuse: Duration,
    /// Whether endpoints may hold prompts from before this process: it is no first start.
    pub inherits: bool,
}

/// A peer that knows a newer revision.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    errand: Errand,
    revision: u64,
    near: bool,
}

/// A suspicion that a request crashed an endpoint.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    key: Key,
    fingerprint: Fingerprint,
    at: Time,
}

/// All state and all decisions of a node.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    region: String,
    registry: Registry,
    states: Vec<State>,
    prefixes: Index,
    fleet: Fleet,
    budget: Budget,
    strikes: List,
    suspects: Vec<Suspect>,
    plain: mean::Table,
    whole: mean::Table,
    failing: mean::Table,
    pauses: mean::Table,
    ahead: Vec<(Ahead, Time)>,
    clean_up_due: Time,
    inquiries: Vec<Inquiry>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Starts a node that knows nothing but its options.
    #[must_use]
    pub fn new(options: Options, now: Time) -> Self {
        let region = region(&options.regions, &options.place);
        let here = place(&options.place);
        let fleet = Fleet::new(
            options.node,
            here,
            siblings(&options.regions, &options.place),
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
            budget: Budget::new(options.repeats),
            strikes: List::default(),
            suspects: Vec::new(),
            plain: mean::Table::new(PLAIN_MS),
            whole: mean::Table::new(WHOLE_MS),
            failing: mean::Table::new(0.0),
            pauses: mean::Table::new(0.0),
            ahead: Vec::new(),
            clean_up_due: now,
            inquiries: Vec::new(),
            rng: SmallRng::seed_from_u64(options.incarnation),
            options,
        }
    }

    /// Returns what is in force.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the node's view of its peers.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the endpoints, sorted by key.
    #[must_use]
    pub fn states(&self) -> &[State] {
        &self.states
    }

    /// Returns the number of prompt prefixes whose place is known.
    #[must_use]
    pub fn prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether requests can be served: the configuration is known and the node stays.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.registry.config().is_some() && !self.fleet.is_leaving()
    }

    /// Returns whether this node should watch the publisher itself, or learns from peers that do.
    #[must_use]
    pub fn is_watcher(&self, now: Time) -> bool {
        self.registry.config().is_none() || self.fleet.is_among_first(WATCHERS, WATCH_KEY, now)
    }

    /// Starts to leave.
    pub fn leave(&mut self) {
        self.fleet.leave();
    }

    /// Follows a change of the seeds.
    pub fn set_seeds(&mut self, seeds: &[Node], now: Time) {
        self.fleet.set_seeds(seeds, now);
    }

    /// Notes that the publisher cannot be read.
    pub fn note_trouble(&mut self, now: Time) {
        self.registry.note_publisher_failure(now);
    }

    /// Takes in what the publisher reports.
    pub fn publish(&mut self, report: Report, now: Time) -> Change {
        let change = self.registry.apply(report, now);
        self.follow(&change, now);
        change
    }

    /// Takes in what a peer handed over.
    pub fn adopt(&mut self, snapshot: registry::Snapshot, now: Time) -> Change {
        let change = self.registry.adopt(snapshot, now);
        self.follow(&change, now);
        change
    }

    fn follow(&mut self, change: &Change, now: Time) {
        if *change != Change::default() {
            self.fleet.mark_changed();
        }
        let first = self.states.is_empty() && self.options.inherits;
        for endpoint in &change.removed {
            self.remove(endpoint);
        }
        for endpoint in &change.updated {
            let key = endpoint.key();
            match self.find(key) {
                Ok(at) => self.states[at].update(endpoint.clone(), now),
                Err(at) => {
                    let region = region(&self.options.regions, &endpoint.data_centre);
                    let mut state = State::new(endpoint.clone(), region, now);
                    state.peer_load = self.fleet.load_at(key);
                    if first {
                        let address = endpoint.address;
                        self.inquiries.push(Inquiry { key, address });
                    }
                    self.states.insert(at, state);
                }
            }
        }
    }

    fn remove(&mut self, endpoint: &registry::Endpoint) {
        let key = endpoint.key();
        if let Ok(at) = self.find(key) {
            self.states.remove(at);
        }
        self.prefixes.remove_endpoint(key);
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.states.binary_search_by_key(&key, |each| each.key)
    }

    fn state(&self, key: Key) -> Option<&State> {
        let at = self.find(key).ok()?;
        Some(&self.states[at])
    }

    fn state_mut(&mut self, key: Key) -> Option<&mut State> {
        let at = self.find(key).ok()?;
        Some(&mut self.states[at])
    }
}

fn region(regions: &[(String, String)], place: &str) -> String {
    let found = regions.iter().find(|(each, _)| each == place);
    found.map_or_else(|| place.to_owned(), |(_, region)| region.clone())
}

/// Returns the other data centres of a data centre's region.
fn siblings(regions: &[(String, String)], here: &str) -> Vec<Place> {
    let home = region(regions, here);
    let others = regions
        .iter()
        .filter(|(each, region)| each != here && *region == home);
    others.map(|(each, _)| place(each)).collect()
}
