//! A part of a prompt that crashes each endpoint which begins to answer on it.
//!
//! Requests with the part differ in all else and come at every node; sound requests share their
//! organisation and their other parts. The nodes must stop the part together, and nothing else.

mod world;

use peridotdeck_core::dispatch::{
    Dispatcher, Prefix,
    attempt::{End, Next, Placement},
    crashes::{List, Subject},
    refusal::Cause,
    registry::{self, Fact},
};
use world::{COMMON, CRASHES, DEADLY, MAX_LATE, Sound, World, data_centre, prompt};

use crate::dispatch::{
    configure, copies, decoded_request, dispatcher, endpoint, expect_sent, ms, options, publish,
};

/// Guards against a part that crashes one endpoint after the other, since no two requests are alike.
#[test]
fn part_is_stopped_by_all_nodes() {
    let orders: [&[Prefix]; 4] = [
        &[COMMON, DEADLY],
        &[DEADLY, 12],
        &[COMMON, DEADLY, 13],
        &[COMMON, 14, DEADLY],
    ];
    for (seed, parts) in orders.into_iter().enumerate() {
        let mut world = World::new(7, 12, seed as u64);
        world.run(ms(12_000), 0.1, parts);
        world.assert_stopped(&format!("{parts:?}"));
        assert!(world.crashes.len() <= CRASHES + MAX_LATE, "{parts:?}");
        world.sound = Sound::default();
        world.run(ms(20_000), 0.1, parts);
        world.assert_stopped(&format!("{parts:?}"));
        world.assert_sound(&format!("{parts:?}"));
    }
}

/// Guards against requests with the part that come rarely, long after the last crash.
#[test]
fn part_that_comes_rarely_is_stopped() {
    let mut world = World::new(7, 12, 11);
    world.run(ms(120_000), 0.01, &[COMMON, 12, DEADLY]);
    assert!(world.crashes.len() >= 3);
    world.assert_stopped("rare");
    world.assert_sound("rare");
}

/// Guards against nodes that forget the part with a restart, or miss it behind a network partition.
#[test]
fn part_is_stopped_by_nodes_that_come_back() {
    let parts = [COMMON, DEADLY];
    let mut world = World::new(7, 12, 21);
    world.cut = vec![1];
    world.run(ms(8_000), 0.1, &parts);
    world.cut.clear();
    world.run(ms(4_500), 0.0, &parts);
    let before = world.deadly_sends.len();
    for round in 0..10 {
        world.restart(round % 7);
        // A new node gets its first callers when it knows the configuration.
        world.run(ms(150), 0.0, &parts);
        world.run(ms(2_000), 0.2, &parts);
    }
    let sent = world.deadly_sends.len() - before;
    assert!(sent <= MAX_LATE, "{sent} after nodes came back");
}

/// Guards against the blame of sound parts when many endpoints crash together for another reason.
#[test]
fn parts_of_requests_beside_an_outage_are_served() {
    let mut world = World::new(7, 12, 31);
    for round in 0..4 {
        for index in 0..4 {
            let key = world.endpoints[(round + index * 3) % 12].key;
            world.crash(key);
        }
        world.run(ms(6_000), 0.0, &[COMMON]);
    }
    let Sound {
        arrived,
        quarantined,
        ..
    } = world.sound;
    assert!(
        quarantined * 200 <= arrived,
        "{quarantined} of {arrived} sound requests were refused"
    );
}

/// Guards against a proof by an answer that ended with the connection of its endpoint's last moment.
#[test]
fn answer_that_may_be_cut_is_no_proof() {
    let infos: Vec<_> = (0..4)
        .map(|index| endpoint(&format!("e{index}"), "text", data_centre(index)))
        .collect();
    let mut node = configure(Dispatcher::new(options(1, data_centre(0)), ms(0)), &infos);
    let mut deadly = decoded_request("bulk");
    deadly.prompt = prompt(&[COMMON, DEADLY]);
    for round in 0..3 {
        let now = ms(round * 1_000);
        let mut flight = node.admit(deadly.clone(), round, now).expect("admitted");
        let Placement::Send(assignment) = node.place(&mut flight, now) else {
            panic!("an endpoint is left");
        };
        let mut attempt = assignment.attempt;
        node.record_answer_start(&mut attempt, false, &flight, now);
        node.finish(&attempt, End::Unconfirmed, &flight, now);
        node.record_probe(attempt.key(), false, now + ms(30));
        node.tick(now + ms(500));
    }
    let refusal = node.admit(deadly, 9, ms(4_000)).expect_err("refused");
    assert_eq!(refusal.cause, Cause::Quarantined);
}

/// Ends three endpoints, as announced in each of four ways, 3 s after a request was sent there; the
/// request may have begun.
///
/// Returns how many of the requests are sent again, and whether a fourth one is admitted, for each way.
fn end_as_announced(has_begun: bool) -> (Vec<usize>, Vec<bool>) {
    let (mut retried, mut admitted) = (Vec::new(), Vec::new());
    for (by_answer, before_break) in [(true, true), (true, false), (false, true), (false, false)] {
        let infos: Vec<_> = (0..6)
            .map(|index| endpoint(&format!("e{index}"), "text", data_centre(index)))
            .collect();
        let mut node = configure(Dispatcher::new(options(1, data_centre(0)), ms(0)), &infos);
        let mut request = decoded_request("urgent");
        request.prompt = prompt(&[COMMON, 12]);
        let mut count = 0;
        for round in 0..3 {
            let sent = ms(round * 5_000);
            let mut flight = node.admit(request.clone(), 7, sent).expect("admitted");
            let mut attempt = expect_sent(node.place(&mut flight, sent)).attempt;
            if has_begun {
                node.record_answer_start(&mut attempt, false, &flight, sent + ms(200));
            }
            let now = sent + ms(3_300);
            let info = infos.iter().find(|info| info.key() == attempt.key());
            let leaving = registry::Endpoint {
                draining: true,
                ..info.expect("an endpoint").clone()
            };
            let announce = |node: &mut Dispatcher| {
                if by_answer {
                    node.record_departure(attempt.key(), now);
                } else {
                    publish(node, round + 2, Fact::Endpoint(leaving.clone()), now);
                }
            };
            if before_break {
                announce(&mut node);
            }
            node.finish(&attempt, End::Broken, &flight, now);
            if !before_break {
                announce(&mut node);
            }
            let next = node.next_step(&mut flight, End::Broken, now);
            count += usize::from(next == Next::Retry);
            node.record_probe(attempt.key(), false, now + ms(30));
            node.tick(now + ms(500));
        }
        retried.push(count);
        admitted.push(node.admit(request, 7, ms(15_000)).is_ok());
    }
    (retried, admitted)
}

/// Guards against requests that are refused, or not sent again, since endpoints ended as announced.
#[test]
fn announced_end_of_an_endpoint_is_no_crash() {
    assert_eq!(end_as_announced(true), (vec![3; 4], vec![true; 4]));
}

/// Guards against a request that crashes one leaving endpoint after the other as it begins, after a
/// long time in their queues.
#[test]
fn crash_of_a_leaving_endpoint_counts() {
    assert_eq!(end_as_announced(false).1, vec![false; 4]);
}

/// Guards against a part that is not stopped because every second endpoint that it crashes has just
/// said that it is leaving.
#[test]
fn part_is_stopped_beside_leaving_endpoints() {
    let parts = [COMMON, DEADLY];
    for seed in 61..66 {
        let mut world = World::new(7, 12, seed);
        let mut rounds = 0;
        for _ in 0..2_400 {
            let before = world.deadly_sends.len();
            world.run(ms(25), 0.05, &parts);
            if world.deadly_sends.len() > before {
                rounds += 1;
                if rounds % 2 == 1 {
                    world.drain_deadly();
                }
            }
        }
        assert!((3..=CRASHES + MAX_LATE).contains(&world.crashes.len()));
        world.assert_stopped(&format!("seed {seed}"));
        world.assert_sound(&format!("seed {seed}"));
    }
}

/// Guards against a quarantine that outlives its reason.
#[test]
fn part_that_no_longer_crashes_endpoints_is_served_again() {
    let parts = [COMMON, DEADLY];
    let mut world = World::new(7, 12, 41);
    world.run(ms(8_000), 0.1, &parts);
    world.deadly = false;
    world.run(ms(400_000), 0.05, &parts);
    let before = world.deadly_sends.len();
    world.run(ms(10_000), 0.1, &parts);
    assert!(world.deadly_sends.len() - before >= 20);
}

/// Guards against trials of all nodes that together crash one endpoint after the other.
#[test]
fn trials_become_rare() {
    let mut world = World::new(7, 12, 51);
    world.run(ms(500_000), 0.02, &[COMMON, DEADLY]);
    assert!(world.crashes.len() > 3, "a trial has been made");
    world.assert_stopped("trials");
}

/// Guards against a quarantine of what no longer comes, and against state without end.
#[test]
fn state_is_bounded_and_ends_with_its_reason() {
    let mut list = List::default();
    for endpoint in 1..=3 {
        list.record(Subject::Part(DEADLY), endpoint, ms(0));
    }
    for subject in 0..5_000 {
        list.record(Subject::Request(subject), 9, ms(subject));
        list.clear_part(subject + 1_000, ms(subject));
    }
    assert_eq!(list.quarantines(ms(5_000)).count(), 1, "the worst is kept");
    assert!(list.reports(8, 0, ms(5_000)).len() <= 8);
    assert!(list.proofs(6, ms(5_000)).len() <= 6);
    list.note_use(Subject::Part(DEADLY), ms(300_000));
    list.expire(ms(899_000));
    assert_eq!(list.quarantines(ms(899_000)).count(), 1, "it still comes");
    list.expire(ms(900_000));
    assert_eq!(list.quarantines(ms(900_000)).count(), 0);
    assert!(list.reports(8, 0, ms(900_000)).is_empty());
}

/// Guards against crashes that grow younger while nodes tell each other of them, and never end.
#[test]
fn reported_crashes_keep_their_age() {
    let (mut one, mut other) = (List::default(), List::default());
    one.record(Subject::Part(DEADLY), 1, ms(1_000));
    for step in 1..=100 {
        let now = ms(1_000 + step * 10_000);
        for report in one.reports(8, 0, now) {
            other.receive(report, now);
        }
        for report in other.reports(8, 0, now) {
            one.receive(report, now);
        }
        one.expire(now);
        other.expire(now);
    }
    assert_eq!(one.count(Subject::Part(DEADLY)), 0);
    assert_eq!(other.count(Subject::Part(DEADLY)), 0);
}

/// Callers send the same lookup again and again. It was quarantined because endpoints crashed beside
/// it, although other nodes had it answered all the while.
#[test]
fn request_that_is_answered_at_other_nodes_stays_in_use() {
    let infos: Vec<_> = (0..6)
        .map(|number| endpoint(&format!("e{number}"), "desk", "muenchen"))
        .collect();
    let mut nodes = [1, 2].map(|number| dispatcher(number, "muenchen", &infos));
    let exchange = |nodes: &mut [Dispatcher; 2], now| {
        for from in 0..2 {
            for (_, beat) in copies(nodes[from].tick(now).heartbeats) {
                nodes[1 - from].receive(&beat, now);
            }
        }
    };
    exchange(&mut nodes, ms(100));
    for crash in 1..=4 {
        let now = ms(5_000 * crash);
        for node in 0..2 {
            let Ok(mut flight) = nodes[node].admit(decoded_request("lookup"), 7, now) else {
                panic!("refused after {crash} crashes beside it");
            };
            let attempt = expect_sent(nodes[node].place(&mut flight, now)).attempt;
            if node == 0 {
                nodes[0].finish(&attempt, End::Broken, &flight, now);
                nodes[0].record_probe(attempt.key(), false, now);
            } else {
                nodes[1].finish(&attempt, End::Finished, &flight, now + ms(20));
            }
        }
        for step in 1..40 {
            exchange(&mut nodes, now + ms(25 * step));
        }
    }
}
