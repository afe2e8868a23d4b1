//! Nodes whose watchers of the publisher lose it, while they could read it themselves.
//!
//! Two nodes of a data centre watch for all of it. The others took each other's word that nothing had
//! changed, and went by an older configuration for as long as the watchers were cut off.

use std::time::Duration;

use peridotdeck_core::dispatch::{Dispatcher, registry::Area};

use crate::{
    dispatch::{REGIONS, dispatcher, endpoint, ms, report},
    fleet_beats::fleet::Fleet,
};

const NODES: u8 = 8;

/// Time after a change of the configuration by which all nodes that can reach the publisher know it.
const IN_FORCE: Duration = Duration::from_secs(3);

fn fleet() -> Fleet {
    let endpoints = [endpoint("e", "text", REGIONS[0].0)];
    let nodes = (1..=NODES).map(|number| dispatcher(number, REGIONS[0].0, &endpoints));
    Fleet::new(nodes.collect())
}

/// Returns the indices of the nodes that watch the publisher.
fn watchers(fleet: &Fleet, now_ms: u64) -> Vec<usize> {
    let nodes = fleet.nodes.iter().enumerate();
    let watching = nodes.filter(|(_, (_, node))| node.is_watcher(ms(now_ms)));
    watching.map(|(index, _)| index).collect()
}

/// Lets a node read the publisher, which has nothing new.
fn read(node: &mut Dispatcher, now_ms: u64) {
    for area in [Area::Policy, Area::Roster] {
        let revision = node.registry().progress(area).read.revision;
        node.apply_report(report(area, revision, false, Vec::new()), ms(now_ms));
    }
}

/// Guards against nodes that stay at an older configuration since those that read for them cannot.
#[test]
fn others_watch_when_the_watchers_read_nothing() {
    let mut fleet = fleet();
    fleet.run(0, 500);
    let first = watchers(&fleet, 500);
    assert_eq!(first.len(), 2);
    fleet.run(500, IN_FORCE.as_millis() as u64);
    let later = watchers(&fleet, 3_000);
    assert!(
        later.iter().any(|index| !first.contains(index)),
        "{later:?} after {first:?}"
    );
}

/// Guards against all nodes reading the publisher in calm.
#[test]
fn others_do_not_watch_while_a_watcher_reads() {
    let mut fleet = fleet();
    fleet.run(0, 500);
    let first = watchers(&fleet, 500);
    for now_ms in (500..20_000).step_by(1_000) {
        read(&mut fleet.nodes[first[0]].1, now_ms);
        fleet.run(now_ms, now_ms + 1_000);
        assert_eq!(watchers(&fleet, now_ms + 999), first, "at {now_ms}");
    }
}

/// Guards against heartbeats that waited while a node stood still, and then vouch for what it knows.
#[test]
fn news_that_waited_during_a_pause_confirm_nothing() {
    let mut fleet = fleet();
    fleet.run(0, 500);
    let (sender, stopped) = (watchers(&fleet, 500)[0], 0);
    read(&mut fleet.nodes[sender].1, 500);
    let mut ticks = (500..3_000).step_by(25);
    let due = ticks.find_map(|now_ms| {
        let due = fleet.nodes[sender].1.tick(ms(now_ms));
        (!due.heartbeats.is_empty()).then_some(due)
    });
    let due = due.expect("a node sends heartbeats");
    let beat = &due.heartbeats[0].beat;
    let node = &mut fleet.nodes[stopped].1;
    let woken = ms(5_000);
    node.receive_ages(beat, due.ages, woken);
    node.tick(woken);
    node.receive_ages(beat, due.ages, woken + ms(10));
    let age = node.registry().age(Area::Policy, woken + ms(10));
    assert!(age > ms(4_000), "{age:?}");
}
