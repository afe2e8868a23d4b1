//! The configuration and the endpoint list never go back, and survive the publisher's outages.

use std::time::Duration;

use peridotdeck_core::dispatch::registry::{Area, Fact, Registry, Snapshot};

use crate::dispatch::{config, endpoint, ms, report};

fn roster(registry: &mut Registry, revision: u64, facts: Vec<Fact>, now: Duration) {
    registry.apply(report(Area::Roster, revision, true, facts), now);
}

#[test]
fn older_report_is_ignored() {
    let mut registry = Registry::default();
    let first = vec![Fact::Config(config(5))];
    registry.apply(report(Area::Policy, 10, true, first), ms(0));
    let older = vec![Fact::Config(config(9))];
    let change = registry.apply(report(Area::Policy, 9, true, older), ms(1));
    assert_eq!(change.version, None);
    assert_eq!(registry.config().expect("kept").version, 5);
}

#[test]
fn lower_version_is_ignored_at_a_higher_revision() {
    let mut registry = Registry::default();
    let first = vec![Fact::Config(config(5))];
    registry.apply(report(Area::Policy, 10, true, first), ms(0));
    let lower = vec![Fact::Config(config(4))];
    registry.apply(report(Area::Policy, 11, false, lower), ms(1));
    assert_eq!(registry.config().expect("kept").version, 5);
}

#[test]
fn whole_report_reopens_what_it_does_not_close() {
    let mut registry = Registry::default();
    let closed = vec![Fact::Closed("a".into()), Fact::Closed("b".into())];
    registry.apply(report(Area::Policy, 1, true, closed), ms(0));
    let change = registry.apply(
        report(Area::Policy, 2, true, vec![Fact::Closed("b".into())]),
        ms(1),
    );
    assert_eq!(change.opened, ["a"]);
    assert_eq!(registry.closed(), ["b"]);
}

#[test]
fn entry_that_vanishes_on_a_calm_day_is_gone_at_once() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    roster(&mut registry, 1, listed, ms(0));
    let gone = report(Area::Roster, 2, false, vec![Fact::Gone("e".into())]);
    let change = registry.apply(gone, ms(100));
    assert_eq!(change.removed.len(), 1);
    assert!(registry.endpoints().is_empty());
}

#[test]
fn entry_that_vanishes_with_the_publisher_is_kept_for_two_seconds() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    roster(&mut registry, 1, listed.clone(), ms(0));
    registry.note_publisher_failure(ms(5_000));
    roster(&mut registry, 2, Vec::new(), ms(6_000));
    assert_eq!(registry.endpoints().len(), 1, "kept while it may come back");
    assert!(registry.expire(ms(7_500)).is_empty());
    roster(&mut registry, 3, listed, ms(7_550));
    assert!(registry.expire(ms(9_000)).is_empty(), "it came back");
    registry.note_publisher_failure(ms(9_500));
    roster(&mut registry, 4, Vec::new(), ms(10_000));
    assert_eq!(registry.expire(ms(12_200)).len(), 1, "it did not come back");
}

#[test]
fn peers_learn_that_an_entry_may_come_back_and_when_it_is_gone() {
    let (mut watcher, mut follower) = (Registry::default(), Registry::default());
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    roster(&mut watcher, 1, listed, ms(0));
    follower.adopt(watcher.snapshot(Area::Roster, 0, ms(10)), ms(10));
    watcher.note_publisher_failure(ms(5_000));
    roster(&mut watcher, 2, Vec::new(), ms(6_000));
    let change = follower.adopt(watcher.snapshot(Area::Roster, 1, ms(6_050)), ms(6_050));
    assert!(change.removed.is_empty(), "it may come back");
    assert!(follower.expire(ms(7_500)).is_empty());
    assert_eq!(follower.expire(ms(7_700)).len(), 1, "it did not come back");
}

#[test]
fn entry_that_vanishes_long_after_the_trouble_is_gone_at_once() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    roster(&mut registry, 1, listed, ms(0));
    registry.note_publisher_failure(ms(5_000));
    let gone = report(Area::Roster, 2, false, vec![Fact::Gone("e".into())]);
    let change = registry.apply(gone, ms(9_800));
    assert_eq!(change.removed.len(), 1);
}

#[test]
fn draining_entry_is_not_kept() {
    let mut registry = Registry::default();
    let mut leaving = endpoint("e", "text", "muenchen");
    leaving.draining = true;
    roster(&mut registry, 1, vec![Fact::Endpoint(leaving)], ms(0));
    registry.note_publisher_failure(ms(1_000));
    roster(&mut registry, 2, Vec::new(), ms(1_500));
    assert!(registry.endpoints().is_empty());
}

#[test]
fn restart_under_the_same_id_is_another_endpoint() {
    let mut registry = Registry::default();
    let first = endpoint("e", "text", "muenchen");
    let mut second = first.clone();
    second.born = 2;
    assert_ne!(first.key(), second.key());
    roster(&mut registry, 1, vec![Fact::Endpoint(first)], ms(0));
    let again = report(Area::Roster, 2, false, vec![Fact::Endpoint(second)]);
    let change = registry.apply(again, ms(10));
    assert_eq!((change.removed.len(), change.updated.len()), (1, 1));
}

#[test]
fn snapshot_of_a_peer_is_taken_only_if_it_knows_more() {
    let mut ahead = Registry::default();
    let mut behind = Registry::default();
    for registry in [&mut ahead, &mut behind] {
        let facts = vec![Fact::Config(config(1))];
        registry.apply(report(Area::Policy, 5, true, facts), ms(0));
    }
    let newer = vec![Fact::Config(config(2)), Fact::Closed("a".into())];
    ahead.apply(report(Area::Policy, 8, false, newer), ms(1));
    let change = behind.adopt(ahead.snapshot(Area::Policy, 0, ms(2)), ms(2));
    assert_eq!(change.version, Some(2));
    assert_eq!(behind.closed(), ["a"]);
    // The publisher's delayed report of the same revision must not undo it.
    let delayed = report(Area::Policy, 7, true, vec![Fact::Config(config(1))]);
    assert_eq!(behind.apply(delayed, ms(3)).opened.len(), 0);
    let Snapshot::Policy { revision, .. } = behind.snapshot(Area::Policy, 0, ms(2)) else {
        panic!("a snapshot of the policy");
    };
    assert_eq!(revision.changed, 8);
    let older = ahead.snapshot(Area::Policy, 0, ms(2));
    behind.apply(
        report(Area::Policy, 9, false, vec![Fact::Opened("a".into())]),
        ms(4),
    );
    behind.adopt(older, ms(5));
    assert!(
        behind.closed().is_empty(),
        "an older snapshot changes nothing"
    );
}

#[test]
fn reads_without_news_do_not_make_peers_look_behind() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    roster(&mut registry, 3, listed, ms(0));
    let mut quiet = report(Area::Roster, 40, false, Vec::new());
    quiet.newest = 0;
    registry.apply(quiet, ms(10));
    let revision = registry.revision(Area::Roster);
    assert_eq!((revision.changed, revision.read), (3, 40));
}

/// Endpoints of a registry by id.
fn ids(registry: &Registry) -> Vec<&str> {
    let endpoints = registry.endpoints().iter();
    endpoints.map(|endpoint| endpoint.id.as_str()).collect()
}

#[test]
fn peer_is_told_only_what_it_lacks() {
    let (mut ahead, mut behind) = (Registry::default(), Registry::default());
    let listed = |ids: &[&str]| {
        let endpoints = ids.iter().map(|id| endpoint(id, "text", "muenchen"));
        endpoints.map(Fact::Endpoint).collect::<Vec<_>>()
    };
    for registry in [&mut ahead, &mut behind] {
        roster(registry, 3, listed(&["a", "b", "c"]), ms(0));
    }
    let change = vec![Fact::Gone("b".into()), listed(&["d"]).remove(0)];
    ahead.apply(report(Area::Roster, 7, false, change), ms(10));
    let snapshot = ahead.snapshot(Area::Roster, 3, ms(20));
    let Snapshot::Roster {
        whole, endpoints, ..
    } = &snapshot
    else {
        panic!("a snapshot of the roster");
    };
    assert_eq!((*whole, endpoints.len()), (false, 1));
    behind.adopt(snapshot, ms(20));
    assert_eq!(ids(&behind), ["a", "c", "d"]);
}

#[test]
fn peer_that_knows_less_than_the_first_read_is_told_all() {
    let (mut ahead, mut behind) = (Registry::default(), Registry::default());
    let old = vec![Fact::Endpoint(endpoint("old", "text", "muenchen"))];
    roster(&mut behind, 3, old, ms(0));
    let new = vec![Fact::Endpoint(endpoint("new", "text", "muenchen"))];
    roster(&mut ahead, 9, new, ms(0));
    behind.adopt(ahead.snapshot(Area::Roster, 3, ms(10)), ms(10));
    assert_eq!(
        ids(&behind),
        ["new"],
        "what left before the first read is not kept"
    );
}

#[test]
fn peer_learns_of_a_lapse_that_has_ended_either_way() {
    for comes_back in [true, false] {
        let (mut watcher, mut follower) = (Registry::default(), Registry::default());
        let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
        roster(&mut watcher, 1, listed.clone(), ms(0));
        follower.adopt(watcher.snapshot(Area::Roster, 0, ms(5)), ms(5));
        watcher.note_publisher_failure(ms(5_000));
        roster(&mut watcher, 2, Vec::new(), ms(5_500));
        if comes_back {
            follower.adopt(watcher.snapshot(Area::Roster, 1, ms(5_600)), ms(5_600));
            let known = follower.revision(Area::Roster).changed;
            watcher.apply(report(Area::Roster, 4, false, listed), ms(6_000));
            follower.adopt(watcher.snapshot(Area::Roster, known, ms(6_100)), ms(6_100));
            follower.expire(ms(9_000));
            assert_eq!(ids(&follower), ["e"]);
        } else {
            // The follower hears of it only after the watcher has given the entry up.
            watcher.expire(ms(7_700));
            watcher.apply(report(Area::Roster, 3, false, Vec::new()), ms(7_800));
            follower.adopt(watcher.snapshot(Area::Roster, 1, ms(7_900)), ms(7_900));
            assert!(ids(&follower).is_empty());
        }
    }
}

#[test]
fn watcher_that_knows_better_does_not_keep_an_entry_alive() {
    let mut doubting = Registry::default();
    let (mut certain, mut follower) = (Registry::default(), Registry::default());
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    for registry in [&mut doubting, &mut certain, &mut follower] {
        roster(registry, 3, listed.clone(), ms(0));
    }
    doubting.note_publisher_failure(ms(4_800));
    for registry in [&mut doubting, &mut certain] {
        let gone = report(Area::Roster, 5, false, vec![Fact::Gone("e".into())]);
        registry.apply(gone, ms(5_000));
    }
    follower.adopt(doubting.snapshot(Area::Roster, 3, ms(5_050)), ms(5_050));
    let other = vec![Fact::Endpoint(endpoint("f", "text", "muenchen"))];
    certain.apply(report(Area::Roster, 6, false, other), ms(5_100));
    let known = follower.revision(Area::Roster).changed;
    follower.adopt(certain.snapshot(Area::Roster, known, ms(5_150)), ms(5_150));
    follower.expire(ms(7_500));
    assert_eq!(
        ids(&follower),
        ["f"],
        "the doubt ends, whoever told the next news"
    );
}

#[test]
fn watch_that_resumes_late_brings_nothing_back() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("f", "text", "muenchen"))];
    roster(&mut registry, 3, listed, ms(0));
    // The node was turned away meanwhile, and heard of the departure from a peer.
    registry.note_publisher_failure(ms(8_000));
    let came = Fact::Endpoint(endpoint("e", "text", "muenchen"));
    let late = vec![came, Fact::Gone("e".into())];
    let change = registry.apply(report(Area::Roster, 9, false, late), ms(8_200));
    assert!(
        change.updated.is_empty(),
        "it left before this node could use it"
    );
    assert_eq!(ids(&registry), ["f"]);
}
