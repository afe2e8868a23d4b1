//! Heartbeats that decode, with numbers and orders that no node of this build sends.

use bolero::check;
use peridotdeck_core::dispatch::{Dispatcher, data_centre, endpoint::Load, rate::Terms};
use peridotdeck_wire::beat::{self, Beat};

use crate::dispatch::{
    REGIONS, admit, decoded_request, dispatcher, endpoint, expect_sent, ms, node,
};

const HERE: &str = REGIONS[0].0;

/// A node with an endpoint that names a rate and is brittle, so that all messages concern it.
fn needy() -> (Dispatcher, u32) {
    let mut dispatcher = dispatcher(1, HERE, &[endpoint("a", "desk", HERE)]);
    let mut flight = admit(&mut dispatcher, decoded_request("lookup"), ms(0));
    let attempt = expect_sent(dispatcher.place(&mut flight, ms(0))).attempt;
    let terms = Terms {
        rate: Some(5.0),
        rejections: Some(3),
    };
    dispatcher.record_terms(&attempt, terms, ms(10));
    (dispatcher, attempt.key())
}

/// A heartbeat of node 2 that says nothing.
fn silent(sequence: u64) -> Beat {
    let position = beat::Position {
        era: 0,
        revision: 1,
    };
    Beat {
        node: node(2).into(),
        incarnation: 2,
        sequence,
        place: data_centre(HERE),
        leaving: false,
        joining: false,
        policy: position.clone(),
        roster: position,
        version: 1,
        members: Vec::new(),
        first: 0,
        last: u32::MAX,
        loads: Vec::new(),
        holdings: Vec::new(),
        health: Vec::new(),
        strikes: Vec::new(),
        proofs: Vec::new(),
        departures: Vec::new(),
        rates: Vec::new(),
        demands: Vec::new(),
        grants: Vec::new(),
        mixed: false,
        history_ms: 0,
        streams: Vec::new(),
        lookups: Vec::new(),
        unreached: Vec::new(),
        cut_off: false,
        pauses: Vec::new(),
    }
}

fn load(endpoint: u32, running: u32) -> beat::Load {
    beat::Load {
        endpoint,
        running,
        unread: running,
        urgent: running,
    }
}

fn peer_load(dispatcher: &Dispatcher, key: u32) -> Load {
    let state = dispatcher.states().iter().find(|state| state.key == key);
    state.expect("listed").peer_load
}

/// Guards against sums of reported loads that overflow, and against loads that stay after their
/// node has reported others, as its list was out of order or named an endpoint twice.
#[test]
fn odd_loads_are_summed_and_end() {
    let (mut dispatcher, key) = needy();
    let loads = [
        vec![load(key, u32::MAX), load(key, u32::MAX)],
        vec![load(u32::MAX, 1), load(key, 7), load(0, 1), load(key, 7)],
        vec![load(key, 3)],
    ];
    let mut sequence = 1;
    for loads in loads {
        let second = Beat {
            node: node(3).into(),
            incarnation: 3,
            loads: vec![load(key, u32::MAX)],
            ..silent(sequence)
        };
        dispatcher.receive(&second, ms(20));
        let first = Beat {
            loads,
            ..silent(sequence)
        };
        dispatcher.receive(&first, ms(20));
        let mut flight = admit(&mut dispatcher, decoded_request("lookup"), ms(20));
        dispatcher.place(&mut flight, ms(20));
        sequence += 1;
        for node in [node(2), node(3)] {
            let none = Beat {
                node: node.into(),
                incarnation: u64::from(node.octets()[3]),
                ..silent(sequence)
            };
            dispatcher.receive(&none, ms(30));
        }
        assert_eq!(peer_load(&dispatcher, key), Load::default());
        sequence += 1;
    }
}

/// Guards against nodes that stand still, or run out of memory, at a demand or a grant without end.
#[test]
fn demands_and_grants_without_end_are_bounded() {
    let (mut dispatcher, key) = needy();
    for (sequence, now_ms) in (1..).zip((2_000..6_000).step_by(100)) {
        let demand = |places| beat::Demand {
            endpoint: key,
            rank: 0,
            count: u32::MAX,
            places,
            held: 0,
            rejected: 0,
            seen: u32::MAX,
        };
        let grant = |places| beat::Grant {
            endpoint: key,
            count: u32::MAX,
            places,
            number: u32::MAX,
        };
        let beat = Beat {
            demands: vec![demand(true), demand(false)],
            grants: vec![grant(true), grant(false)],
            ..silent(sequence)
        };
        dispatcher.receive(&beat, ms(now_ms));
        dispatcher.tick(ms(now_ms));
    }
    let entry = dispatcher.rates().get(key).expect("in need");
    assert!(entry.places.unused(ms(5_900)) < 1_000);
}

/// Guards against a sum of held places that overflows.
#[test]
fn held_places_without_end_are_summed() {
    let (mut dispatcher, key) = needy();
    for number in 2..6 {
        let demand = beat::Demand {
            endpoint: key,
            rank: u8::MAX,
            count: 1,
            places: true,
            held: u32::MAX,
            rejected: u32::MAX,
            seen: 0,
        };
        let beat = Beat {
            node: node(number).into(),
            demands: vec![demand],
            ..silent(1)
        };
        dispatcher.receive(&beat, ms(2_000));
        dispatcher.tick(ms(2_100));
    }
    let entry = dispatcher.rates().get(key).expect("in need");
    assert!(entry.room.held() > 0);
}

/// Numbers to fill a message with: often the smallest and largest ones, and known keys.
struct Numbers<'a> {
    bytes: std::iter::Cycle<std::slice::Iter<'a, u8>>,
    key: u32,
}

impl Numbers<'_> {
    fn byte(&mut self) -> u8 {
        self.bytes.next().copied().unwrap_or_default()
    }

    fn wide(&mut self) -> u64 {
        match self.byte() % 5 {
            0 => u64::MAX,
            1 => 0,
            2 => u64::from(u32::MAX),
            3 => u64::from(self.key),
            _ => u64::from(self.byte()),
        }
    }

    fn next(&mut self) -> u32 {
        self.wide() as u32
    }

    fn flag(&mut self) -> bool {
        self.byte() % 2 == 1
    }

    fn list<T>(&mut self, mut entry: impl FnMut(&mut Self) -> T) -> Vec<T> {
        let count = self.byte() % 5;
        (0..count).map(|_| entry(self)).collect()
    }

    fn position(&mut self) -> beat::Position {
        beat::Position {
            era: self.wide(),
            revision: self.wide(),
        }
    }

    fn beat(&mut self, sequence: u64) -> Beat {
        let nodes = [node(2).into(), node(3).into(), self.next()];
        let places = [data_centre(HERE), data_centre(REGIONS[1].0), self.next()];
        let base = Beat {
            node: nodes[usize::from(self.byte() % 3)],
            place: places[usize::from(self.byte() % 3)],
            ..silent(sequence)
        };
        Beat {
            incarnation: self.wide() % 3,
            leaving: self.flag(),
            joining: self.flag(),
            policy: self.position(),
            roster: self.position(),
            version: self.wide(),
            members: self.list(|numbers| beat::Member {
                node: numbers.next(),
                place: numbers.next(),
            }),
            first: self.next(),
            last: self.next(),
            loads: self.list(|numbers| load(numbers.next(), numbers.next())),
            holdings: self.list(|numbers| beat::Holding {
                endpoint: numbers.next(),
                prefix: numbers.wide(),
            }),
            health: self.list(|numbers| beat::Health {
                endpoint: numbers.next(),
                good: numbers.next(),
                bad: numbers.next(),
            }),
            strikes: self.list(|numbers| beat::Strike {
                is_part: numbers.flag(),
                subject: numbers.wide(),
                endpoint: numbers.next(),
                age_ms: numbers.next(),
                idle_ms: numbers.next(),
            }),
            proofs: self.list(|numbers| beat::Proof {
                subject: numbers.wide(),
                age_ms: numbers.next(),
            }),
            rates: self.list(|numbers| beat::Rate {
                endpoint: numbers.next(),
                named: numbers.flag(),
                millis: numbers.next(),
                is_brittle: numbers.flag(),
                rejections: numbers.next(),
                age_ms: numbers.next(),
            }),
            demands: self.list(|numbers| beat::Demand {
                endpoint: numbers.next(),
                rank: numbers.byte(),
                count: numbers.next(),
                places: numbers.flag(),
                held: numbers.next(),
                rejected: numbers.next(),
                seen: numbers.next(),
            }),
            grants: self.list(|numbers| beat::Grant {
                endpoint: numbers.next(),
                count: numbers.next(),
                places: numbers.flag(),
                number: numbers.next(),
            }),
            mixed: self.flag(),
            history_ms: self.next(),
            streams: self.list(|numbers| beat::Stream {
                stream: numbers.wide(),
                software: numbers.next(),
                left_ms: numbers.next(),
            }),
            lookups: self.list(Self::wide),
            unreached: self.list(Self::next),
            cut_off: self.flag(),
            pauses: self.list(|numbers| beat::Pause {
                endpoint: numbers.next(),
                node: numbers.next(),
                left_ms: numbers.next(),
            }),
            ..base
        }
    }
}

/// Whatever peers send, the node decides, answers and sends heartbeats that fit a datagram.
#[test]
fn any_heartbeats_are_survived() {
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let (mut dispatcher, key) = needy();
        let mut numbers = Numbers {
            bytes: bytes.iter().cycle(),
            key,
        };
        for (sequence, now_ms) in (1..).zip((20..3_000).step_by(250)) {
            let beat = numbers.beat(sequence);
            let (replies, _) = dispatcher.receive(&beat, ms(now_ms));
            let due = dispatcher.tick(ms(now_ms + 1)).heartbeats;
            for sent in replies.iter().chain(due.iter().map(|due| &due.beat)) {
                peridotdeck_wire::pack(sent).expect("fits a datagram");
            }
            let mut flight = admit(&mut dispatcher, decoded_request("lookup"), ms(now_ms + 2));
            dispatcher.place(&mut flight, ms(now_ms + 2));
        }
    });
}
