//! Heartbeats: nodes discover each other, announce their load and detect silent peers.

pub mod fleet;

use std::time::Duration;

use fleet::Fleet;
use peridotdeck_core::dispatch::{
    Dispatcher,
    attempt::{End, Placement},
    data_centre,
    dispatcher::Options,
    rate::Terms,
    registry::{Area, Endpoint, Fact, Position},
};

use crate::dispatch::{
    REGIONS, admit, config, configure, copies, decoded_request, dispatcher, endpoint, ms, node,
    options, prompt, report,
};

fn endpoints() -> Vec<Endpoint> {
    ["a", "b", "c"]
        .iter()
        .zip(REGIONS)
        .map(|(id, (data_centre, _))| endpoint(id, "text", data_centre))
        .collect()
}

/// Returns a fleet with `per_data_centre` nodes in each; a node knows only two seeds at first.
fn fleet(per_data_centre: usize) -> Fleet {
    let nodes = (0..3 * per_data_centre).map(|index| {
        let (data_centre, _) = REGIONS[index % 3];
        dispatcher(index as u8 + 1, data_centre, &endpoints())
    });
    Fleet::new(nodes.collect())
}

#[test]
fn all_nodes_discover_each_other_through_two_seeds() {
    let mut fleet = fleet(3);
    fleet.run(0, 2_000);
    for (node, dispatcher) in &fleet.nodes {
        let members = dispatcher.fleet().members(ms(2_000));
        assert_eq!(members.len(), 8, "{node} knows {members:?}");
    }
}

/// Nodes that do not know each other yet each take the part of the first node, and send too much to
/// a cold endpoint or read the publisher too often.
#[test]
fn nodes_of_a_large_data_centre_know_each_other_soon() {
    const NODES: u8 = 60;
    let nodes = (1..=NODES).map(|number| dispatcher(number, REGIONS[0].0, &endpoints()));
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 500);
    let here = data_centre(REGIONS[0].0);
    for (node, dispatcher) in &fleet.nodes {
        let live = dispatcher.fleet().live_nodes(here, ms(500));
        assert_eq!(live.len(), usize::from(NODES), "{node} knows {live:?}");
    }
}

/// Each read of the publisher is paid for, and all changes wake all watchers.
#[test]
fn two_nodes_of_a_large_data_centre_watch_the_publisher() {
    const NODES: u8 = 50;
    let nodes = (1..=NODES).map(|number| dispatcher(number, REGIONS[0].0, &endpoints()));
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 500);
    let intervals = fleet.nodes.iter();
    let mut intervals: Vec<Duration> = intervals
        .filter_map(|(_, dispatcher)| dispatcher.watch_interval(ms(500)))
        .collect();
    intervals.sort_unstable();
    assert_eq!(intervals.len(), 2, "{intervals:?}");
    assert!(intervals[0] * 2 < intervals[1], "only one reads often");
}

#[test]
fn nodes_of_large_data_centres_stay_known_to_each_other() {
    const NODES: u8 = 80;
    let nodes = (1..=NODES)
        .map(|number| dispatcher(number, REGIONS[usize::from(number % 2)].0, &endpoints()));
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 3_000);
    for now_ms in (3_000..15_000).step_by(500) {
        fleet.run(now_ms, now_ms + 500);
        for (node, dispatcher) in &fleet.nodes {
            let members = dispatcher.fleet().members(ms(now_ms + 500));
            assert_eq!(members.len(), usize::from(NODES) - 1, "{node} at {now_ms}");
        }
    }
}

#[test]
fn silent_peer_is_removed_and_can_return() {
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
fn leaving_peer_is_removed_at_once() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    fleet.nodes[3].1.leave(ms(60_000));
    fleet.run(1_000, 1_050);
    let here = data_centre(REGIONS[0].0);
    assert_eq!(
        fleet.nodes[0].1.fleet().live_nodes(here, ms(1_050)),
        [node(1)]
    );
}

/// Guards against a heartbeat of an earlier start, late on its way, that takes a node for leaving.
#[test]
fn heartbeat_of_an_earlier_start_is_ignored() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    fleet.nodes[3].1.leave(ms(60_000));
    let beats = copies(fleet.nodes[3].1.tick(ms(1_025)).heartbeats);
    let late = beats.into_iter().find(|(to, _)| *to == node(1));
    let (_, late) = late.expect("a node that leaves says so to its data centre");
    fleet.deliver(3, node(1), &late, ms(1_025));
    let restarted = Options {
        incarnation: 1_000,
        ..options(4, REGIONS[0].0)
    };
    fleet.nodes[3].1 = configure(Dispatcher::new(restarted, ms(1_050)), &endpoints());
    fleet.run(1_050, 3_000);
    fleet.deliver(3, node(1), &late, ms(3_000));
    let here = data_centre(REGIONS[0].0);
    let live = fleet.nodes[0].1.fleet().live_nodes(here, ms(3_000));
    assert_eq!(live, [node(1), node(4)]);
}

#[test]
fn load_is_known_soon_within_a_data_centre_and_elsewhere_as_a_sum() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    for index in [0, 3] {
        let sender = &mut fleet.nodes[index].1;
        let mut request = decoded_request("bulk");
        request.prompt = prompt(9, 3_000, 500);
        let mut flight = admit(sender, request, ms(1_000));
        assert!(matches!(
            sender.place(&mut flight, ms(1_000)),
            Placement::Send(_)
        ));
    }
    fleet.run(1_000, 1_060);
    let key = endpoints()[0].key();
    let running = |index: usize, fleet: &Fleet| {
        let states = fleet.nodes[index].1.states();
        let state = states.iter().find(|state| state.key == key);
        state.expect("listed").load().running
    };
    assert_eq!(running(0, &fleet), 2);
    assert_eq!(running(3, &fleet), 2);
    fleet.run(1_060, 2_200);
    for index in [1, 2, 4, 5] {
        assert_eq!(running(index, &fleet), 2, "node {index} receives the sum");
    }
}

fn running(node: &Dispatcher) -> u32 {
    let states = node.states().iter();
    states.map(|state| state.load().running).sum()
}

fn send_request(node: &mut Dispatcher, subject: u64, now: Duration) {
    let mut request = decoded_request("bulk");
    request.prompt = prompt(subject, 3_000, 30_000);
    let mut flight = admit(node, request, now);
    assert!(matches!(node.place(&mut flight, now), Placement::Send(_)));
}

/// Crashes an endpoint under each of some prompts; half of them are answered elsewhere.
fn crash_endpoints(node: &mut Dispatcher, count: u64, now: Duration) {
    let send = |node: &mut Dispatcher, number: u64| {
        let mut request = decoded_request("bulk");
        let digest = number.wrapping_mul(0xd1b5_4a32_d192_ed03);
        request.prompt = prompt(digest, 3_000, 500);
        let mut flight = admit(node, request, now);
        match node.place(&mut flight, now) {
            Placement::Send(assignment) => (flight, assignment.attempt),
            other => panic!("endpoints are eligible, but {other:?}"),
        }
    };
    for number in 1..=count {
        let (flight, attempt) = send(node, number);
        node.finish(&attempt, End::Broken, &flight, now);
        node.record_probe(attempt.key(), false, now);
        node.record_probe(attempt.key(), true, now);
        if number % 2 == 0 {
            let (flight, attempt) = send(node, number);
            node.finish(&attempt, End::Finished, &flight, now);
        }
    }
}

/// Whatever a heartbeat reports, it fits a datagram; [`Fleet::deliver`] checks each.
#[test]
fn fullest_heartbeats_fit_datagrams() {
    let ids: Vec<String> = (0..120).map(|number| format!("e{number}")).collect();
    let endpoints: Vec<Endpoint> = ids
        .iter()
        .map(|id| endpoint(id, "text", REGIONS[0].0))
        .collect();
    let nodes = (1..=30).map(|number| dispatcher(number, REGIONS[0].0, &endpoints));
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 500);
    let node = &mut fleet.nodes[0].1;
    let mut attempts = Vec::new();
    for subject in 1..=300_u64 {
        let digest = subject.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut request = decoded_request("bulk");
        request.prompt = prompt(digest, 3_000, 500_000);
        let mut flight = admit(node, request, ms(500));
        let Placement::Send(assignment) = node.place(&mut flight, ms(500)) else {
            panic!("all endpoints are eligible");
        };
        if subject % 4 == 0 {
            node.finish(&assignment.attempt, End::Failed, &flight, ms(500));
        }
        attempts.push(assignment.attempt);
    }
    crash_endpoints(node, 20, ms(500));
    for attempt in &attempts[..40] {
        let terms = Terms {
            rate: Some(4_000_000.0),
            rejections: Some(u32::MAX),
        };
        node.record_terms(attempt, terms, ms(500));
    }
    for endpoint in &endpoints[..20] {
        node.record_departure(endpoint.key(), ms(500));
    }
    fleet.run(500, 4_500);
    let other = fleet.nodes[29].1.states();
    let known: u32 = other.iter().map(|state| state.load().running).sum();
    assert_eq!(known, 225);
    assert!(other.iter().filter(|state| state.is_departing()).count() >= 8);
    assert!(fleet.nodes[29].1.rates().named().count() >= 8);
}

#[test]
fn load_of_every_endpoint_is_announced_however_many() {
    const ENDPOINTS: usize = 120;
    let ids: Vec<String> = (0..ENDPOINTS).map(|number| format!("e{number}")).collect();
    let endpoints: Vec<Endpoint> = ids
        .iter()
        .map(|id| endpoint(id, "text", REGIONS[0].0))
        .collect();
    let nodes =
        (0..4).map(|index| dispatcher(index + 1, REGIONS[usize::from(index % 2)].0, &endpoints));
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 1_000);
    for subject in 0..ENDPOINTS as u64 {
        send_request(&mut fleet.nodes[0].1, subject, ms(1_000));
    }
    let states = fleet.nodes[0].1.states().iter();
    let busy = states.filter(|state| state.own_load.running > 0).count();
    assert!(busy > 80, "{busy} endpoints have work");
    fleet.run(1_000, 2_200);
    for (node, dispatcher) in &fleet.nodes {
        assert_eq!(running(dispatcher), ENDPOINTS as u32, "at {node}");
    }
}

#[test]
fn load_reaches_the_same_region_sooner_than_others() {
    const NODES_PER_DATA_CENTRE: usize = 8;
    let data_centres = [("east", "home"), ("west", "home"), ("south", "abroad")];
    let regions =
        data_centres.map(|(data_centre, region)| (data_centre.to_owned(), region.to_owned()));
    let endpoints = [endpoint("a", "text", "east")];
    let nodes = (0..data_centres.len() * NODES_PER_DATA_CENTRE).map(|index| {
        let options = Options {
            regions: regions.to_vec(),
            ..options(index as u8 + 1, data_centres[index % data_centres.len()].0)
        };
        configure(Dispatcher::new(options, Duration::ZERO), &endpoints)
    });
    let mut fleet = Fleet::new(nodes.collect());
    fleet.run(0, 2_000);
    send_request(&mut fleet.nodes[0].1, 9, ms(2_000));
    fleet.run(2_000, 2_250);
    let count_informed = |data_centre: usize| {
        let nodes = fleet
            .nodes
            .iter()
            .skip(data_centre)
            .step_by(data_centres.len());
        nodes
            .filter(|(_, dispatcher)| running(dispatcher) == 1)
            .count()
    };
    assert_eq!(count_informed(0), NODES_PER_DATA_CENTRE);
    assert_eq!(
        count_informed(1),
        NODES_PER_DATA_CENTRE,
        "of the same region"
    );
    assert!(
        count_informed(2) < NODES_PER_DATA_CENTRE,
        "of another region"
    );
}

#[test]
fn load_of_a_dead_peer_is_discarded() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    let sender = &mut fleet.nodes[3].1;
    let mut flight = admit(sender, decoded_request("bulk"), ms(1_000));
    assert!(matches!(
        sender.place(&mut flight, ms(1_000)),
        Placement::Send(_)
    ));
    fleet.run(1_000, 1_500);
    fleet.cut = vec![node(4)];
    fleet.run(1_500, 6_000);
    for (node, dispatcher) in &fleet.nodes[..3] {
        let peer_running: u32 = dispatcher
            .states()
            .iter()
            .map(|state| state.peer_load.running)
            .sum();
        assert_eq!(peer_running, 0, "at {node}");
    }
}

#[test]
fn node_that_learns_of_a_newer_configuration_fetches_it() {
    let mut fleet = fleet(2);
    fleet.run(0, 1_000);
    let facts = vec![Fact::Config(config(2))];
    fleet.nodes[0]
        .1
        .apply_report(report(Area::Policy, 9, false, facts), ms(1_000));
    let mut snapshot_requests = Vec::new();
    for now_ms in (1_000..1_500).step_by(25) {
        for (to, heartbeat) in copies(fleet.nodes[0].1.tick(ms(now_ms)).heartbeats) {
            fleet.deliver(0, to, &heartbeat, ms(now_ms));
        }
        snapshot_requests.extend(fleet.nodes[3].1.tick(ms(now_ms)).snapshot_requests);
    }
    assert!(
        snapshot_requests
            .iter()
            .any(|request| request.node == node(1) && request.area == Area::Policy)
    );
    let snapshot =
        fleet.nodes[0]
            .1
            .registry()
            .snapshot(Area::Policy, Position::default(), ms(1_500));
    let change = fleet.nodes[3].1.adopt(snapshot, ms(1_500));
    assert_eq!(change.version, Some(2));
}

#[test]
fn heartbeat_traffic_of_a_node_grows_with_its_data_centre_only() {
    let mut rates = Vec::new();
    for per_data_centre in [2, 4, 8] {
        let mut fleet = fleet(per_data_centre);
        fleet.run(0, 2_000);
        fleet.bytes = 0;
        fleet.run(2_000, 6_000);
        rates
            .push(fleet.bytes as f64 / 4.0 / (3 * per_data_centre) as f64 / per_data_centre as f64);
    }
    assert!(
        rates[2] < rates[0] * 1.5,
        "bytes a second, node and peer: {rates:?}"
    );
}
