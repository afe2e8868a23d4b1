//! A publisher that is restored from a copy has forgotten its latest changes.
//!
//! Its revisions go back and are assigned again. What a node knew of the lost changes must not come
//! undone before they are published again: a withdrawn key, an endpoint that has left or is
//! draining, a closed data centre.

use peridotdeck_core::dispatch::registry::{Area, Endpoint, Fact, Position, Registry};

use crate::dispatch::{config, endpoint, ms, report, restored};

fn listed(endpoint: &Endpoint) -> Fact {
    Fact::Endpoint(endpoint.clone())
}

fn draining(endpoint: &Endpoint) -> Endpoint {
    Endpoint {
        draining: true,
        ..endpoint.clone()
    }
}

/// Returns a registry that has read a list of endpoints at revision 50.
fn registry(endpoints: &[Endpoint]) -> Registry {
    let mut registry = Registry::default();
    let facts = endpoints.iter().map(listed).collect();
    registry.apply(report(Area::Roster, 50, true, facts), ms(0));
    registry
}

/// Reports a change of the endpoint list in the first era after the restoration.
fn publish(registry: &mut Registry, revision: u64, fact: Fact, now_ms: u64) {
    let mut change = restored(Area::Roster, 1, revision, vec![fact]);
    change.whole = false;
    registry.apply(change, ms(now_ms));
}

fn ids(registry: &Registry) -> Vec<&str> {
    let endpoints = registry.endpoints().iter();
    endpoints.map(|endpoint| endpoint.id.as_str()).collect()
}

#[test]
fn lower_revision_of_a_newer_era_counts() {
    let (first, second) = (endpoint("a", "text", "x"), endpoint("b", "text", "x"));
    let mut registry = registry(std::slice::from_ref(&first));
    let facts = vec![listed(&first), listed(&second)];
    registry.apply(restored(Area::Roster, 1, 12, facts), ms(1_000));
    assert_eq!(ids(&registry), ["a", "b"]);
    let late = report(Area::Roster, 90, true, vec![listed(&first)]);
    registry.apply(late, ms(1_100));
    assert_eq!(ids(&registry), ["a", "b"], "an older era never wins");
    let position = registry.progress(Area::Roster).read;
    assert_eq!(position, Position::new(1, 12));
}

#[test]
fn new_era_begins_with_a_whole_report() {
    let known = endpoint("a", "text", "x");
    let mut registry = registry(&[known]);
    publish(&mut registry, 80, Fact::Gone("a".into()), 1_000);
    assert_eq!(ids(&registry), ["a"], "changes follow an unknown state");
}

#[test]
fn configuration_does_not_go_back() {
    let mut registry = Registry::default();
    let facts = vec![Fact::Config(config(9))];
    registry.apply(report(Area::Policy, 50, true, facts), ms(0));
    let copy = vec![Fact::Config(config(8))];
    registry.apply(restored(Area::Policy, 1, 12, copy), ms(1_000));
    assert_eq!(registry.version(), 9);
}

#[test]
fn node_that_read_only_the_copy_adopts_the_higher_version_of_a_peer() {
    let (mut peer, mut started) = (Registry::default(), Registry::default());
    let facts = vec![Fact::Config(config(9))];
    peer.apply(report(Area::Policy, 50, true, facts), ms(0));
    for registry in [&mut peer, &mut started] {
        let copy = vec![Fact::Config(config(8))];
        registry.apply(restored(Area::Policy, 1, 12, copy), ms(1_000));
    }
    assert_eq!(started.version(), 8);
    let snapshot = peer.snapshot(Area::Policy, Position::default(), ms(1_100));
    let change = started.adopt(snapshot, ms(1_100));
    assert_eq!(change.version, Some(9));
}

#[test]
fn endpoint_that_left_stays_out_until_it_is_published_again() {
    let (staying, left) = (endpoint("a", "text", "x"), endpoint("b", "text", "x"));
    for comes_back in [true, false] {
        let mut registry = registry(&[staying.clone(), left.clone()]);
        let gone = report(Area::Roster, 51, false, vec![Fact::Gone("b".into())]);
        registry.apply(gone, ms(100));
        let copy = vec![listed(&staying), listed(&left)];
        registry.apply(restored(Area::Roster, 1, 12, copy), ms(1_000));
        assert_eq!(ids(&registry), ["a"]);
        if comes_back {
            publish(&mut registry, 13, listed(&left), 2_000);
            assert_eq!(ids(&registry), ["a", "b"]);
        } else {
            publish(&mut registry, 13, Fact::Gone("b".into()), 2_000);
            registry.expire(ms(60_000));
            assert_eq!(ids(&registry), ["a"]);
        }
    }
}

#[test]
fn copy_counts_when_nothing_else_is_published() {
    let (staying, left) = (endpoint("a", "text", "x"), endpoint("b", "text", "x"));
    let mut registry = registry(&[staying.clone(), left.clone()]);
    let gone = report(Area::Roster, 51, false, vec![Fact::Gone("b".into())]);
    registry.apply(gone, ms(100));
    let copy = vec![listed(&staying), listed(&left)];
    registry.apply(restored(Area::Roster, 1, 12, copy), ms(1_000));
    assert!(registry.expire(ms(9_000)).updated.is_empty());
    assert_eq!(registry.expire(ms(12_000)).updated.len(), 1);
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[test]
fn draining_endpoint_stays_so() {
    let known = endpoint("a", "text", "x");
    let mut registry = registry(&[draining(&known)]);
    let change = registry.apply(
        restored(Area::Roster, 1, 12, vec![listed(&known)]),
        ms(1_000),
    );
    assert!(change.updated.is_empty());
    assert!(registry.endpoints()[0].draining);
    publish(&mut registry, 13, listed(&known), 2_000);
    assert!(!registry.endpoints()[0].draining, "it was published again");
}

#[test]
fn earlier_process_under_the_same_id_does_not_come_back() {
    let old = endpoint("a", "text", "x");
    let new = Endpoint {
        born: old.born + 1,
        ..old.clone()
    };
    let mut registry = registry(std::slice::from_ref(&new));
    registry.apply(restored(Area::Roster, 1, 12, vec![listed(&old)]), ms(1_000));
    assert_eq!(registry.endpoints()[0].key(), new.key());
}

#[test]
fn endpoint_that_the_copy_lacks_is_expected_back() {
    let (known, late) = (endpoint("a", "text", "x"), endpoint("b", "text", "x"));
    let mut registry = registry(&[known.clone(), late]);
    registry.apply(
        restored(Area::Roster, 1, 12, vec![listed(&known)]),
        ms(1_000),
    );
    assert_eq!(ids(&registry), ["a", "b"]);
    assert_eq!(registry.expire(ms(4_000)).removed.len(), 1);
}

#[test]
fn closure_that_the_copy_lacks_stays_for_a_while() {
    for reopened in [true, false] {
        let mut registry = Registry::default();
        let facts = vec![Fact::Closed("x".into())];
        registry.apply(report(Area::Policy, 50, true, facts), ms(0));
        registry.apply(restored(Area::Policy, 1, 12, Vec::new()), ms(1_000));
        assert_eq!(registry.closed(), ["x"]);
        if reopened {
            let mut change = restored(Area::Policy, 1, 13, vec![Fact::Opened("x".into())]);
            change.whole = false;
            registry.apply(change, ms(2_000));
        } else {
            assert!(registry.expire(ms(9_000)).opened.is_empty());
            assert_eq!(registry.expire(ms(12_000)).opened, ["x"]);
        }
        assert!(registry.closed().is_empty());
    }
}

#[test]
fn peer_of_an_older_era_gets_a_whole_snapshot() {
    let (first, lost) = (endpoint("a", "text", "x"), endpoint("lost", "text", "x"));
    let mut ahead = registry(std::slice::from_ref(&first));
    let mut behind = registry(std::slice::from_ref(&first));
    // The peer has read a change that the publisher then forgot.
    let change = report(Area::Roster, 60, false, vec![listed(&lost)]);
    behind.apply(change, ms(500));
    ahead.apply(
        restored(Area::Roster, 1, 55, vec![listed(&first)]),
        ms(1_000),
    );
    let known = behind.progress(Area::Roster).changed;
    behind.adopt(ahead.snapshot(Area::Roster, known, ms(1_100)), ms(1_100));
    assert_eq!(ids(&behind), ["a"]);
    assert_eq!(behind.progress(Area::Roster).changed.era, 1);
}
