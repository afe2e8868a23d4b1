//! Long random sequences of everything that may happen, with invariants asserted all along.
//!
//! `BOLERO_RANDOM_SEED` and `BOLERO_RANDOM_ITERATIONS` are fixed in `.cargo/config.toml`;
//! `docs/TESTING.md` gives the command for long runs.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bolero::{TypeGenerator, check};
use peridotdeck_core::Event;

use crate::simulation::{Noise, World, call, reorder};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Counter(u8),
    Draft(u8),
    Reorder { seat: u8, key: u8 },
    Wait(u8),
    Crash(u8),
    Down(u8),
    Up,
    Kill(u8),
    Start(u8),
    Pause { seat: u8, seconds: u8 },
    Drain(u8),
    Cut(u8),
    Heal,
    Noise { loss: u8, copies: u8, delay: u8 },
    Publish { place: u8, out: bool },
    Stale,
    Abandon(u8),
}

const PLACES: [&str; 3] = ["a", "b", "c"];

fn play(steps: &[Step], places: &[(&str, usize)], faults: bool) -> u64 {
    let mut world = World::settled(places, steps.len() as u64);
    let seats = world.seats.len();
    for (serial, step) in steps.iter().enumerate() {
        apply(&mut world, *step, seats, serial as u64, faults);
        world.run(20);
    }
    world.noise = Noise {
        delay_ms: 3,
        ..Noise::default()
    };
    world.cut.clear();
    world.down.clear();
    world.stale = None;
    for seat in 0..seats {
        if world.seats[seat].node.is_none() {
            world.start(seat);
        }
    }
    converge(&mut world);
    world.events
}

/// When all is quiet, views and configurations agree and nothing is left over.
fn converge(world: &mut World) {
    world.publish();
    world.run(45_000);
    let leaving = world.seats.iter().filter(|seat| {
        seat.node
            .as_ref()
            .is_some_and(|node| node.view().is_leaving())
    });
    let live = world.seats.len() - leaving.count();
    for seat in 0..world.seats.len() {
        let node = world.node(seat);
        assert_eq!(
            node.config().revision(),
            world.revision,
            "seat {seat} has the newest configuration"
        );
        let count = node.view().live_count();
        assert!(
            count == live.max(1),
            "seat {seat} sees {count} of {live} live nodes"
        );
        let leftover: Vec<_> = node
            .request_table()
            .flights()
            .iter()
            .filter(|flight| flight.call.class != "draft")
            .collect();
        assert!(
            leftover.is_empty(),
            "seat {seat} at {:?}: {leftover:?}",
            world.now
        );
    }
}

fn apply(world: &mut World, step: Step, seats: usize, serial: u64, faults: bool) {
    let seat = |seat: u8| usize::from(seat) % seats;
    match step {
        Step::Counter(at) => drop(world.send(seat(at), call("counter", "matrah", serial))),
        Step::Draft(at) => drop(world.send(seat(at), call("draft", "barka", serial))),
        Step::Reorder { seat: at, key } => drop(world.send(seat(at), reorder(u64::from(key % 8)))),
        Step::Wait(time) => world.run(u64::from(time) * 10),
        Step::Abandon(at) | Step::Drain(at) if world.is_paused(seat(at)) => {}
        Step::Abandon(at) => {
            let node = world.seats[seat(at)].node.as_ref();
            let first = node.and_then(|node| {
                node.request_table()
                    .flights()
                    .first()
                    .map(|flight| flight.request)
            });
            if let Some(request) = first {
                world
                    .endings
                    .entry(request)
                    .or_insert(crate::simulation::Ending::Gone);
                world.give(seat(at), Event::Abandoned { request });
            }
        }
        _ if !faults => {}
        Step::Crash(endpoint) => world.crash(u32::from(endpoint) % 9 + 1),
        Step::Down(endpoint) => world.down.push(u32::from(endpoint) % 9 + 1),
        Step::Up => world.down.clear(),
        Step::Kill(at) => world.kill(seat(at)),
        Step::Start(at) if world.seats[seat(at)].node.is_none() => world.start(seat(at)),
        Step::Start(_) => {}
        Step::Pause { seat: at, seconds } => {
            world.pause(seat(at), Duration::from_secs(u64::from(seconds % 40)));
        }
        Step::Drain(at) => world.give(seat(at), Event::Drain),
        Step::Cut(place) => world.cut = vec![PLACES[usize::from(place) % 3].to_owned()],
        Step::Heal => {
            world.cut.clear();
            world.stale = None;
        }
        Step::Noise {
            loss,
            copies,
            delay,
        } => {
            world.noise = Noise {
                loss: f64::from(loss % 50) / 100.0,
                copies: f64::from(copies % 50) / 100.0,
                delay_ms: u64::from(delay),
            };
        }
        Step::Publish { place, out } => {
            let name = PLACES[usize::from(place) % 3];
            for place in world
                .config
                .places
                .iter_mut()
                .filter(|place| place.name == name)
            {
                place.out = out;
            }
            world.publish();
        }
        Step::Stale => world.stale = Some(1),
    }
}

#[test]
fn one_node() {
    let events = AtomicU64::new(0);
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        events.fetch_add(play(steps, &[("a", 1)], false), Ordering::Relaxed);
    });
    println!("events={}", events.load(Ordering::Relaxed));
}

#[test]
fn many_nodes() {
    let events = AtomicU64::new(0);
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        events.fetch_add(
            play(steps, &[("a", 2), ("b", 2), ("c", 1)], true),
            Ordering::Relaxed,
        );
    });
    println!("events={}", events.load(Ordering::Relaxed));
}

/// Found by a long run: a slot granted again while its first grant was still on its way.
#[test]
fn late_grants() {
    let mut steps = vec![
        Step::Wait(165),
        Step::Noise {
            loss: 38,
            copies: 76,
            delay: 139,
        },
        Step::Crash(100),
    ];
    steps.extend([Step::Counter(0); 41]);
    play(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}

/// Found by a long run: an owner freed the slot of a node that had just woken and asked, because
/// its last heartbeat was old.
#[test]
fn woken_holder() {
    let steps = [
        Step::Kill(171),
        Step::Wait(21),
        Step::Counter(200),
        Step::Counter(220),
        Step::Start(176),
        Step::Pause {
            seat: 250,
            seconds: 103,
        },
    ];
    play(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}

/// Found by a long run: a restarted witness took a losing claim, learnt from a peer, for its own
/// vote.
#[test]
fn restarted_witnesses() {
    let mut steps = vec![
        Step::Kill(38),
        Step::Down(207),
        Step::Cut(46),
        Step::Crash(190),
        Step::Reorder {
            seat: 169,
            key: 227,
        },
        Step::Down(238),
        Step::Kill(134),
        Step::Heal,
        Step::Wait(222),
        Step::Reorder {
            seat: 240,
            key: 227,
        },
    ];
    steps.extend([Step::Counter(0); 29]);
    play(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}

/// Found by a long run: a request was left over after a node had left amid lost messages.
#[test]
fn leave_amid_losses() {
    let mut steps = vec![
        Step::Wait(129),
        Step::Draft(155),
        Step::Noise {
            loss: 32,
            copies: 70,
            delay: 120,
        },
        Step::Stale,
        Step::Start(104),
        Step::Reorder { seat: 36, key: 52 },
        Step::Draft(135),
        Step::Crash(135),
        Step::Wait(41),
        Step::Noise {
            loss: 169,
            copies: 176,
            delay: 124,
        },
        Step::Publish {
            place: 28,
            out: false,
        },
        Step::Wait(144),
        Step::Heal,
        Step::Drain(176),
    ];
    steps.extend([Step::Counter(0); 25]);
    play(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}
