//! Requests survive endpoints that fail, as far as they may be repeated.

use peridotdeck_core::{Verdict, request::Cause};

use crate::simulation::{Ending, World, call, reorder};

#[test]
fn crash_is_survived() {
    let mut world = World::settled(&[("a", 2)], 1);
    let request = world.send(0, call("counter", "matrah", 1)).unwrap();
    world.run(50);
    let endpoint = *world.runs_of.keys().next().unwrap();
    world.crash(endpoint);
    world.run(3_000);
    assert_eq!(world.endings[&request], Ending::Finished);
    assert_eq!(world.runs_of.values().sum::<u32>(), 2);
}

#[test]
fn unreachable_is_retried() {
    let mut world = World::settled(&[("a", 2), ("b", 2)], 2);
    world.down = vec![1, 2];
    let request = world.send(0, call("counter", "matrah", 1)).unwrap();
    world.run(3_000);
    assert_eq!(world.endings[&request], Ending::Finished);
}

#[test]
fn unrepeatable_is_not() {
    let mut world = World::settled(&[("a", 2), ("b", 2), ("c", 2)], 3);
    let request = world.send(0, reorder(1)).unwrap();
    world.run(60);
    let endpoint = *world.runs_of.keys().next().expect("the call has been sent");
    world.crash(endpoint);
    world.run(3_000);
    let Ending::Refused(refusal) = &world.endings[&request] else {
        panic!("it must be refused")
    };
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::MayHaveRun, Cause::EndpointFailed)
    );
    let again = world.send(3, reorder(1)).unwrap();
    world.run(3_000);
    let Ending::Refused(refusal) = &world.endings[&again] else {
        panic!("it must be refused")
    };
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn unsent_unrepeatable_is_retried() {
    let mut world = World::settled(&[("a", 1), ("b", 1), ("c", 1)], 4);
    world.down = vec![3];
    let request = world.send(0, reorder(1)).unwrap();
    world.run(4_000);
    assert_eq!(
        world.endings[&request],
        Ending::Finished,
        "no byte reached the dead endpoint"
    );
}

#[test]
fn cold_limit_holds() {
    // The world asserts the limit at every dispatch.
    let mut world = World::settled(&[("a", 3)], 5);
    for serial in 0..80 {
        world.send(serial as usize % 3, call("draft", "matrah", serial));
    }
    world.run(15_000);
    assert_eq!(world.finished(), 80);
}
