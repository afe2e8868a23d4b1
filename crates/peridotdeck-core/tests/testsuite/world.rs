//! Nodes of three data centres, callers, and endpoints that name rates or run several versions.

mod brittle;
mod endpoint;
mod paths;
mod publisher;
mod streams;
mod traffic;

use std::{net::Ipv4Addr, time::Duration};

pub use endpoint::Endpoint;
use paths::Event;
pub use paths::{Cut, Outcome};
use peridotdeck_core::dispatch::{
    Dispatcher, Key, Node, Prefix, attempt::Attempt, flight::Flight, stream::Past,
};
use peridotdeck_wire::{beat::Beat, pack};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::dispatch::{REGIONS, configure, copies, endpoint, ms, options};

/// Span in which the requests at an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a rate was first named from which it must be kept.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Time from the arrival of a request at an endpoint to the head of its answer, and to its end.
const ANSWER: (Duration, Duration) = (ms(60), ms(500));

const STEP: Duration = ms(25);

/// Bytes of a datagram before its message.
const DATAGRAM_HEAD: usize = 28;

struct Open {
    node: usize,
    flight: Flight,
    attempt: Attempt,
    head_read: bool,
    /// Node whose path the attempt uses.
    path: usize,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: usize,
    pub waited: usize,
    pub refused: usize,
    /// Refused requests of the most urgent route.
    pub refused_urgent: usize,
}

pub struct World {
    pub now: Duration,
    pub rng: SmallRng,
    pub nodes: Vec<Option<Dispatcher>>,
    /// Group of each node; only nodes of the same group exchange heartbeats.
    pub groups: Vec<usize>,
    /// Pairs of a sender and a receiver between which heartbeats are lost.
    pub lost: Vec<(usize, usize)>,
    /// Software versions whose endpoints do not list their caches.
    pub unlisted: Vec<&'static str>,
    /// Time that an endpoint takes to list its cache, and the lists that are due.
    pub listing_time: Duration,
    listings: Vec<(Duration, usize, Vec<Key>)>,
    /// Time by which heartbeats are late.
    pub late: Duration,
    pub endpoints: Vec<Endpoint>,
    /// Nodes that callers reach, and requests per second at each.
    pub callers: (Vec<usize>, f64),
    /// Share of requests that belong to the most urgent route.
    pub urgent_share: f64,
    pub counts: Counts,
    /// Changes of the rates that nodes believe in.
    pub rate_changes: usize,
    /// Own parts of prompts, and the endpoints that have cached them.
    cached: Vec<(Key, Prefix)>,
    /// Nodes whose paths to endpoints are cut.
    cuts: Vec<(usize, Cut)>,
    events: Vec<(Duration, usize, Event)>,
    pub outcomes: Vec<Outcome>,
    /// Probes of endpoints by all nodes.
    pub probes: usize,
    /// Requests that passed through each node for a peer.
    pub passed: Vec<usize>,
    heartbeats: Vec<(Duration, usize, Beat)>,
    waiting: Vec<(Duration, usize, Flight)>,
    open: Vec<Open>,
    revision: u64,
    /// Nodes that stand still, and those that do not reach the publisher.
    pub stopped: Vec<usize>,
    pub deaf: Vec<usize>,
    /// Reads of the publisher on behalf of streams: when one began, and the node.
    reads: Vec<(Duration, usize)>,
    /// Nodes that have asked for the latest changes of the endpoint list.
    history_reads: Vec<usize>,
    /// Changes of the endpoint list, which the publisher keeps for a while.
    history: Vec<(Duration, Past)>,
    pub read_count: usize,
    /// Bytes of messages that tell of streams or ask for them, in a data centre and between them.
    pub told_bytes: [usize; 2],
}

fn address(index: usize) -> Node {
    Ipv4Addr::from(0x0a00_0001 + index as u32)
}

fn data_centre(index: usize) -> &'static str {
    REGIONS[index % REGIONS.len()].0
}

fn key(endpoint: &Endpoint) -> Key {
    endpoint.info.key()
}

impl World {
    /// Starts `nodes` nodes and `endpoints` endpoints, spread over the data centres.
    pub fn new(nodes: usize, endpoints: usize, seed: u64) -> Self {
        let endpoints = (0..endpoints)
            .map(|index| endpoint(&format!("e{index}"), "text", data_centre(index)))
            .map(Endpoint::new);
        let mut world = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            groups: vec![0; nodes],
            lost: Vec::new(),
            unlisted: Vec::new(),
            listing_time: Duration::ZERO,
            listings: Vec::new(),
            late: Duration::ZERO,
            endpoints: endpoints.collect(),
            callers: ((0..nodes).collect(), 4.0),
            urgent_share: 0.5,
            counts: Counts::default(),
            rate_changes: 0,
            cached: Vec::new(),
            cuts: Vec::new(),
            events: Vec::new(),
            outcomes: Vec::new(),
            probes: 0,
            passed: vec![0; nodes],
            heartbeats: Vec::new(),
            waiting: Vec::new(),
            open: Vec::new(),
            revision: 1,
            stopped: Vec::new(),
            deaf: Vec::new(),
            reads: Vec::new(),
            history_reads: Vec::new(),
            history: Vec::new(),
            read_count: 0,
            told_bytes: [0; 2],
        };
        let infos: Vec<_> = world.endpoints.iter().map(|one| one.info.clone()).collect();
        world.keep_changes(&[], &infos);
        world.nodes = (0..nodes).map(|index| Some(world.node(index))).collect();
        world.run(ms(2_000));
        world
    }

    fn node(&mut self, index: usize) -> Dispatcher {
        let mut options = options(1, data_centre(index));
        options.node = address(index);
        options.seeds = (0..self.groups.len().min(3)).map(address).collect();
        options.incarnation = self.rng.random();
        options.is_restart = !self.now.is_zero();
        let infos: Vec<_> = self.endpoints.iter().map(|one| one.info.clone()).collect();
        configure(Dispatcher::new(options, self.now), &infos)
    }

    /// Ends a node without a word; its requests end with it.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
        self.heartbeats.retain(|(_, to, _)| *to != index);
        self.listings.retain(|(_, node, _)| *node != index);
        self.open.retain(|open| open.node != index);
        self.waiting.retain(|(_, node, _)| *node != index);
    }

    /// Starts a node, which knows only what the publisher says.
    pub fn start(&mut self, index: usize) {
        self.nodes[index] = Some(self.node(index));
        self.report_to(index);
    }

    /// Ends all nodes at once and starts them again.
    pub fn restart_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.exchange();
            self.handle_events();
            self.answer();
            self.retry_waiting();
            self.arrive();
        }
    }

    fn exchange(&mut self) {
        self.answer_reads();
        for index in 0..self.nodes.len() {
            if self.stopped.contains(&index) {
                continue;
            }
            if let Some(node) = &mut self.nodes[index] {
                let due = node.tick(self.now);
                let queried: Vec<Key> = due.cache_queries.iter().map(|query| query.key).collect();
                self.rate_changes += due.rates.len();
                self.schedule_paths(index, &due);
                self.send(index, copies(due.heartbeats));
                self.listings
                    .push((self.now + self.listing_time, index, queried));
                self.fetch(index, &due.snapshot_requests);
                self.reads
                    .extend(due.confirmation.then_some((self.now, index)));
                self.history_reads.extend(due.history.then_some(index));
            }
        }
        let now = self.now;
        let due = self.listings.extract_if(.., |(at, ..)| *at <= now);
        for (_, index, keys) in due.collect::<Vec<_>>() {
            self.answer_queries(index, &keys);
        }
        let arrived: Vec<_> = self
            .heartbeats
            .extract_if(.., |(at, to, _)| *at <= now && !self.stopped.contains(to))
            .collect();
        for (_, to, beat) in arrived {
            let Some(node) = &mut self.nodes[to] else {
                continue;
            };
            let (replies, _) = node.receive(&beat, now);
            let sender = Node::from(beat.node);
            self.send(to, replies.into_iter().map(|beat| (sender, beat)).collect());
        }
    }

    fn send(&mut self, from: usize, beats: Vec<(Node, Beat)>) {
        for (to, beat) in beats {
            let lengths = [
                beat.streams.len(),
                beat.lookups.len(),
                beat.demands.len(),
                beat.grants.len(),
            ];
            if lengths.into_iter().any(|length| length > 0) {
                let bytes = pack(&beat).expect("fits a datagram").len();
                if !beat.streams.is_empty() || !beat.lookups.is_empty() {
                    let to = (u32::from(to) - u32::from(address(0))) as usize;
                    let is_far = from % REGIONS.len() != to % REGIONS.len();
                    self.told_bytes[usize::from(is_far)] += bytes + DATAGRAM_HEAD;
                }
            }
            let to = (u32::from(to) - u32::from(address(0))) as usize;
            let is_reached =
                self.groups.get(to) == Some(&self.groups[from]) && !self.lost.contains(&(from, to));
            if is_reached && !self.rng.random_bool(0.02) {
                let near = from % REGIONS.len() == to % REGIONS.len();
                let delay = ms(if near { 1 } else { 31 });
                let at = self.now + delay + self.late;
                self.heartbeats.push((at, to, beat));
            }
        }
    }

    /// Returns the number of requests that an endpoint got in a span of time.
    pub fn count(&self, endpoint: usize, from: Duration, to: Duration) -> usize {
        let got = self.endpoints[endpoint].got.iter();
        got.filter(|(at, ..)| (from..to).contains(at)).count()
    }

    /// Returns the number of requests of a rank that an endpoint got since a time.
    pub fn count_rank(&self, endpoint: usize, rank: u8, from: Duration) -> usize {
        let got = self.endpoints[endpoint].got.iter();
        got.filter(|(at, _, other)| *at >= from && *other == rank)
            .count()
    }

    /// Asserts that an endpoint got no more in any window than it allows, since it named its rate.
    pub fn assert_kept(&self, endpoint: usize, named: Duration, rate: f64, what: &str) {
        let allowed = (1.5 * rate * WINDOW.as_secs_f64()).ceil() as usize + 5;
        let got = &self.endpoints[endpoint].got;
        for (start, ..) in got.iter().filter(|(at, ..)| *at >= named + IN_FORCE) {
            let count = self.count(endpoint, *start, *start + WINDOW);
            assert!(
                count <= allowed,
                "{what}: {count} in 4 s from {start:?}, {allowed} allowed"
            );
        }
    }

    /// Asserts that an endpoint got a share of its rate at least in a span of time.
    pub fn assert_used(&self, endpoint: usize, share: f64, from: Duration, rate: f64, what: &str) {
        let due = share * rate * self.now.saturating_sub(from).as_secs_f64();
        let count = self.count(endpoint, from, self.now);
        assert!(count as f64 >= due, "{what}: {count} used, {due:.1} due");
    }
}
