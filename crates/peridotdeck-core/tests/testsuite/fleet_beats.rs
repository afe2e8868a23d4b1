//! Nodes find each other, tell their load, and notice silence.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher, Node,
    attempt::Placement,
    data_centre,
    dispatcher::Options,
    registry::{Area, Endpoint, Fact},
};
use peridotdeck_wire::{beat::Beat, pack, unpack};

use crate::dispatch::{
    REGIONS, admit, ask, config, dispatcher, endpoint, know, ms, node, options, prompt, report,
};

/// Nodes whose beats arrive at once, but for those that a test cuts.
struct Fleet {
    nodes: Vec<(Node, Dispatcher)>,
    cut: Vec<Node>,
    bytes: usize,
}

impl Fleet {
    fn new(nodes: Vec<Dispatcher>) -> Self {
        let numbered = nodes.into_iter().enumerate();
        Self {
            nodes: numbered
                .map(|(at, each)| (node(at as u8 + 1), each))
                .collect(),
            cut: Vec::new(),
            bytes: 0,
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for at in (from..to).step_by(25) {
            for sender in 0..self.nodes.len() {
                let beats = self.nodes[sender].1.tick(ms(at)).heartbeats;
                for (to, beat) in beats {
                    self.deliver(sender, to, &beat, ms(at));
                }
            }
        }
    }

    fn deliver(&mut self, sender: usize, to: Node, beat: &Beat, now: Duration) {
        let bytes = pack(beat).expect("fits a datagram");
        self.bytes += bytes.len();
        if self.cut.contains(&to) || self.cut.contains(&self.nodes[sender].0) {
            return;
        }
        let beat = unpack(&bytes).expect("our own encoding");
        let Some(at) = self.nodes.iter().position(|(each, _)| *each == to) else {
            return;
        };
        if let Some(answer) = self.nodes[at].1.receive(&beat, now).0 {
            self.nodes[sender].1.receive(&answer, now);
        }
    }
}

fn endpoints() -> Vec<Endpoint> {
    ["a", "b", "c"]
        .iter()
        .zip(REGIONS)
        .map(|(id, (place, _))| endpoint(id, "text", place))
        .collect()
}

/// As many nodes in each data centre, which know only two seeds.
fn fleet(each: usize) -> Fleet {
    let nodes = (0..3 * each).map(|at| {
        let (place, _) = REGIONS[at % 3];
        dispatcher(at as u8 + 1, place, &endpoints())
    });
    Fleet::new(nodes.collect())
}

#[test]
fn everyone_finds_everyone_by_two_seeds() {
    let mut fleet = fleet(3);
    fleet.run(0, 2_000);
    for (node, each) in &fleet.nodes {
        let members = each.fleet().members(ms(2_000));
        assert_eq!(members.len(), 8, "{node} knows {members:?}");
    }
}

#[test]
fn silent_peer_is_dropped_and_comes_back() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    fleet.cut = vec![node(4)];
    fleet.run(1_000, 5_000);
    let here = data_centre(REGIONS[0].0);
    assert_eq!(
        fleet.nodes[0].1.fleet().live_nodes(here, ms(5_000)),
        [node(1)]
    );
    fleet.cut.clear();
    fleet.run(5_000, 9_000);
    let live = fleet.nodes[0].1.fleet().live_nodes(here, ms(9_000));
    assert_eq!(live, [node(1), node(4)]);
}

#[test]
fn leaving_peer_is_gone_at_once() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    fleet.nodes[3].1.leave();
    fleet.run(1_000, 1_050);
    let here = data_centre(REGIONS[0].0);
    assert_eq!(
        fleet.nodes[0].1.fleet().live_nodes(here, ms(1_050)),
        [node(1)]
    );
}

#[test]
fn load_of_peers_is_known_near_soon_and_far_in_sum() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    for at in [0, 3] {
        let sender = &mut fleet.nodes[at].1;
        let mut ask = ask("bulk");
        ask.prompt = prompt(9, 3_000, 500);
        let mut flight = admit(sender, ask, ms(1_000));
        assert!(matches!(
            sender.place(&mut flight, ms(1_000)),
            Placement::Send(_)
        ));
    }
    fleet.run(1_000, 1_060);
    let key = endpoints()[0].key();
    let running = |at: usize, fleet: &Fleet| {
        let states = fleet.nodes[at].1.states();
        let state = states.iter().find(|state| state.key == key);
        state.expect("listed").load().running
    };
    assert_eq!(running(0, &fleet), 2);
    assert_eq!(running(3, &fleet), 2);
    fleet.run(1_060, 2_200);
    for at in [1, 2, 4, 5] {
        assert_eq!(running(at, &fleet), 2, "node {at} hears the sum");
    }
}

fn running(node: &Dispatcher) -> u32 {
    let states = node.states().iter();
    states.map(|state| state.load().running).sum()
}

fn send(node: &mut Dispatcher, subject: u64, now: Duration) {
    let mut ask = ask("bulk");
    ask.prompt = prompt(subject, 3_000, 30_000);
    let mut flight = admit(node, ask, now);
    assert!(matches!(node.place(&mut flight, now), Placement::Send(_)));
}

#[test]
fn load_is_told_of_every_endpoint_however_many() {
    const ENDPOINTS: usize = 120;
    let ids: Vec<String> = (0..ENDPOINTS).map(|at| format!("e{at}")).collect();
    let endpoints: Vec<Endpoint> = ids
        .iter()
        .map(|id| endpoint(id, "text", REGIONS[0].0))
        .collect();
    let nodes = (0..4).map(|at| dispatcher(at + 1, REGIONS[usize::from(at % 2)].0, &endpoints));
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 1_000);
    for subject in 0..ENDPOINTS as u64 {
        send(&mut fleet.nodes[0].1, subject, ms(1_000));
    }
    let states = fleet.nodes[0].1.states().iter();
    let busy = states.filter(|state| state.own_load.running > 0).count();
    assert!(busy > 80, "{busy} endpoints have work");
    fleet.run(1_000, 2_200);
    for (node, each) in &fleet.nodes {
        assert_eq!(running(each), ENDPOINTS as u32, "at {node}");
    }
}

#[test]
fn region_hears_of_load_sooner_than_others() {
    const EACH: usize = 8;
    let places = [("east", "home"), ("west", "home"), ("south", "abroad")];
    let regions = places.map(|(place, region)| (place.to_owned(), region.to_owned()));
    let endpoints = [endpoint("a", "text", "east")];
    let nodes = (0..places.len() * EACH).map(|at| {
        let options = Options {
            regions: regions.to_vec(),
            ..options(at as u8 + 1, places[at % places.len()].0)
        };
        know(Dispatcher::new(options, Duration::ZERO), &endpoints)
    });
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 2_000);
    send(&mut fleet.nodes[0].1, 9, ms(2_000));
    fleet.run(2_000, 2_250);
    let knowing = |place: usize| {
        let there = fleet.nodes.iter().skip(place).step_by(places.len());
        there.filter(|(_, each)| running(each) == 1).count()
    };
    assert_eq!(knowing(0), EACH);
    assert_eq!(knowing(1), EACH, "of the same region");
    assert!(knowing(2) < EACH, "of another region");
}

#[test]
fn load_of_a_dead_peer_is_forgotten() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    let sender = &mut fleet.nodes[3].1;
    let mut flight = admit(sender, ask("bulk"), ms(1_000));
    assert!(matches!(
        sender.place(&mut flight, ms(1_000)),
        Placement::Send(_)
    ));
    fleet.run(1_000, 1_500);
    fleet.cut = vec![node(4)];
    fleet.run(1_500, 6_000);
    for (node, each) in &fleet.nodes[..3] {
        let foreign: u32 = each
            .states()
            .iter()
            .map(|state| state.peer_load.running)
            .sum();
        assert_eq!(foreign, 0, "at {node}");
    }
}

#[test]
fn node_that_hears_of_a_newer_configuration_fetches_it() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    let facts = vec![Fact::Config(config(2))];
    fleet.nodes[0]
        .1
        .apply_report(report(Area::Policy, 9, false, facts), ms(1_000));
    let mut snapshot_requests = Vec::new();
    for at in (1_000..1_500).step_by(25) {
        for (to, beat) in fleet.nodes[0].1.tick(ms(at)).heartbeats {
            fleet.deliver(0, to, &beat, ms(at));
        }
        snapshot_requests.extend(fleet.nodes[3].1.tick(ms(at)).snapshot_requests);
    }
    assert!(
        snapshot_requests
            .iter()
            .any(|request| request.node == node(1) && request.area == Area::Policy)
    );
    let snapshot = fleet.nodes[0]
        .1
        .registry()
        .snapshot(Area::Policy, 0, ms(1_500));
    let change = fleet.nodes[3].1.adopt(snapshot, ms(1_500));
    assert_eq!(change.version, Some(2));
}

#[test]
fn traffic_of_a_node_grows_with_its_data_centre_only() {
    let mut rates = Vec::new();
    for each in [2, 4, 8] {
        let mut fleet = fleet(each);
        fleet.run(0, 2_000);
        fleet.bytes = 0;
        fleet.run(2_000, 6_000);
        rates.push(fleet.bytes as f64 / 4.0 / (3 * each) as f64 / each as f64);
    }
    assert!(
        rates[2] < rates[0] * 1.5,
        "bytes a second, node and peer: {rates:?}"
    );
}
