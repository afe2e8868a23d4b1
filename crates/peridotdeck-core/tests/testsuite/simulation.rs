//! A few nodes, a lossy network and endpoints that answer after a while.
//!
//! Invariants that span nodes are asserted here at every step; those of one node are asserted
//! inside the program.

use std::{collections::BTreeMap, time::Duration};

use peridotdeck_core::{
    Action, Event, Node, Strategy, Verdict,
    engine::Report,
    event::End,
    flight::Stage,
    id,
    node::{Setup, TICK_INTERVAL},
    request::{Call, Claim, Refusal},
};
use peridotdeck_policy::{Class, Config, Organisation, Parts, Policy, Service, digest_name, split};
use peridotdeck_wire::{Delta, Envelope, Member, Outcome, Part};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Slots of each engine when warm.
pub const SLOTS: u32 = 4;
/// Slots of each engine when cold.
pub const COLD_SLOTS: u32 = 1;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    Finished,
    Refused(Refusal),
    Replayed,
    Gone,
}

pub struct Seat {
    pub node: Option<Node>,
    pub id: id::Node,
    pub place: String,
    started: Duration,
    incarnation: u64,
    sequence: u64,
    paused_until: Duration,
    highest: id::Revision,
}

struct Letter {
    due: Duration,
    to: id::Node,
    envelope: Envelope,
}

struct Run {
    seat: usize,
    request: id::Request,
    attempt: id::Attempt,
    endpoint: id::Endpoint,
    end: Duration,
    state: Reach,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Reach {
    Running,
    Unreachable,
    Broken,
}

#[derive(Clone, Copy, Default)]
pub struct Noise {
    pub loss: f64,
    pub copies: f64,
    pub delay_ms: u64,
}

pub struct World {
    pub now: Duration,
    pub seats: Vec<Seat>,
    pub noise: Noise,
    pub service_time: Duration,
    pub endings: BTreeMap<id::Request, Ending>,
    pub key_runs: BTreeMap<String, u32>,
    pub down: Vec<id::Endpoint>,
    pub cut: Vec<String>,
    pub config: Config,
    pub revision: id::Revision,
    /// Revision that the platform serves while it is stale.
    pub stale: Option<id::Revision>,
    pub events: u64,
    pub runs_of: BTreeMap<id::Endpoint, u32>,
    pub finished_of: BTreeMap<id::Endpoint, u32>,
    boots: BTreeMap<id::Endpoint, u64>,
    crashed_at: BTreeMap<id::Endpoint, Duration>,
    parts: Vec<Part>,
    roster: id::Revision,
    letters: Vec<Letter>,
    runs: Vec<Run>,
    reached: Vec<id::Request>,
    rng: SmallRng,
}

pub fn policy(places: &[(&str, usize)]) -> Config {
    let mut policy = Policy::new()
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .class(Class::interactive("advice", 1).first_token_ms(1_000))
        .class(Class::interactive("reorder", 0).whole_ms(4_000))
        .class(
            Class::bulk("draft", 4)
                .whole_ms(3_600_000)
                .min_share_percent(10),
        )
        .organisation(
            Organisation::named("matrah")
                .key("m")
                .rate(10_000, 10_000)
                .concurrency(10_000),
        )
        .organisation(
            Organisation::named("barka")
                .key("b")
                .rate(10_000, 10_000)
                .concurrency(10_000),
        );
    let mut model = Service::model("wickmind", "counter");
    let mut plain = Service::plain("refill-desk", "reorder").unrepeatable("/", "reorder");
    for (index, (place, _)) in places.iter().enumerate() {
        policy = policy.place(place, &format!("region-{index}"));
        for port in 0..2 {
            let address = format!("127.0.0.1:{}", 9_000 + index * 10 + port);
            model = model.sized_endpoint(place, &address, SLOTS, COLD_SLOTS);
        }
        plain = plain.sized_endpoint(place, &format!("127.0.0.1:{}", 9_500 + index), 64, 64);
    }
    policy
        .service(model)
        .service(plain)
        .build()
        .expect("the test configuration is valid")
}

impl World {
    pub fn new(places: &[(&str, usize)], seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            seats: Vec::new(),
            noise: Noise {
                delay_ms: 3,
                ..Noise::default()
            },
            service_time: Duration::from_millis(200),
            endings: BTreeMap::new(),
            key_runs: BTreeMap::new(),
            down: Vec::new(),
            cut: Vec::new(),
            config: policy(places),
            revision: 0,
            stale: None,
            events: 0,
            runs_of: BTreeMap::new(),
            finished_of: BTreeMap::new(),
            boots: BTreeMap::new(),
            crashed_at: BTreeMap::new(),
            parts: Vec::new(),
            roster: 0,
            letters: Vec::new(),
            runs: Vec::new(),
            reached: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for (place, count) in places {
            for _ in 0..*count {
                world.add_seat(place);
            }
        }
        world.publish();
        world.list();
        world
    }

    /// Starts a world and lets it settle.
    pub fn settled(places: &[(&str, usize)], seed: u64) -> Self {
        let mut world = Self::new(places, seed);
        world.run(8_000);
        world
    }

    /// Starts a world whose engines bear their full load.
    pub fn warmed(places: &[(&str, usize)], seed: u64) -> Self {
        let mut world = Self::settled(places, seed);
        for service in &world.config.services {
            world.finished_of.extend(
                service
                    .endpoints
                    .iter()
                    .map(|endpoint| (endpoint.id, SLOTS)),
            );
        }
        world.run(2_000);
        world
    }

    pub fn add_seat(&mut self, place: &str) -> usize {
        let id = self.seats.len() as u32 + 1;
        self.seats.push(Seat {
            node: None,
            id,
            place: place.to_owned(),
            started: self.now,
            incarnation: 0,
            sequence: 0,
            paused_until: Duration::ZERO,
            highest: 0,
        });
        let seat = self.seats.len() - 1;
        self.start(seat);
        seat
    }

    /// Starts a seat's node, empty.
    pub fn start(&mut self, seat: usize) {
        let now = self.now;
        let seat = &mut self.seats[seat];
        seat.incarnation += 1;
        seat.started = now;
        seat.highest = 0;
        seat.node = Some(Node::new(Setup {
            node: seat.id,
            data_centre: seat.place.clone(),
            incarnation: seat.incarnation,
            seed: u64::from(seat.id),
            strategy: Strategy::Deadline,
        }));
    }

    /// A process dies: its runs go on at the endpoints, but nobody reads their answers.
    pub fn kill(&mut self, seat: usize) {
        if let Some(node) = self.seats[seat].node.take() {
            for flight in node.request_table().flights() {
                self.endings.insert(flight.request, Ending::Gone);
            }
        }
        self.runs.retain(|run| run.seat != seat);
    }

    pub fn pause(&mut self, seat: usize, time: Duration) {
        self.seats[seat].paused_until = self.now + time;
    }

    pub fn publish(&mut self) {
        self.revision += 1;
        let parts: Parts = split(&self.config);
        for (key, value) in parts {
            let part = Part {
                key,
                revision: self.revision,
                value: value.to_string(),
            };
            match self.parts.iter_mut().find(|each| each.key == part.key) {
                Some(old) if old.value == part.value => {}
                Some(old) => *old = part,
                None => self.parts.push(part),
            }
        }
    }

    pub fn list(&mut self) {
        self.roster += 1;
    }

    fn members(&self) -> Vec<Member> {
        let seats = self.seats.iter();
        seats
            .map(|seat| Member {
                node: seat.id,
                place: seat.place.clone(),
                peers: String::new(),
                callers: String::new(),
                leaving: false,
            })
            .collect()
    }

    /// The platform answers a seat's watch.
    fn feed(&mut self, seat: usize) {
        if self.cut.contains(&self.seats[seat].place) {
            return;
        }
        let Some(node) = &self.seats[seat].node else {
            return;
        };
        let from = node.config().revision();
        let to = self.stale.unwrap_or(self.revision);
        if from >= to && node.view().vm_list_revision() >= self.roster {
            return;
        }
        let parts = self
            .parts
            .iter()
            .filter(|part| part.revision > from && part.revision <= to)
            .cloned()
            .collect();
        let (roster, members) = (self.roster, self.members());
        self.give(
            seat,
            Event::Published(Delta {
                nonce: 0,
                from,
                to,
                parts,
                roster,
                members,
            }),
        );
    }

    pub fn is_paused(&self, seat: usize) -> bool {
        self.seats[seat].paused_until > self.now
    }

    pub fn give(&mut self, seat: usize, event: Event) {
        self.events += 1;
        let now = self.now.saturating_sub(self.seats[seat].started);
        let Some(node) = self.seats[seat].node.as_mut() else {
            return;
        };
        let actions = node.handle(now, event);
        let revision = node.config().revision();
        assert!(
            revision >= self.seats[seat].highest,
            "a configuration reverted"
        );
        self.seats[seat].highest = revision;
        for action in actions {
            self.act(seat, action);
        }
    }

    fn act(&mut self, seat: usize, action: Action) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                endpoint,
            } => self.dispatch(seat, request, attempt, endpoint),
            Action::Refuse { request, refusal } => {
                let reached = self.reached.contains(&request);
                assert!(
                    refusal.verdict != Verdict::NotRun || !reached,
                    "an untrue not run"
                );
                self.finish(request, Ending::Refused(refusal));
            }
            Action::Replay { request, .. } => self.finish(request, Ending::Replayed),
            Action::Stop { attempt } => self.stop(attempt),
            Action::Send { to, body } => self.post(seat, &to, body),
            Action::Poll { endpoint } => self.report(seat, endpoint),
            _ => {}
        }
    }

    fn report(&mut self, seat: usize, endpoint: id::Endpoint) {
        if self.down.contains(&endpoint) || self.is_paused(seat) {
            return;
        }
        let running = self.load(endpoint);
        let boot = self.boots.get(&endpoint).copied().unwrap_or(0);
        let warm = self.bears(endpoint) == SLOTS;
        self.give(
            seat,
            Event::Reported {
                endpoint,
                report: Report {
                    boot,
                    running,
                    queued: 0,
                    warm,
                },
            },
        );
    }

    /// Requests that an endpoint runs; whether their readers stand still makes no difference to it.
    fn load(&self, endpoint: id::Endpoint) -> u32 {
        let at_endpoint = self.runs.iter().filter(|run| run.endpoint == endpoint);
        at_endpoint
            .filter(|run| run.state == Reach::Running && run.end > self.now)
            .count() as u32
    }

    fn bears(&self, endpoint: id::Endpoint) -> u32 {
        let finished = self.finished_of.get(&endpoint).copied().unwrap_or(0);
        (COLD_SLOTS + finished).min(SLOTS)
    }

    fn finish(&mut self, request: id::Request, ending: Ending) {
        let old = self.endings.insert(request, ending);
        // A caller that has gone may still cause an end that nobody sees.
        let first = old.is_none_or(|old| old == Ending::Gone);
        assert!(first, "request {request:x} ended twice");
    }

    fn dispatch(
        &mut self,
        seat: usize,
        request: id::Request,
        attempt: id::Attempt,
        endpoint: id::Endpoint,
    ) {
        let node = self.seats[seat]
            .node
            .as_ref()
            .expect("only running nodes dispatch");
        let flight = node
            .request_table()
            .flights()
            .iter()
            .find(|flight| flight.request == request);
        let key = flight
            .and_then(|flight| flight.call.claim.as_ref())
            .map(|claim| claim.key.clone());
        let unreachable = self.down.contains(&endpoint);
        if !unreachable {
            *self.runs_of.entry(endpoint).or_default() += 1;
            self.reached.push(request);
            if let Some(key) = key {
                let runs = self.key_runs.entry(key).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "a call that must run at most once ran twice");
            }
        }
        let (end, state) = if unreachable {
            (self.now, Reach::Unreachable)
        } else {
            (self.now + self.service_time, Reach::Running)
        };
        self.runs.push(Run {
            seat,
            request,
            attempt,
            endpoint,
            end,
            state,
        });
        self.check_cold(endpoint);
    }

    /// All nodes together never give a cold endpoint more than it bears.
    fn check_cold(&self, endpoint: id::Endpoint) {
        let running = self.load(endpoint);
        let is_engine = self.config.services.iter().any(|service| {
            service.name == "wickmind" && service.endpoints.iter().any(|each| each.id == endpoint)
        });
        // An endpoint that restarts while nothing runs there can be found out only by the next load
        // report, which owners read once a second.
        let crashed = self.crashed_at.get(&endpoint).copied();
        if crashed.is_some_and(|at| self.now < at + Duration::from_millis(1_100)) {
            return;
        }
        // A warm endpoint queues what the two nodes send that may help themselves while its owner
        // does not answer; a cold one must not get more than it bears.
        let own_shares = if self.bears(endpoint) == SLOTS { 2 } else { 0 };
        let bears = self.bears(endpoint) + own_shares;
        assert!(
            !is_engine || running <= bears,
            "endpoint {endpoint} runs {running}, bears {bears}\n{}",
            self.describe(endpoint)
        );
    }

    /// Who uses an endpoint, and what its owners think.
    fn describe(&self, endpoint: id::Endpoint) -> String {
        let mut lines = vec![format!("now {:?}", self.now)];
        for run in self.runs.iter().filter(|run| run.endpoint == endpoint) {
            lines.push(format!(
                "seat {} runs {:x} until {:?}",
                run.seat, run.attempt, run.end
            ));
        }
        for (index, seat) in self.seats.iter().enumerate() {
            let Some(node) = &seat.node else { continue };
            for pool in node.pools().schedulers() {
                for engine in pool
                    .engines()
                    .iter()
                    .filter(|engine| engine.id() == endpoint)
                {
                    let (phase, in_flight) = (engine.phase(), engine.in_flight());
                    lines.push(format!(
                        "seat {index} owns: {phase:?}, {in_flight} in flight"
                    ));
                }
            }
            for flight in node.request_table().flights() {
                lines.push(format!(
                    "seat {index} {:x} {:?}",
                    flight.request, flight.stage
                ));
            }
        }
        lines.join("\n")
    }

    fn stop(&mut self, attempt: id::Attempt) {
        if let Some(at) = self.runs.iter().position(|run| run.attempt == attempt) {
            let run = self.runs.swap_remove(at);
            let gone = self.endings.get(&run.request) == Some(&Ending::Gone);
            let outcome = if gone {
                Outcome::Cancelled
            } else {
                Outcome::Preempted
            };
            self.end(&run, outcome);
        }
    }

    fn end(&mut self, run: &Run, outcome: Outcome) {
        if outcome == Outcome::Finished {
            *self.finished_of.entry(run.endpoint).or_default() += 1;
            self.finish(run.request, Ending::Finished);
        }
        let end = End {
            outcome,
            tokens: 0,
            time_to_first_token: Some(Duration::from_millis(30)),
            duration: self.service_time,
            answer: Some((200, "done".to_owned())),
        };
        self.give(
            run.seat,
            Event::Ended {
                attempt: run.attempt,
                end,
            },
        );
    }

    /// An endpoint dies with everything that it runs.
    pub fn crash(&mut self, endpoint: id::Endpoint) {
        self.finished_of.insert(endpoint, 0);
        *self.boots.entry(endpoint).or_default() += 1;
        self.crashed_at.insert(endpoint, self.now);
        let now = self.now;
        for run in self.runs.iter_mut().filter(|run| run.endpoint == endpoint) {
            (run.end, run.state) = (now, Reach::Broken);
        }
        self.finish_runs();
    }

    fn post(&mut self, seat: usize, to: &Member, body: peridotdeck_wire::Body) {
        let from = &mut self.seats[seat];
        from.sequence += 1;
        let envelope = Envelope {
            sender: from.id,
            incarnation: from.incarnation,
            place: digest_name(&from.place) as u32,
            sequence: from.sequence,
            body,
        };
        let parted = from.place != to.place
            && (self.cut.contains(&from.place) || self.cut.contains(&to.place));
        if parted || self.rng.random_bool(self.noise.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.noise.copies));
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.noise.delay_ms));
            let letter = Letter {
                due: self.now + delay,
                to: to.node,
                envelope: envelope.clone(),
            };
            self.letters.push(letter);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.step();
        }
    }

    /// When no process is left that remembers, the endpoints are the only ones that could tell.
    fn note_amnesia(&mut self) {
        let remembers = |seat: &Seat| {
            seat.node
                .as_ref()
                .is_some_and(|node| node.witness().is_ready())
        };
        if self.now > Duration::from_secs(8) && !self.seats.iter().any(remembers) {
            self.key_runs.clear();
        }
    }

    fn step(&mut self) {
        /// Time between two deliveries.
        const STEP: Duration = Duration::from_millis(1);
        self.now += STEP;
        self.note_amnesia();
        self.deliver();
        self.finish_runs();
        if self
            .now
            .as_millis()
            .is_multiple_of(TICK_INTERVAL.as_millis())
        {
            for seat in 0..self.seats.len() {
                if !self.is_paused(seat) {
                    self.give(seat, Event::Tick);
                    self.feed(seat);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let paused: Vec<id::Node> = (0..self.seats.len())
            .filter(|&seat| self.is_paused(seat))
            .map(|seat| self.seats[seat].id)
            .collect();
        let due = |letter: &mut Letter| letter.due <= now && !paused.contains(&letter.to);
        let letters: Vec<Letter> = self.letters.extract_if(.., due).collect();
        for letter in letters {
            if let Some(seat) = self.seats.iter().position(|seat| seat.id == letter.to) {
                self.give(seat, Event::Message(letter.envelope));
            }
        }
    }

    fn finish_runs(&mut self) {
        let due: Vec<Run> = {
            let (now, seats) = (self.now, &self.seats);
            let ready = |run: &mut Run| run.end <= now && seats[run.seat].paused_until <= now;
            self.runs.extract_if(.., ready).collect()
        };
        for run in due {
            let outcome = match run.state {
                Reach::Running => Outcome::Finished,
                Reach::Unreachable => Outcome::Unreachable,
                Reach::Broken => Outcome::Broken,
            };
            self.end(&run, outcome);
        }
    }

    /// Sends a request to a seat; none if its process is dead or stands still.
    pub fn send(&mut self, seat: usize, call: Call) -> Option<id::Request> {
        if self.is_paused(seat) {
            return None;
        }
        let request = self.seats[seat].node.as_mut()?.next_request_id();
        self.give(seat, Event::Arrive { request, call });
        Some(request)
    }

    pub fn node(&self, seat: usize) -> &Node {
        self.seats[seat]
            .node
            .as_ref()
            .expect("the seat's process runs")
    }

    /// Sums over all nodes.
    pub fn running(&self, class: &str) -> usize {
        let nodes = self.seats.iter().filter_map(|seat| seat.node.as_ref());
        let flights = nodes.flat_map(|node| node.request_table().flights());
        flights
            .filter(|each| each.call.class == class && matches!(each.stage, Stage::Running(_)))
            .count()
    }

    pub fn finished(&self) -> usize {
        self.endings
            .values()
            .filter(|ending| **ending == Ending::Finished)
            .count()
    }
}

pub fn call(class: &str, organisation: &str, serial: u64) -> Call {
    Call {
        organisation: organisation.to_owned(),
        service: "wickmind".to_owned(),
        class: class.to_owned(),
        prompt_tokens: 100,
        max_tokens: 0,
        prefix: 0,
        fingerprint: serial + 1,
        idempotent: true,
        resumable: true,
        claim: None,
    }
}

pub fn reorder(key: u64) -> Call {
    Call {
        service: "refill-desk".to_owned(),
        class: "reorder".to_owned(),
        idempotent: false,
        resumable: false,
        claim: Some(Claim {
            key: format!("{key:032x}"),
            digest: key,
        }),
        ..call("reorder", "matrah", key << 20)
    }
}
