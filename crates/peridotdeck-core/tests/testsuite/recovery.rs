//! A request whose endpoint fails is retried if a second run is allowed.

use peridotdeck_core::{Verdict, request::Cause};

use crate::simulation::{Ending, Simulation, call, reorder_call};

#[test]
fn crash_is_survived() {
    let mut sim = Simulation::settled(&[("a", 2)], 1);
    let request = sim.send(0, call("counter", "matrah", 1)).unwrap();
    sim.advance_ms(50);
    let endpoint = *sim.runs_by_endpoint.keys().next().unwrap();
    sim.crash_endpoint(endpoint);
    sim.advance_ms(3_000);
    assert_eq!(sim.endings[&request], Ending::Finished);
    assert_eq!(sim.runs_by_endpoint.values().sum::<u32>(), 2);
}

#[test]
fn unreachable_is_retried() {
    let mut sim = Simulation::settled(&[("a", 2), ("b", 2)], 2);
    sim.unreachable = vec![1, 2];
    let request = sim.send(0, call("counter", "matrah", 1)).unwrap();
    sim.advance_ms(3_000);
    assert_eq!(sim.endings[&request], Ending::Finished);
}

#[test]
fn non_idempotent_is_not_retried() {
    let mut sim = Simulation::settled(&[("a", 2), ("b", 2), ("c", 2)], 3);
    let request = sim.send(0, reorder_call(1)).unwrap();
    sim.advance_ms(60);
    let endpoint = *sim
        .runs_by_endpoint
        .keys()
        .next()
        .expect("the request has been sent");
    sim.crash_endpoint(endpoint);
    sim.advance_ms(3_000);
    let Ending::Refused(refusal) = &sim.endings[&request] else {
        panic!("the request must be refused")
    };
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::MayHaveRun, Cause::EndpointFailed)
    );
    let again = sim.send(3, reorder_call(1)).unwrap();
    sim.advance_ms(3_000);
    let Ending::Refused(refusal) = &sim.endings[&again] else {
        panic!("the request must be refused")
    };
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn unsent_non_idempotent_is_retried() {
    let mut sim = Simulation::settled(&[("a", 1), ("b", 1), ("c", 1)], 4);
    sim.unreachable = vec![3];
    let request = sim.send(0, reorder_call(1)).unwrap();
    sim.advance_ms(4_000);
    assert_eq!(
        sim.endings[&request],
        Ending::Finished,
        "no byte reached the unreachable endpoint"
    );
}

#[test]
fn cold_limit_holds() {
    // The simulation asserts the limit at every dispatch.
    let mut sim = Simulation::settled(&[("a", 3)], 5);
    for serial in 0..80 {
        sim.send(serial as usize % 3, call("draft", "matrah", serial));
    }
    sim.advance_ms(15_000);
    assert_eq!(sim.count_finished(), 80);
}
