//! Random sequences over several nodes: late, lost and doubled beats, restarts, changing endpoints.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bolero::check;
use peridotdeck_core::{
    Verdict,
    dispatch::{
        Dispatcher, Key, Node,
        attempt::{Attempt, End, Next, Placement},
        config::{Config, LAST_RANK},
        flight::Flight,
        registry::{Area, Fact},
    },
};
use peridotdeck_wire::beat::Beat;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::dispatch::{REGIONS, ask, config, dispatcher, endpoint, ms, node, prompt, report};

const NODES: usize = 4;
const ROUTES: [&str; 4] = ["urgent", "bulk", "lookup", "booking"];
const ENDS: [End; 10] = [
    End::Finished,
    End::Failed,
    End::Rejected,
    End::Misdirected,
    End::Unreachable,
    End::Broken,
    End::Garbled,
    End::Silent,
    End::TimedOut,
    End::Cancelled,
];

/// A request at its node, with the attempt in progress.
struct Open {
    node: usize,
    flight: Flight,
    attempt: Attempt,
    runs: u32,
}

struct World {
    now: Duration,
    nodes: Vec<Dispatcher>,
    beats: Vec<(Node, Beat)>,
    open: Vec<Open>,
    revision: u64,
    version: u64,
    /// Sends to cold endpoints by endpoint and second.
    cold: BTreeMap<(Key, u64), u32>,
    cold_until: BTreeMap<String, Duration>,
}

fn place_of(at: usize) -> &'static str {
    REGIONS[at % 2].0
}

/// A configuration in which one class is less urgent than the others of its service, and may wait.
fn ranked(version: u64) -> Config {
    let mut config = config(version);
    for route in &mut config.routes {
        let priority = u8::from(route.name == "bulk");
        Arc::make_mut(route).priority = priority;
    }
    config
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: ms(10_000),
            nodes: Vec::new(),
            beats: Vec::new(),
            open: Vec::new(),
            revision: 1,
            version: 1,
            cold: BTreeMap::new(),
            cold_until: BTreeMap::new(),
        };
        for at in 0..NODES {
            world.nodes.push(world.fresh(at));
        }
        world
    }

    fn fresh(&self, at: usize) -> Dispatcher {
        let endpoints: Vec<_> = (0..4).map(|number| self.endpoint(number, 1)).collect();
        let mut fresh = dispatcher(at as u8 + 1, place_of(at), &endpoints);
        let facts = vec![Fact::Config(ranked(self.version))];
        fresh.apply_report(report(Area::Policy, self.revision, true, facts), self.now);
        fresh
    }

    fn endpoint(&self, number: u8, born: u64) -> peridotdeck_core::dispatch::registry::Endpoint {
        let service = if number.is_multiple_of(2) {
            "text"
        } else {
            "desk"
        };
        let place = place_of(usize::from(number / 2));
        let mut endpoint = endpoint(&format!("e{number}"), service, place);
        endpoint.born = born;
        let until = self.cold_until.get(&endpoint.id).copied();
        endpoint.cold = until.unwrap_or_default().saturating_sub(self.now);
        endpoint
    }

    fn step(&mut self, kind: u8, value: u8) {
        let at = usize::from(value) % NODES;
        match kind % 10 {
            0 | 1 => self.tick(at),
            2 | 3 => self.send(at, value),
            4 | 5 => self.end(value),
            6 => self.deliver(value),
            7 => self.change(value),
            8 if value.is_multiple_of(8) => {
                self.open.retain(|open| open.node != at);
                self.nodes[at] = self.fresh(at);
            }
            _ => self.now += ms(u64::from(value)),
        }
    }

    fn tick(&mut self, at: usize) {
        let before = self.nodes[at].registry().config().map(|each| each.version);
        let due = self.nodes[at].tick(self.now);
        self.beats.extend(due.heartbeats);
        for probe in due.probes {
            self.nodes[at].record_probe(probe.key, probe.key.is_multiple_of(2), self.now);
        }
        for request in due.snapshot_requests {
            let peer = (0..NODES).find(|&peer| node(peer as u8 + 1) == request.node);
            let Some(peer) = peer else { continue };
            let registry = self.nodes[peer].registry();
            let snapshot = registry.snapshot(request.area, request.known, self.now);
            self.nodes[at].adopt(snapshot, self.now);
        }
        let after = self.nodes[at].registry().config().map(|each| each.version);
        assert!(before <= after, "a configuration never goes back");
    }

    fn send(&mut self, at: usize, value: u8) {
        let mut ask = ask(ROUTES[usize::from(value / 4) % ROUTES.len()]);
        ask.id = format!("{value}");
        ask.prompt = prompt(u64::from(value % 5) + 2, 2_000, u32::from(value) * 40);
        // A few requests come again and again, and are refused once they have crashed endpoints.
        let fingerprint = u64::from(value) * u64::from(value % 8) + self.now.as_millis() as u64;
        match self.nodes[at].admit(ask, fingerprint, self.now) {
            Ok(flight) => self.place(at, flight, 0),
            Err(refusal) => assert_eq!(refusal.verdict, Verdict::NotRun),
        }
    }

    fn place(&mut self, at: usize, mut flight: Flight, runs: u32) {
        match self.nodes[at].place(&mut flight, self.now) {
            Placement::Send(order) => {
                assert!(order.rank <= LAST_RANK);
                let key = order.attempt.key();
                let registry = self.nodes[at].registry();
                let listed = registry.endpoints().iter().find(|each| each.key() == key);
                let listed = listed.expect("only listed endpoints are used");
                assert!(!listed.draining, "{} is leaving", listed.id);
                assert!(
                    registry
                        .closed()
                        .binary_search(&listed.data_centre)
                        .is_err()
                );
                if listed.cold > Duration::ZERO
                    && self
                        .cold_until
                        .get(&listed.id)
                        .is_some_and(|until| *until > self.now)
                {
                    *self.cold.entry((key, self.now.as_secs())).or_default() += 1;
                }
                self.open.push(Open {
                    node: at,
                    flight,
                    attempt: order.attempt,
                    runs,
                });
            }
            Placement::Refuse(refusal, _) => {
                let truth = runs == 0;
                assert_eq!(refusal.verdict == Verdict::NotRun, truth, "a true verdict");
                if let Some(wait) = refusal.retry_after {
                    assert!(wait <= flight.route.timeout / 3);
                }
            }
            Placement::Wait(delay) => assert!(delay.time > Duration::ZERO),
        }
    }

    fn end(&mut self, value: u8) {
        if self.open.is_empty() {
            return;
        }
        let at = usize::from(value) % self.open.len();
        let Open {
            node,
            mut flight,
            attempt,
            runs,
        } = self.open.swap_remove(at);
        let end = ENDS[usize::from(value / 3) % ENDS.len()];
        let dispatcher = &mut self.nodes[node];
        dispatcher.finish(&attempt, end, &flight, self.now);
        if matches!(end, End::Finished | End::Cancelled) {
            return;
        }
        let runs = runs + u32::from(end.verdict() != Verdict::NotRun);
        match dispatcher.next_step(&mut flight, end, self.now) {
            Next::Retry => {
                assert!(runs == 0 || flight.route.is_repeatable(), "one run at most");
                assert!(runs < flight.route.attempts);
                self.place(node, flight, runs);
            }
            Next::GiveUp(refusal) => {
                assert_eq!(
                    refusal.verdict == Verdict::NotRun,
                    runs == 0,
                    "a true verdict"
                );
            }
        }
    }

    /// Beats arrive late, twice, in any order, or never.
    fn deliver(&mut self, value: u8) {
        if self.beats.is_empty() {
            return;
        }
        let at = usize::from(value) % self.beats.len();
        let (to, beat) = self.beats[at].clone();
        if !value.is_multiple_of(4) {
            self.beats.swap_remove(at);
        }
        let receiver = (0..NODES).find(|&each| node(each as u8 + 1) == to);
        if let Some(receiver) = receiver
            && !value.is_multiple_of(5)
            && let Some(answer) = self.nodes[receiver].receive(&beat, self.now).0
        {
            self.beats.push((Node::from(beat.node), answer));
        }
    }

    fn change(&mut self, value: u8) {
        self.revision += 1;
        let number = value % 4;
        let mut changed = self.endpoint(number, 1 + u64::from(value / 64));
        let (area, fact) = match value % 6 {
            0 => {
                self.version += 1;
                (Area::Policy, Fact::Config(ranked(self.version)))
            }
            1 => (
                Area::Policy,
                Fact::Closed(place_of(usize::from(number)).into()),
            ),
            2 => (
                Area::Policy,
                Fact::Opened(place_of(usize::from(number)).into()),
            ),
            3 => (Area::Roster, Fact::Gone(changed.id)),
            4 => {
                changed.draining = true;
                (Area::Roster, Fact::Endpoint(changed))
            }
            _ => {
                changed.cold = Duration::from_secs(3);
                self.cold_until
                    .insert(changed.id.clone(), self.now + changed.cold);
                (Area::Roster, Fact::Endpoint(changed))
            }
        };
        // Some nodes cannot read the publisher and must learn it from the others.
        for at in 0..NODES {
            if (value >> at) & 1 == 1 || at == usize::from(value) % NODES {
                let facts = vec![fact.clone()];
                let report = report(area, self.revision, false, facts);
                self.nodes[at].apply_report(report, self.now);
            } else if value.is_multiple_of(7) {
                self.nodes[at].note_publisher_failure(self.now);
            }
        }
    }

    fn check(&self) {
        for ((key, second), sends) in &self.cold {
            // One and a half times the rate of 10, and five.
            assert!(
                *sends <= 20,
                "{key:08x} got {sends} while cold in second {second}"
            );
        }
        for (at, dispatcher) in self.nodes.iter().enumerate() {
            let own: u32 = dispatcher
                .states()
                .iter()
                .map(|state| state.own_load.running)
                .sum();
            let open = self.open.iter().filter(|open| open.node == at).count();
            assert!(own as usize <= open, "node {at} counts {own} of {open}");
        }
    }
}

#[test]
fn promises_of_several_nodes_hold() {
    /// Steps of one input; the generator's own inputs are too short for a history.
    const STEPS: u64 = 1_500;
    let events = AtomicU64::new(0);
    check!().with_type::<u64>().for_each(|seed| {
        let mut rng = SmallRng::seed_from_u64(*seed);
        let mut world = World::new();
        for _ in 0..STEPS {
            world.step(rng.random(), rng.random());
            world.check();
        }
        events.fetch_add(STEPS, Ordering::Relaxed);
    });
    println!("events={}", events.load(Ordering::Relaxed));
}

#[test]
fn ranks_order_organisations_first() {
    let config = config(1);
    let organisation = |priority| peridotdeck_core::dispatch::config::Organisation {
        priority: Some(priority),
        ..Default::default()
    };
    let mut routes = config.routes.clone();
    for (at, route) in routes.iter_mut().enumerate() {
        std::sync::Arc::make_mut(route).priority = at as u8;
    }
    let config = peridotdeck_core::dispatch::config::Config { routes, ..config };
    let mut ranks = Vec::new();
    for priority in [0, 1] {
        for route in &config.routes {
            ranks.push(config.rank(route, Some(&organisation(priority))));
        }
    }
    assert!(ranks.is_sorted_by(|one, other| one < other), "{ranks:?}");
    assert!(ranks.iter().all(|rank| *rank <= LAST_RANK));
}
