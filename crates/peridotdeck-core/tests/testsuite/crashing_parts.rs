//! A part of a prompt that crashes each endpoint which begins to answer on it.
//!
//! Requests with the part differ in all else and come at every node; sound requests share their
//! organisation and their other parts. The nodes must stop the part together, and nothing else.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher, Key, Node, Prefix,
    attempt::{Attempt, End, Next, Placement},
    crashes::{List, Subject},
    flight::{Flight, Part, Prompt},
    refusal::Cause,
    registry::Fact,
};
use peridotdeck_wire::beat::Beat;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::dispatch::{
    REGIONS, configure, copies, decoded_request, endpoint, ms, node, options, publish,
};

/// Part on which each answer crashes its endpoint.
const DEADLY: Prefix = 666;

/// Part that all prompts share.
const COMMON: Prefix = 1;

/// Endpoints that may crash before the part must be stopped.
const CRASHES: usize = 5;

/// Requests with the part that may still be sent later than [`IN_FORCE`] after the fifth crash.
const MAX_LATE: usize = 3;

/// Time after the fifth crash in which all nodes must have stopped the part.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Time for which a crashed endpoint is away.
const AWAY: Duration = Duration::from_secs(3);

/// Time from the arrival of a request at an endpoint to its first event, and from there to its end.
const PREFILL: Duration = Duration::from_millis(150);
const GENERATION: Duration = Duration::from_millis(600);

struct Endpoint {
    name: String,
    key: Key,
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
struct Sound {
    arrived: usize,
    quarantined: usize,
    /// Those that an endpoint began to answer at the first attempt.
    began: usize,
}

struct World {
    now: Duration,
    rng: SmallRng,
    nodes: Vec<Dispatcher>,
    /// Nodes that exchange no heartbeats with others.
    cut: Vec<usize>,
    endpoints: Vec<Endpoint>,
    heartbeats: Vec<(Duration, usize, Beat)>,
    open: Vec<Open>,
    revision: u64,
    /// Whether the deadly part still crashes endpoints.
    deadly: bool,
    crashes: Vec<Duration>,
    deadly_sends: Vec<Duration>,
    sound: Sound,
}

fn data_centre(index: usize) -> &'static str {
    REGIONS[index % REGIONS.len()].0
}

fn is_deadly(flight: &Flight) -> bool {
    let mut parts = flight.prompt.shared.iter();
    parts.any(|part| part.prefix == DEADLY)
}

/// Returns a prompt with these shared parts, the shortest first.
fn prompt(parts: &[Prefix]) -> Prompt {
    let part = |(index, prefix): (usize, &Prefix)| Part {
        prefix: *prefix,
        tokens: 500 * (index as u32 + 1),
    };
    Prompt {
        tokens: 500 * parts.len() as u32 + 300,
        output: 100,
        shared: parts.iter().enumerate().map(part).collect(),
    }
}

impl World {
    fn new(nodes: usize, endpoints: usize, seed: u64) -> Self {
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
    fn run(&mut self, time: Duration, deadly_share: f64, deadly_parts: &[Prefix]) {
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

    fn crash(&mut self, key: Key) {
        let back_at = self.now + AWAY;
        let crashed = self.endpoints.iter_mut().find(|one| one.key == key);
        if let Some(endpoint) = crashed.filter(|one| one.back_at.is_none()) {
            endpoint.back_at = Some(back_at);
            self.crashes.push(self.now);
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
    fn restart(&mut self, index: usize) {
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

    fn assert_stopped(&self, what: &str) {
        assert!(
            self.late_sends() <= MAX_LATE,
            "{what}: {} sent late, {} crashes, at {:?}",
            self.late_sends(),
            self.crashes.len(),
            self.crashes
        );
    }

    /// Asserts that sound requests have been served all along, but for those beside a crash.
    fn assert_sound(&self, what: &str) {
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

/// Guards against a part that crashes one endpoint after the other, since no two requests are alike.
#[test]
fn part_is_stopped_by_all_nodes() {
    let orders: [&[Prefix]; 4] = [
        &[COMMON, DEADLY],
        &[DEADLY, 12],
        &[COMMON, DEADLY, 13],
        &[COMMON, 14, DEADLY],
    ];
    for (seed, parts) in orders.into_iter().enumerate() {
        let mut world = World::new(7, 12, seed as u64);
        world.run(ms(12_000), 0.1, parts);
        world.assert_stopped(&format!("{parts:?}"));
        assert!(world.crashes.len() <= CRASHES + MAX_LATE, "{parts:?}");
        world.sound = Sound::default();
        world.run(ms(20_000), 0.1, parts);
        world.assert_stopped(&format!("{parts:?}"));
        world.assert_sound(&format!("{parts:?}"));
    }
}

/// Guards against requests with the part that come rarely, long after the last crash.
#[test]
fn part_that_comes_rarely_is_stopped() {
    let mut world = World::new(7, 12, 11);
    world.run(ms(120_000), 0.01, &[COMMON, 12, DEADLY]);
    assert!(world.crashes.len() >= 3);
    world.assert_stopped("rare");
    world.assert_sound("rare");
}

/// Guards against nodes that forget the part with a restart, or miss it behind a network partition.
#[test]
fn part_is_stopped_by_nodes_that_come_back() {
    let parts = [COMMON, DEADLY];
    let mut world = World::new(7, 12, 21);
    world.cut = vec![1];
    world.run(ms(8_000), 0.1, &parts);
    world.cut.clear();
    world.run(ms(4_500), 0.0, &parts);
    let before = world.deadly_sends.len();
    for round in 0..10 {
        world.restart(round % 7);
        // A new node gets its first callers when it knows the configuration.
        world.run(ms(150), 0.0, &parts);
        world.run(ms(2_000), 0.2, &parts);
    }
    let sent = world.deadly_sends.len() - before;
    assert!(sent <= MAX_LATE, "{sent} after nodes came back");
}

/// Guards against the blame of sound parts when many endpoints crash together for another reason.
#[test]
fn parts_of_requests_beside_an_outage_are_served() {
    let mut world = World::new(7, 12, 31);
    for round in 0..4 {
        for index in 0..4 {
            let key = world.endpoints[(round + index * 3) % 12].key;
            world.crash(key);
        }
        world.run(ms(6_000), 0.0, &[COMMON]);
    }
    let Sound {
        arrived,
        quarantined,
        ..
    } = world.sound;
    assert!(
        quarantined * 200 <= arrived,
        "{quarantined} of {arrived} sound requests were refused"
    );
}

/// Guards against a proof by an answer that ended with the connection of its endpoint's last moment.
#[test]
fn answer_that_may_be_cut_is_no_proof() {
    let infos: Vec<_> = (0..4)
        .map(|index| endpoint(&format!("e{index}"), "text", data_centre(index)))
        .collect();
    let mut node = configure(Dispatcher::new(options(1, data_centre(0)), ms(0)), &infos);
    let mut deadly = decoded_request("bulk");
    deadly.prompt = prompt(&[COMMON, DEADLY]);
    for round in 0..3 {
        let now = ms(round * 1_000);
        let mut flight = node.admit(deadly.clone(), round, now).expect("admitted");
        let Placement::Send(assignment) = node.place(&mut flight, now) else {
            panic!("an endpoint is left");
        };
        let mut attempt = assignment.attempt;
        node.record_answer_start(&mut attempt, false, &flight, now);
        node.finish(&attempt, End::Unconfirmed, &flight, now);
        node.record_probe(attempt.key(), false, now + ms(30));
        node.tick(now + ms(500));
    }
    let refusal = node.admit(deadly, 9, ms(4_000)).expect_err("refused");
    assert_eq!(refusal.cause, Cause::Quarantined);
}

/// Guards against a quarantine that outlives its reason.
#[test]
fn part_that_no_longer_crashes_endpoints_is_served_again() {
    let parts = [COMMON, DEADLY];
    let mut world = World::new(7, 12, 41);
    world.run(ms(8_000), 0.1, &parts);
    world.deadly = false;
    world.run(ms(400_000), 0.05, &parts);
    let before = world.deadly_sends.len();
    world.run(ms(10_000), 0.1, &parts);
    assert!(world.deadly_sends.len() - before >= 20);
}

/// Guards against trials of all nodes that together crash one endpoint after the other.
#[test]
fn trials_become_rare() {
    let mut world = World::new(7, 12, 51);
    world.run(ms(500_000), 0.02, &[COMMON, DEADLY]);
    assert!(world.crashes.len() > 3, "a trial has been made");
    world.assert_stopped("trials");
}

/// Guards against a quarantine of what no longer comes, and against state without end.
#[test]
fn state_is_bounded_and_ends_with_its_reason() {
    let mut list = List::default();
    for endpoint in 1..=3 {
        list.record(Subject::Part(DEADLY), endpoint, ms(0));
    }
    for subject in 0..5_000 {
        list.record(Subject::Request(subject), 9, ms(subject));
        list.clear_part(subject + 1_000, ms(subject));
    }
    assert_eq!(list.quarantines(ms(5_000)).count(), 1, "the worst is kept");
    assert!(list.reports(8, 0, ms(5_000)).len() <= 8);
    assert!(list.proofs(6, ms(5_000)).len() <= 6);
    list.note_use(Subject::Part(DEADLY), ms(300_000));
    list.expire(ms(899_000));
    assert_eq!(list.quarantines(ms(899_000)).count(), 1, "it still comes");
    list.expire(ms(900_000));
    assert_eq!(list.quarantines(ms(900_000)).count(), 0);
    assert!(list.reports(8, 0, ms(900_000)).is_empty());
}

/// Guards against crashes that grow younger while nodes tell each other of them, and never end.
#[test]
fn reported_crashes_keep_their_age() {
    let (mut one, mut other) = (List::default(), List::default());
    one.record(Subject::Part(DEADLY), 1, ms(1_000));
    for step in 1..=100 {
        let now = ms(1_000 + step * 10_000);
        for report in one.reports(8, 0, now) {
            other.receive(report, now);
        }
        for report in other.reports(8, 0, now) {
            one.receive(report, now);
        }
        one.expire(now);
        other.expire(now);
    }
    assert_eq!(one.count(Subject::Part(DEADLY)), 0);
    assert_eq!(other.count(Subject::Part(DEADLY)), 0);
}
