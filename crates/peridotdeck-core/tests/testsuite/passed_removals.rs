//! Removals of endpoints that nodes pass on to each other.
//!
//! A node whose list went from before an endpoint's entry to after its removal had nothing to remove, and
//! did not tell peers that knew the endpoint. They used it until they read the whole list.

use peridotdeck_core::dispatch::{
    Dispatcher,
    registry::{Area, Fact},
};

use crate::dispatch::{dispatcher, endpoint, ms, publish, report};

/// Lets a node adopt what another one knows, and returns the ids of the endpoints that it has then.
fn fetch(node: &mut Dispatcher, from: &Dispatcher) -> Vec<String> {
    let known = node.registry().progress(Area::Roster).changed;
    let snapshot = from.registry().snapshot(Area::Roster, known, ms(10));
    node.adopt(snapshot, ms(10));
    let endpoints = node.registry().endpoints().iter();
    endpoints.map(|endpoint| endpoint.id.clone()).collect()
}

/// Returns a node that knows a brief endpoint, and one that knows the list before it.
fn nodes() -> (Dispatcher, Dispatcher) {
    let stays = [endpoint("stays", "text", "muenchen")];
    let mut early = dispatcher(1, "muenchen", &stays);
    let late = dispatcher(2, "muenchen", &stays);
    let brief = Fact::Endpoint(endpoint("brief", "text", "muenchen"));
    publish(&mut early, 2, brief, ms(1));
    (early, late)
}

/// Guards against an endpoint that stays in use as the node in between never knew it.
#[test]
fn removal_is_passed_on_by_a_node_that_never_knew_the_endpoint() {
    let (mut early, mut late) = nodes();
    publish(&mut late, 3, Fact::Gone("brief".to_owned()), ms(2));
    assert_eq!(fetch(&mut early, &late), ["stays"]);
}

/// Guards against the same over two nodes in between.
#[test]
fn removal_is_passed_on_over_several_nodes() {
    let (mut early, mut late) = nodes();
    let mut middle = dispatcher(3, "muenchen", &[endpoint("stays", "text", "muenchen")]);
    publish(&mut late, 3, Fact::Gone("brief".to_owned()), ms(2));
    fetch(&mut middle, &late);
    assert_eq!(fetch(&mut early, &middle), ["stays"]);
}

/// Guards against the same where the node in between has read the whole list anew.
#[test]
fn removal_is_passed_on_after_a_whole_read() {
    let (mut early, mut late) = nodes();
    let facts = vec![Fact::Endpoint(endpoint("stays", "text", "muenchen"))];
    late.apply_report(report(Area::Roster, 3, true, facts), ms(2));
    let later = Fact::Endpoint(endpoint("later", "text", "muenchen"));
    publish(&mut late, 4, later, ms(3));
    assert_eq!(fetch(&mut early, &late), ["later", "stays"]);
}
