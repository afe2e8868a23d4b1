//! Long random sequences of requests and faults; invariants are asserted at every step.
//!
//! `BOLERO_RANDOM_SEED` and `BOLERO_RANDOM_ITERATIONS` are fixed in `.cargo/config.toml`;
//! `docs/TESTING.md` gives the command for long runs.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bolero::{TypeGenerator, check};
use peridotdeck_core::Event;

use crate::simulation::{Network, Simulation, call, reorder_call};

/// A request or a fault; each number selects a VM, endpoint, data centre or amount.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Counter(u8),
    Draft(u8),
    Reorder { vm: u8, key: u8 },
    Wait(u8),
    Crash(u8),
    Down(u8),
    Up,
    Kill(u8),
    Start(u8),
    Pause { vm: u8, seconds: u8 },
    Drain(u8),
    Partition(u8),
    Heal,
    Network { loss: u8, copies: u8, delay: u8 },
    Publish { data_centre: u8, out: bool },
    Stale,
    Abandon(u8),
}

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Applies the steps to a new cluster, ends all faults, lets the nodes converge and returns the
/// number of events handled.
///
/// Without `faults` only requests, waits and callers that disconnect are applied.
fn run_steps(steps: &[Step], data_centres: &[(&str, usize)], faults: bool) -> u64 {
    let mut sim = Simulation::settled(data_centres, steps.len() as u64);
    let vm_count = sim.vms.len();
    for (serial, step) in steps.iter().enumerate() {
        apply(&mut sim, *step, vm_count, serial as u64, faults);
        sim.advance_ms(20);
    }
    sim.network = Network {
        max_delay_ms: 3,
        ..Network::default()
    };
    sim.partitioned.clear();
    sim.unreachable.clear();
    sim.stale_revision = None;
    for vm in 0..vm_count {
        if sim.vms[vm].node.is_none() {
            sim.start_node(vm);
        }
    }
    assert_convergence(&mut sim);
    sim.events
}

/// Asserts that views and configurations agree and no request is left once all faults have ended.
fn assert_convergence(sim: &mut Simulation) {
    sim.publish();
    sim.advance_ms(45_000);
    let leaving = sim.vms.iter().filter(|vm| {
        vm.node
            .as_ref()
            .is_some_and(|node| node.view().is_leaving())
    });
    let live = sim.vms.len() - leaving.count();
    for vm in 0..sim.vms.len() {
        let node = sim.node(vm);
        assert_eq!(
            node.config().revision(),
            sim.revision,
            "VM {vm} has the newest configuration"
        );
        let count = node.view().live_count();
        assert!(
            count == live.max(1),
            "VM {vm} sees {count} of {live} live nodes"
        );
        let leftover: Vec<_> = node
            .request_table()
            .flights()
            .iter()
            .filter(|flight| flight.call.class != "draft")
            .collect();
        assert!(
            leftover.is_empty(),
            "VM {vm} at {:?}: {leftover:?}",
            sim.now
        );
    }
}

fn apply(sim: &mut Simulation, step: Step, vm_count: usize, serial: u64, faults: bool) {
    let index = |vm: u8| usize::from(vm) % vm_count;
    match step {
        Step::Counter(vm) => drop(sim.send(index(vm), call("counter", "matrah", serial))),
        Step::Draft(vm) => drop(sim.send(index(vm), call("draft", "barka", serial))),
        Step::Reorder { vm, key } => drop(sim.send(index(vm), reorder_call(u64::from(key % 8)))),
        Step::Wait(time) => sim.advance_ms(u64::from(time) * 10),
        Step::Abandon(vm) | Step::Drain(vm) if sim.is_paused(index(vm)) => {}
        Step::Abandon(vm) => {
            let node = sim.vms[index(vm)].node.as_ref();
            let first = node.and_then(|node| {
                node.request_table()
                    .flights()
                    .first()
                    .map(|flight| flight.request)
            });
            if let Some(request) = first {
                sim.endings
                    .entry(request)
                    .or_insert(crate::simulation::Ending::Disconnected);
                sim.handle_event(index(vm), Event::Abandoned { request });
            }
        }
        _ if !faults => {}
        Step::Crash(endpoint) => sim.crash_endpoint(u32::from(endpoint) % 9 + 1),
        Step::Down(endpoint) => sim.unreachable.push(u32::from(endpoint) % 9 + 1),
        Step::Up => sim.unreachable.clear(),
        Step::Kill(vm) => sim.kill_node(index(vm)),
        Step::Start(vm) if sim.vms[index(vm)].node.is_none() => sim.start_node(index(vm)),
        Step::Start(_) => {}
        Step::Pause { vm, seconds } => {
            sim.pause_node(index(vm), Duration::from_secs(u64::from(seconds % 40)));
        }
        Step::Drain(vm) => sim.handle_event(index(vm), Event::Drain),
        Step::Partition(data_centre) => {
            sim.partitioned = vec![DATA_CENTRES[usize::from(data_centre) % 3].to_owned()];
        }
        Step::Heal => {
            sim.partitioned.clear();
            sim.stale_revision = None;
        }
        Step::Network {
            loss,
            copies,
            delay,
        } => {
            sim.network = Network {
                loss: f64::from(loss % 50) / 100.0,
                duplication: f64::from(copies % 50) / 100.0,
                max_delay_ms: u64::from(delay),
            };
        }
        Step::Publish { data_centre, out } => {
            let name = DATA_CENTRES[usize::from(data_centre) % 3];
            for place in sim
                .config
                .places
                .iter_mut()
                .filter(|place| place.name == name)
            {
                place.out = out;
            }
            sim.publish();
        }
        Step::Stale => sim.stale_revision = Some(1),
    }
}

#[test]
fn one_node() {
    let events = AtomicU64::new(0);
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        events.fetch_add(run_steps(steps, &[("a", 1)], false), Ordering::Relaxed);
    });
    println!("events={}", events.load(Ordering::Relaxed));
}

#[test]
fn many_nodes() {
    let events = AtomicU64::new(0);
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        events.fetch_add(
            run_steps(steps, &[("a", 2), ("b", 2), ("c", 1)], true),
            Ordering::Relaxed,
        );
    });
    println!("events={}", events.load(Ordering::Relaxed));
}

/// A sequence that once failed: an owner granted a slot again while its first grant
/// was still on its way.
#[test]
fn late_grants() {
    let mut steps = vec![
        Step::Wait(165),
        Step::Network {
            loss: 38,
            copies: 76,
            delay: 139,
        },
        Step::Crash(100),
    ];
    steps.extend([Step::Counter(0); 41]);
    run_steps(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}

/// A sequence that once failed: an owner freed the slot of a node that had just woken and requested
/// it, because the node's last heartbeat was old.
#[test]
fn woken_holder() {
    let steps = [
        Step::Kill(171),
        Step::Wait(21),
        Step::Counter(200),
        Step::Counter(220),
        Step::Start(176),
        Step::Pause {
            vm: 250,
            seconds: 103,
        },
    ];
    run_steps(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}

/// A sequence that once failed: a restarted witness mistook a losing claim, received from a peer,
/// for its own vote.
#[test]
fn restarted_witnesses() {
    let mut steps = vec![
        Step::Kill(38),
        Step::Down(207),
        Step::Partition(46),
        Step::Crash(190),
        Step::Reorder { vm: 169, key: 227 },
        Step::Down(238),
        Step::Kill(134),
        Step::Heal,
        Step::Wait(222),
        Step::Reorder { vm: 240, key: 227 },
    ];
    steps.extend([Step::Counter(0); 29]);
    run_steps(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}

/// A sequence that once failed: a request stayed in the request table after a node had left while
/// messages were lost.
#[test]
fn leave_amid_losses() {
    let mut steps = vec![
        Step::Wait(129),
        Step::Draft(155),
        Step::Network {
            loss: 32,
            copies: 70,
            delay: 120,
        },
        Step::Stale,
        Step::Start(104),
        Step::Reorder { vm: 36, key: 52 },
        Step::Draft(135),
        Step::Crash(135),
        Step::Wait(41),
        Step::Network {
            loss: 169,
            copies: 176,
            delay: 124,
        },
        Step::Publish {
            data_centre: 28,
            out: false,
        },
        Step::Wait(144),
        Step::Heal,
        Step::Drain(176),
    ];
    steps.extend([Step::Counter(0); 25]);
    run_steps(&steps, &[("a", 2), ("b", 2), ("c", 1)], true);
}
