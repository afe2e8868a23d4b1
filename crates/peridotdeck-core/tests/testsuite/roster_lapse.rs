//! The configuration and the endpoint list never go back to an older state.
//!
//! Entries of the list survive while the publisher is unavailable.

use std::time::Duration;

use peridotdeck_core::dispatch::registry::{Area, Fact, Position, Registry, Snapshot};

use crate::dispatch::{config, endpoint, ms, report};

/// Returns the position of a revision in the first era.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// Reports a whole endpoint list, which replaces the one before.
fn replace_endpoints(registry: &mut Registry, revision: u64, facts: Vec<Fact>, now: Duration) {
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
fn entry_is_removed_at_once_while_the_publisher_is_available() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    replace_endpoints(&mut registry, 1, listed, ms(0));
    let gone = report(Area::Roster, 2, false, vec![Fact::Gone("e".into())]);
    let change = registry.apply(gone, ms(100));
    assert_eq!(change.removed.len(), 1);
    assert!(registry.endpoints().is_empty());
}

#[test]
fn entry_that_disappears_after_an_outage_is_kept_for_two_seconds() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    replace_endpoints(&mut registry, 1, listed.clone(), ms(0));
    registry.note_publisher_failure(ms(5_000));
    replace_endpoints(&mut registry, 2, Vec::new(), ms(6_000));
    assert_eq!(registry.endpoints().len(), 1, "kept while it may come back");
    assert!(registry.expire(ms(7_500)).removed.is_empty());
    replace_endpoints(&mut registry, 3, listed, ms(7_550));
    assert!(
        registry.expire(ms(9_000)).removed.is_empty(),
        "it came back"
    );
    registry.note_publisher_failure(ms(9_500));
    replace_endpoints(&mut registry, 4, Vec::new(), ms(10_000));
    assert_eq!(
        registry.expire(ms(12_200)).removed.len(),
        1,
        "it did not come back"
    );
}

#[test]
fn peers_keep_a_disappeared_entry_until_it_expires() {
    let (mut watcher, mut follower) = (Registry::default(), Registry::default());
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    replace_endpoints(&mut watcher, 1, listed, ms(0));
    follower.adopt(watcher.snapshot(Area::Roster, at(0), ms(10)), ms(10));
    watcher.note_publisher_failure(ms(5_000));
    replace_endpoints(&mut watcher, 2, Vec::new(), ms(6_000));
    let change = follower.adopt(watcher.snapshot(Area::Roster, at(1), ms(6_050)), ms(6_050));
    assert!(change.removed.is_empty(), "it may come back");
    assert!(follower.expire(ms(7_500)).removed.is_empty());
    assert_eq!(
        follower.expire(ms(7_700)).removed.len(),
        1,
        "it did not come back"
    );
}

#[test]
fn entry_is_removed_at_once_long_after_an_outage() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    replace_endpoints(&mut registry, 1, listed, ms(0));
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
    replace_endpoints(&mut registry, 1, vec![Fact::Endpoint(leaving)], ms(0));
    registry.note_publisher_failure(ms(1_000));
    replace_endpoints(&mut registry, 2, Vec::new(), ms(1_500));
    assert!(registry.endpoints().is_empty());
}

#[test]
fn restart_under_the_same_id_is_a_new_endpoint() {
    let mut registry = Registry::default();
    let first = endpoint("e", "text", "muenchen");
    let mut second = first.clone();
    second.born = 2;
    assert_ne!(first.key(), second.key());
    replace_endpoints(&mut registry, 1, vec![Fact::Endpoint(first)], ms(0));
    let again = report(Area::Roster, 2, false, vec![Fact::Endpoint(second)]);
    let change = registry.apply(again, ms(10));
    assert_eq!((change.removed.len(), change.updated.len()), (1, 1));
}

#[test]
fn snapshot_of_a_peer_is_adopted_only_if_it_is_newer() {
    let mut ahead = Registry::default();
    let mut behind = Registry::default();
    for registry in [&mut ahead, &mut behind] {
        let facts = vec![Fact::Config(config(1))];
        registry.apply(report(Area::Policy, 5, true, facts), ms(0));
    }
    let newer = vec![Fact::Config(config(2)), Fact::Closed("a".into())];
    ahead.apply(report(Area::Policy, 8, false, newer), ms(1));
    let change = behind.adopt(ahead.snapshot(Area::Policy, at(0), ms(2)), ms(2));
    assert_eq!(change.version, Some(2));
    assert_eq!(behind.closed(), ["a"]);
    // The publisher's delayed report of the same revision must not undo it.
    let delayed = report(Area::Policy, 7, true, vec![Fact::Config(config(1))]);
    assert_eq!(behind.apply(delayed, ms(3)).opened.len(), 0);
    let Snapshot::Policy { progress, .. } = behind.snapshot(Area::Policy, at(0), ms(2)) else {
        panic!("expected a snapshot of the policy");
    };
    assert_eq!(progress.changed, at(8));
    let older = ahead.snapshot(Area::Policy, at(0), ms(2));
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
fn reads_without_changes_leave_the_changed_revision() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    replace_endpoints(&mut registry, 3, listed, ms(0));
    let mut quiet = report(Area::Roster, 40, false, Vec::new());
    quiet.newest = 0;
    registry.apply(quiet, ms(10));
    let progress = registry.progress(Area::Roster);
    assert_eq!((progress.changed, progress.read), (at(3), at(40)));
}

/// Returns the ids of a registry's endpoints in its order.
fn ids(registry: &Registry) -> Vec<&str> {
    let endpoints = registry.endpoints().iter();
    endpoints.map(|endpoint| endpoint.id.as_str()).collect()
}

#[test]
fn snapshot_contains_only_the_changes_that_a_peer_lacks() {
    let (mut ahead, mut behind) = (Registry::default(), Registry::default());
    let listed = |ids: &[&str]| {
        let endpoints = ids.iter().map(|id| endpoint(id, "text", "muenchen"));
        endpoints.map(Fact::Endpoint).collect::<Vec<_>>()
    };
    for registry in [&mut ahead, &mut behind] {
        replace_endpoints(registry, 3, listed(&["a", "b", "c"]), ms(0));
    }
    let change = vec![Fact::Gone("b".into()), listed(&["d"]).remove(0)];
    ahead.apply(report(Area::Roster, 7, false, change), ms(10));
    let snapshot = ahead.snapshot(Area::Roster, at(3), ms(20));
    let Snapshot::Roster {
        whole, endpoints, ..
    } = &snapshot
    else {
        panic!("expected a snapshot of the endpoint list");
    };
    assert_eq!((*whole, endpoints.len()), (false, 1));
    behind.adopt(snapshot, ms(20));
    assert_eq!(ids(&behind), ["a", "c", "d"]);
}

#[test]
fn peer_older_than_the_first_read_gets_a_whole_snapshot() {
    let (mut ahead, mut behind) = (Registry::default(), Registry::default());
    let old = vec![Fact::Endpoint(endpoint("old", "text", "muenchen"))];
    replace_endpoints(&mut behind, 3, old, ms(0));
    let new = vec![Fact::Endpoint(endpoint("new", "text", "muenchen"))];
    replace_endpoints(&mut ahead, 9, new, ms(0));
    behind.adopt(ahead.snapshot(Area::Roster, at(3), ms(10)), ms(10));
    assert_eq!(
        ids(&behind),
        ["new"],
        "entries removed before the first read are not kept"
    );
}

#[test]
fn peer_learns_whether_a_disappeared_entry_came_back() {
    for comes_back in [true, false] {
        let (mut watcher, mut follower) = (Registry::default(), Registry::default());
        let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
        replace_endpoints(&mut watcher, 1, listed.clone(), ms(0));
        follower.adopt(watcher.snapshot(Area::Roster, at(0), ms(5)), ms(5));
        watcher.note_publisher_failure(ms(5_000));
        replace_endpoints(&mut watcher, 2, Vec::new(), ms(5_500));
        if comes_back {
            follower.adopt(watcher.snapshot(Area::Roster, at(1), ms(5_600)), ms(5_600));
            let known = follower.progress(Area::Roster).changed;
            watcher.apply(report(Area::Roster, 4, false, listed), ms(6_000));
            follower.adopt(watcher.snapshot(Area::Roster, known, ms(6_100)), ms(6_100));
            follower.expire(ms(9_000));
            assert_eq!(ids(&follower), ["e"]);
        } else {
            // The follower gets a snapshot only after the watcher has removed the entry.
            watcher.expire(ms(7_700));
            watcher.apply(report(Area::Roster, 3, false, Vec::new()), ms(7_800));
            follower.adopt(watcher.snapshot(Area::Roster, at(1), ms(7_900)), ms(7_900));
            assert!(ids(&follower).is_empty());
        }
    }
}

/// A node that saw an outage keeps a removed entry and passes it on as one that may come back.
/// A later snapshot of a node that is certain of the removal must remove it at the follower.
#[test]
fn certain_removal_overrides_a_peer_that_kept_the_entry() {
    let mut keeping = Registry::default();
    let (mut removing, mut follower) = (Registry::default(), Registry::default());
    let listed = vec![Fact::Endpoint(endpoint("e", "text", "muenchen"))];
    for registry in [&mut keeping, &mut removing, &mut follower] {
        replace_endpoints(registry, 3, listed.clone(), ms(0));
    }
    keeping.note_publisher_failure(ms(4_800));
    for registry in [&mut keeping, &mut removing] {
        let gone = report(Area::Roster, 5, false, vec![Fact::Gone("e".into())]);
        registry.apply(gone, ms(5_000));
    }
    follower.adopt(keeping.snapshot(Area::Roster, at(3), ms(5_050)), ms(5_050));
    let other = vec![Fact::Endpoint(endpoint("f", "text", "muenchen"))];
    removing.apply(report(Area::Roster, 6, false, other), ms(5_100));
    let known = follower.progress(Area::Roster).changed;
    follower.adopt(removing.snapshot(Area::Roster, known, ms(5_150)), ms(5_150));
    follower.expire(ms(7_500));
    assert_eq!(
        ids(&follower),
        ["f"],
        "the next snapshot of any peer ends the grace period"
    );
}

#[test]
fn late_watch_does_not_bring_back_a_removed_endpoint() {
    let mut registry = Registry::default();
    let listed = vec![Fact::Endpoint(endpoint("f", "text", "muenchen"))];
    replace_endpoints(&mut registry, 3, listed, ms(0));
    // The publisher refused the node meanwhile; a peer reported the removal to it.
    registry.note_publisher_failure(ms(8_000));
    let came = Fact::Endpoint(endpoint("e", "text", "muenchen"));
    let late = vec![came, Fact::Gone("e".into())];
    let change = registry.apply(report(Area::Roster, 9, false, late), ms(8_200));
    assert!(
        change.updated.is_empty(),
        "the endpoint was removed before this node could use it"
    );
    assert_eq!(ids(&registry), ["f"]);
}
