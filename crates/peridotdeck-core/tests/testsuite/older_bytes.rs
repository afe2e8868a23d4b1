//! Heartbeats and snapshots as the last landed build writes them.
//!
//! Postcard has no field names: a field that is added, removed or moved makes nodes of two builds
//! misread each other. What must be said in a new way is said as `docs/design/BUILDS.md` describes.

use std::{fmt::Write as _, net::SocketAddrV4, sync::Arc, time::Duration};

use peridotdeck_core::dispatch::{
    config::{Config, Kind, Limits, Model, Organisation, Route, Service, Share},
    registry::{Endpoint, Position, Progress, Snapshot},
};
use peridotdeck_wire::{
    beat::{
        self, Beat, Demand, Grant, Health, Holding, Load, Member, Pause, Proof, Rate, Stream,
        Strike,
    },
    pack, unpack,
};

/// A heartbeat in which no two fields are alike, as commit d455793 writes it.
const BEAT: &str = "\
    04010165848688086701046a6b0294a6c888010cc90101d301a4c6888902d5010001dd01b4e6c88903df01b0ea0101\
    c486898a04d8aed9aac5ea94a951e8ce99abc6ec98b16100ffffffff0f0101f4e6c98b07f201f301f40102ffffffff\
    ffffffffff01fb01018384845084878a8c0801848484500194a7ca8c09900285848450a4c78a8d0a03990201a302b8\
    efdaadcbf6acd9b10101ad02c4878b8e0c019c1800b10204b702c10201cb02d4a7cb8e0de8cf9bafcefcb8f1e10101\
    d502f4e7cb8f0fd70201d90202df02e002e902";

/// A configuration with a closed data centre, as commit d455793 writes it.
const POLICY: &str = "\
    0002910302920301f4030307626f6f6b696e6709682e6578616d706c65092f626f6f6b696e672f0103c0843d018089\
    7a000301046465736bf80301000001027231046368617409682e6578616d706c65062f636861742f0203c0843d0180\
    897a010080e59a770301046465736bf80303000101027231066c6f6f6b757009682e6578616d706c65082f6c6f6f6b\
    75702f0003c0843d0180897a000301046465736bf8030201000102723102046465736bff0300808092f40185eb51b8\
    1e8514400189048a04ec51b81e85eb1440f6285c8fc2f51440000000000000000000000000000107736f6369657479\
    01050102723201046b657931009d049e0400c08bf68202008090b38302010162";

/// A whole endpoint list, as commit d455793 writes it.
const ROSTER: &str = "\
    01029103029203010203692d31d9dcc1a28c34046465736b0276320a010203ff430161de040000c0abb8a10203692d\
    32d9dcc1a28c34046465736b0276320a010203ff430161de040100c0abb8a102000103692d3300c0d2a1ce02";

/// The changes of an endpoint list, as commit d455793 writes them.
const CHANGES: &str = "\
    01029103029203000103692d34d9dcc1a28c34046465736b0276320a010203ff430161de040000c0abb8a102010369\
    2d3500";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a `String` never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2);
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    pairs.map(byte).collect()
}

fn beat() -> Beat {
    Beat {
        cut_off: true,
        demands: vec![Demand {
            count: 101,
            endpoint: 0x0102_0304,
            held: 103,
            places: true,
            rank: 4,
            rejected: 106,
            seen: 107,
        }],
        departures: vec![0x1112_1314, 12],
        first: 201,
        grants: vec![Grant {
            count: 211,
            endpoint: 0x2122_2324,
            number: 213,
            places: false,
        }],
        health: vec![Health {
            bad: 221,
            endpoint: 0x3132_3334,
            good: 223,
        }],
        history_ms: 30_000,
        holdings: vec![Holding {
            endpoint: 0x4142_4344,
            prefix: 0x5152_5354_5556_5758,
        }],
        incarnation: 0x6162_6364_6566_6768,
        joining: false,
        last: u32::MAX,
        leaving: true,
        loads: vec![Load {
            endpoint: 0x7172_7374,
            running: 242,
            unread: 243,
            urgent: 244,
        }],
        lookups: vec![u64::MAX, 251],
        members: vec![Member {
            node: 0x0a01_0203,
            place: 0x8182_8384,
        }],
        mixed: true,
        node: 0x0a01_0204,
        pauses: vec![Pause {
            endpoint: 0x9192_9394,
            left_ms: 272,
            node: 0x0a01_0205,
        }],
        place: 0xa1a2_a3a4,
        policy: beat::Position {
            era: 3,
            revision: 281,
        },
        proofs: vec![Proof {
            age_ms: 291,
            subject: 0xb1b2_b3b4_b5b6_b7b8,
        }],
        rates: vec![Rate {
            age_ms: 301,
            endpoint: 0xc1c2_c3c4,
            is_brittle: true,
            millis: 3_100,
            named: false,
            rejections: 305,
        }],
        roster: beat::Position {
            era: 4,
            revision: 311,
        },
        sequence: 321,
        streams: vec![Stream {
            left_ms: 331,
            software: 0xd1d2_d3d4,
            stream: 0xe1e2_e3e4_e5e6_e7e8,
        }],
        strikes: vec![Strike {
            age_ms: 341,
            endpoint: 0xf1f2_f3f4,
            idle_ms: 343,
            is_part: true,
            subject: 345,
        }],
        unreached: vec![351, 352],
        version: 361,
    }
}

fn progress() -> Progress {
    Progress {
        changed: Position::new(2, 401),
        read: Position::new(2, 402),
    }
}

fn config() -> Config {
    let route = |name: &str, kind, gap, attempts| Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_millis(3_001),
        target: Duration::from_millis(1_002),
        gap,
        priority: 3,
        split: vec![Share {
            service: "desk".to_owned(),
            weight: 504,
        }],
        attempts,
        public: kind == Kind::Idempotent,
        resumable: kind == Kind::Stream,
        regions: vec!["r1".to_owned()],
    };
    let gap = Some(Duration::from_millis(250));
    Config {
        version: 500,
        routes: vec![
            Arc::new(route("booking", Kind::NonIdempotent, None, 1)),
            Arc::new(route("chat", Kind::Stream, gap, 3)),
            Arc::new(route("lookup", Kind::Idempotent, None, 2)),
        ],
        services: vec![
            Service {
                name: "desk".to_owned(),
                connections: 511,
                cold: Duration::from_millis(512),
                cold_rate: 5.13,
                model: Some(Model {
                    slots: 521,
                    memory_tokens: 522,
                    token_bytes: 5.23,
                    link_mbps: 5.24,
                }),
            },
            Service::default(),
        ],
        organisations: vec![Arc::new(Organisation {
            name: "society".to_owned(),
            priority: Some(5),
            regions: vec!["r2".to_owned()],
        })],
        keys: vec![("key1".to_owned(), 0)],
        limits: Limits {
            head_bytes: 541,
            body_bytes: 542,
            head_time: Duration::from_millis(543),
            idle_time: Duration::from_millis(544),
        },
    }
}

fn endpoint(id: &str, draining: bool) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        born: 1_790_000_000_601,
        service: "desk".to_owned(),
        version: "v2".to_owned(),
        address: SocketAddrV4::new([10, 1, 2, 3].into(), 8_703),
        data_centre: "a".to_owned(),
        slots: 606,
        draining,
        cold: Duration::from_millis(607),
    }
}

fn snapshots() -> [(&'static str, Snapshot); 3] {
    let policy = Snapshot::Policy {
        progress: progress(),
        config: Some(Arc::new(config())),
        closed: vec!["b".to_owned()],
    };
    let roster = Snapshot::Roster {
        progress: progress(),
        whole: true,
        endpoints: vec![endpoint("i-1", false), endpoint("i-2", true)],
        gone: Vec::new(),
        lapsing: vec![("i-3".to_owned(), Duration::from_millis(701))],
    };
    let changes = Snapshot::Roster {
        progress: progress(),
        whole: false,
        endpoints: vec![endpoint("i-4", false)],
        gone: vec!["i-5".to_owned()],
        lapsing: Vec::new(),
    };
    [(POLICY, policy), (ROSTER, roster), (CHANGES, changes)]
}

/// Guards against heartbeats that nodes of the last landed build misread or drop.
#[test]
fn heartbeat_has_the_layout_of_the_older_build() {
    let written = pack(&beat()).expect("fits a datagram");
    assert_eq!(hex(&written), BEAT);
    let read: Beat = unpack(&bytes(BEAT)).expect("a heartbeat");
    assert_eq!(read, beat());
}

/// Guards against snapshots that nodes of the last landed build misread or drop.
#[test]
fn snapshots_have_the_layout_of_the_older_build() {
    for (recorded, snapshot) in snapshots() {
        let written = postcard::to_stdvec(&snapshot).expect("a snapshot");
        assert_eq!(hex(&written), recorded);
        let read: Snapshot = postcard::from_bytes(&bytes(recorded)).expect("a snapshot");
        assert_eq!(read, snapshot);
    }
}

/// Guards against snapshots that a later build cannot add anything to.
#[test]
fn bytes_after_a_snapshot_are_skipped() {
    for (recorded, snapshot) in snapshots() {
        let later = [bytes(recorded), b"something new".to_vec()].concat();
        let read: Snapshot = postcard::from_bytes(&later).expect("a snapshot");
        assert_eq!(read, snapshot);
    }
}
