//! Nodes, endpoints and requests in one process, with a network that delays and loses heartbeats.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher, Key, Node, Prefix,
    attempt::{Attempt, End, Next, Placement},
    flight::{Flight, Part, Prompt},
    refusal::Cause,
    registry::{self, Fact},
};
use peridotdeck_wire::beat::Beat;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::dispatch::{
    REGIONS, configure, copies, decoded_request, endpoint, ms, node, options, publish,
};

/// Part on which each answer crashes its endpoint.
pub const DEADLY: Prefix = 666;

/// Part that all prompts share.
pub const COMMON: Prefix = 1;

/// Endpoints that may crash before the part must be stopped.
pub const CRASHES: usize = 5;

/// Requests with the part that may still be sent later than [`IN_FORCE`] after the fifth crash.
pub const MAX_LATE: usize = 3;

/// Time after the fifth crash in which all nodes must have stopped the part.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Time for which a crashed endpoint is away.
const AWAY: Duration = Duration::from_secs(3);

/// Time from the arrival of a request at an endpoint to its first event, and from there to its end.
const PREFILL: Duration = Duration::from_millis(150);
const GENERATION: Duration = Duration::from_millis(600);

pub struct Endpoint {
    name: String,
    pub key: Key,
    /// Time at which it is back, if it has crashed.
    back_at: Option<Duration>,
}

struct Open {
    node: usize,
    flight: Flight,
    attempt: Attempt,
    began: bool,
}

/// What became of requests without the deadly part that arrived in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sound {
    pub arrived: usize,
    pub quarantined: usize,
    /// Those that an endpoint began to answer at the first attempt.
    pub began: usize,
}

pub struct World {
    now: Duration,
    rng: SmallRng,
    nodes: Vec<Dispatcher>,
    /// Nodes that exchange no heartbeats with others.
    pub cut: Vec<usize>,
    pub endpoints: Vec<Endpoint>,
    heartbeats: Vec<(Duration, usize, Beat)>,
    open: Vec<Open>,
    revision: u64,
    /// Whether the deadly part still crashes endpoints.
    pub deadly: bool,
    pub crashes: Vec<Duration>,
    pub deadly_sends: Vec<Duration>,
    pub sound: Sound,
}

pub fn data_centre(index: usize) -> &'static str {
    REGIONS[index % REGIONS.len()].0
}

fn is_deadly(flight: &Flight) -> bool {
    let mut parts = flight.prompt.shared.iter();
    parts.any(|part| part.prefix == DEADLY)
}

/// Returns a prompt with these shared parts, the shortest first.
pub fn prompt(parts: &[Prefix]) -> Prompt {
    let part = |(index, prefix): (usize, &Prefix)| Part {
        prefix: *prefix,
        tokens: 500 * (index as u32 + 1),
    };
    Prompt {
        tokens: 500 * parts.len() as u32 + 300,
        output: 100,
        shared: parts.iter().enumerate().map(part).collect(),
        own: None,
    }
}

impl World {
    pub fn new(nodes: usize, endpoints: usize, seed: u64) -> Self {
        let names: Vec<String> = (0..endpoints).map(|index| format!("e{index}")).collect();
        let infos: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(index, name)| endpoint(name, "text", data_centre(index)))
            .collect();
        let start = |index: usize| {
            let options = options(index as u8 + 1, data_centre(index));
            configure(Dispatcher::new(options, Duration::ZERO), &infos)
        };
        let mut world = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..nodes).map(start).collect(),
            cut: Vec::new(),
            endpoints: infos
                .iter()
                .map(|info| Endpoint {
                    name: info.id.clone(),
                    key: info.key(),
                    back_at: None,
                })
                .collect(),
            heartbeats: Vec::new(),
            open: Vec::new(),
            revision: 1,
            deadly: true,
            crashes: Vec::new(),
            deadly_sends: Vec::new(),
            sound: Sound::default(),
        };
        world.run(ms(3_000), 0.0, &[COMMON, DEADLY]);
        world
    }

    /// Runs for a time, in which each step may bring a request with the deadly part.
    pub fn run(&mut self, time: Duration, deadly_share: f64, deadly_parts: &[Prefix]) {
        const STEP: Duration = Duration::from_millis(25);
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.exchange();
            self.restart_endpoints();
            self.advance();
            for _ in 0..2 {
                let subject = self.rng.random_range(10..30);
                self.arrive(&[COMMON, subject], "urgent");
            }
            if self.rng.random_bool(deadly_share) {
                let route = ["urgent", "bulk"][self.rng.random_range(0..2)];
                self.arrive(deadly_parts, route);
            }
        }
    }

    /// Lets heartbeats and probes take their course; a few heartbeats are lost.
    fn exchange(&mut self) {
        for index in 0..self.nodes.len() {
            let due = self.nodes[index].tick(self.now);
            for probe in due.probes {
                let accepted = self.is_up(probe.key);
                self.nodes[index].record_probe(probe.key, accepted, self.now);
            }
            for search in due.searches {
                let found = search
                    .peers
                    .iter()
                    .find(|_| self.is_up(search.key))
                    .copied();
                self.nodes[index].record_search(search.key, found, self.now);
            }
            self.send(index, copies(due.heartbeats));
        }
        let now = self.now;
        let arrived: Vec<_> = self
            .heartbeats
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, to, beat) in arrived {
            let (replies, _) = self.nodes[to].receive(&beat, now);
            let sender = Node::from(beat.node);
            self.send(to, replies.into_iter().map(|beat| (sender, beat)).collect());
        }
    }

    fn send(&mut self, from: usize, beats: Vec<(Node, Beat)>) {
        for (to, beat) in beats {
            let Some(to) = (0..self.nodes.len()).find(|index| node(*index as u8 + 1) == to) else {
                continue;
            };
            let is_cut = self.cut.contains(&from) || self.cut.contains(&to);
            if !is_cut && !self.rng.random_bool(0.03) {
                let delay = ms(self.rng.random_range(1..35));
                self.heartbeats.push((self.now + delay, to, beat));
            }
        }
    }

    fn is_up(&self, key: Key) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|endpoint| endpoint.key == key && endpoint.back_at.is_none())
    }

    /// Brings endpoints back under new ids.
    fn restart_endpoints(&mut self) {
        for index in 0..self.endpoints.len() {
            if self.endpoints[index].back_at.is_none_or(|at| at > self.now) {
                continue;
            }
            let gone = self.endpoints[index].name.clone();
            let info = endpoint(&format!("{gone}x"), "text", data_centre(index));
            self.endpoints[index] = Endpoint {
                name: info.id.clone(),
                key: info.key(),
                back_at: None,
            };
            for node in &mut self.nodes {
                let fact = Fact::Gone(gone.clone());
                publish(node, self.revision + 1, fact, self.now);
                let fact = Fact::Endpoint(info.clone());
                publish(node, self.revision + 2, fact, self.now);
            }
            self.revision += 2;
        }
    }

    fn arrive(&mut self, parts: &[Prefix], route: &str) {
        let node = self.rng.random_range(0..self.nodes.len());
        let mut request = decoded_request(route);
        request.prompt = prompt(parts);
        let fingerprint = self.rng.random();
        let admitted = self.nodes[node].admit(request, fingerprint, self.now);
        let is_sound = !parts.contains(&DEADLY);
        self.sound.arrived += usize::from(is_sound);
        match admitted {
            Ok(flight) => self.place(node, flight),
            Err(refusal) => {
                assert_eq!(refusal.cause, Cause::Quarantined);
                self.sound.quarantined += usize::from(is_sound);
            }
        }
    }

    fn place(&mut self, node: usize, mut flight: Flight) {
        if let Placement::Send(assignment) = self.nodes[node].place(&mut flight, self.now) {
            if is_deadly(&flight) {
                self.deadly_sends.push(self.now);
            }
            let attempt = assignment.attempt;
            self.open.push(Open {
                node,
                flight,
                attempt,
                began: false,
            });
        }
    }

    /// Begins and ends answers; a deadly one crashes its endpoint.
    fn advance(&mut self) {
        for index in 0..self.open.len() {
            let open = &mut self.open[index];
            if open.began || self.now < open.attempt.sent() + PREFILL {
                continue;
            }
            open.began = true;
            let (key, deadly) = (open.attempt.key(), is_deadly(&open.flight) && self.deadly);
            if deadly {
                self.crash(key);
            } else if self.is_up(key) {
                let Open {
                    node,
                    flight,
                    attempt,
                    ..
                } = &mut self.open[index];
                self.sound.began += usize::from(!is_deadly(flight) && flight.runs == 0);
                self.nodes[*node].record_answer_start(attempt, false, flight, self.now);
            }
        }
        self.end_broken();
        let now = self.now;
        let whole = |open: &mut Open| now >= open.attempt.sent() + PREFILL + GENERATION;
        for open in self.open.extract_if(.., whole) {
            self.nodes[open.node].finish(&open.attempt, End::Finished, &open.flight, now);
        }
    }

    pub fn crash(&mut self, key: Key) {
        let back_at = self.now + AWAY;
        let crashed = self.endpoints.iter_mut().find(|one| one.key == key);
        if let Some(endpoint) = crashed.filter(|one| one.back_at.is_none()) {
            endpoint.back_at = Some(back_at);
            self.crashes.push(self.now);
        }
    }

    /// Lets endpoints that are about to crash announce that they leave.
    pub fn drain_deadly(&mut self) {
        let deadly = self.open.iter().filter(|open| is_deadly(&open.flight));
        let keys: Vec<Key> = deadly.map(|open| open.attempt.key()).collect();
        for (index, one) in self.endpoints.iter().enumerate() {
            if !keys.contains(&one.key) {
                continue;
            }
            let info = registry::Endpoint {
                draining: true,
                ..endpoint(&one.name, "text", data_centre(index))
            };
            self.revision += 1;
            for node in &mut self.nodes {
                publish(node, self.revision, Fact::Endpoint(info.clone()), self.now);
            }
        }
    }

    /// Ends the attempts at endpoints that have crashed, and retries those that may be.
    fn end_broken(&mut self) {
        let open = std::mem::take(&mut self.open);
        let (kept, broken) = open
            .into_iter()
            .partition(|open| self.is_up(open.attempt.key()));
        self.open = kept;
        for mut open in broken {
            let node = &mut self.nodes[open.node];
            node.finish(&open.attempt, End::Broken, &open.flight, self.now);
            if node.next_step(&mut open.flight, End::Broken, self.now) == Next::Retry {
                self.place(open.node, open.flight);
            }
        }
    }

    /// Returns the number of deadly requests sent when the part had to be stopped everywhere.
    fn late_sends(&self) -> usize {
        let Some(fifth) = self.crashes.get(CRASHES - 1) else {
            return 0;
        };
        let late = self.deadly_sends.iter();
        late.filter(|&&sent| sent > *fifth + IN_FORCE).count()
    }

    /// Starts a node anew, with nothing but what the publisher says.
    pub fn restart(&mut self, index: usize) {
        let mut options = options(index as u8 + 1, data_centre(index));
        options.incarnation = self.rng.random();
        options.is_restart = true;
        let infos: Vec<_> = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(index, one)| endpoint(&one.name, "text", data_centre(index)))
            .collect();
        let node = Dispatcher::new(options, self.now);
        self.nodes[index] = configure(node, &infos);
        self.open.retain(|open| open.node != index);
    }

    pub fn assert_stopped(&self, what: &str) {
        assert!(
            self.late_sends() <= MAX_LATE,
            "{what}: {} sent late, {} crashes, at {:?}",
            self.late_sends(),
            self.crashes.len(),
            self.crashes
        );
    }

    /// Asserts that sound requests have been served all along, but for those beside a crash.
    pub fn assert_sound(&self, what: &str) {
        let Sound {
            arrived,
            quarantined,
            began,
        } = self.sound;
        assert!(
            quarantined * 50 <= arrived && began * 10 >= arrived * 9,
            "{what}: {:?}",
            self.sound
        );
    }
}
