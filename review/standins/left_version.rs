//! An engine of another software version leaves, and all nodes are killed while its streams run on.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Place},
    fleet::{Fleet, ZONES, call, configure, resumption, stream},
    http::{Answer, End},
    store::Store,
    util::{BROKEN, HELD, NOT_RUN, Record, SIGKILL},
};

/// Streams that run at the engine that leaves.
const STREAMS: usize = 20;

/// Engines of the version that stays, in the other zones.
const OTHERS: usize = 17;

/// Events of a stream; the sheet's mean is 49.
const EVENTS: u32 = 49;

/// Time between two events; the sheet's pauses may take 250 ms.
const GAP: Duration = Duration::from_millis(100);

/// Time until the platform starts a process again.
const DOWN: Duration = Duration::from_millis(600);

/// The consumer's time limit on the sheet.
const DEADLINE: Duration = Duration::from_secs(12);

/// Further tries of a consumer that is refused, or finds no node.
const MAX_TRIES: u32 = 8;

/// Events of a stream by the version that made them, over all tries of its consumer.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    old: usize,
    new: usize,
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::default();
    configure(&store);
    let stores: Vec<SocketAddr> = ZONES.iter().map(|_| store.serve(Vec::new())).collect();
    let leaving = start_engine("i-02d9e6b0", 0, "v1", &store, record);
    for number in 0..OTHERS {
        let id = format!("i-7f3a91{number:02x}");
        start_engine(&id, 1 + number % 2, "v2", &store, record);
    }
    let mut fleet = Fleet::start(&stores, record);
    if !fleet.wait_ready(OTHERS + 1) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let fronts = (fleet.front(0), fleet.front(1));
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            thread::spawn(move || {
                let outcome = consume(number, fronts, &record);
                outcomes.lock().expect("held briefly").push(outcome);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        leaving.leave(&store);
        thread::sleep(Duration::from_millis(500));
        for at in 0..stores.len() {
            fleet.signal(at, SIGKILL, "SIGKILL");
        }
        thread::sleep(DOWN);
        for (at, store) in stores.iter().enumerate() {
            fleet.restart(at, *store);
        }
    }
    for consumer in consumers {
        consumer.join().expect("a consumer ends");
    }
    let outcomes = outcomes.lock().expect("held briefly");
    check(record, &outcomes)
}

/// Asks the first node for a stream, and takes it up at the second one when it breaks.
fn consume(number: usize, fronts: (SocketAddr, SocketAddr), record: &Record) -> Outcome {
    let id = format!("5{number:04x}");
    let until = Instant::now() + DEADLINE;
    let mut outcome = Outcome::default();
    let request = stream("rollenauszug", &id, 12_000);
    let first = call(fronts.0, &request, Duration::from_secs(3));
    let last = count(&first, &mut outcome);
    record.line(format!(
        "consumer: stream {id}: {}, events up to {last}, {outcome:?}, {:?}",
        first.status, first.end
    ));
    if first.end == End::Framed || last == 0 {
        return outcome;
    }
    for attempt in 1..=MAX_TRIES {
        let left = until.saturating_duration_since(Instant::now());
        let new_id = format!("7{number:04x}{attempt}");
        let request = resumption("rollenauszug", &new_id, &id, last, left.as_millis());
        let answer = call(fronts.1, &request, Duration::from_secs(3));
        if answer.status == 200 {
            let last = count(&answer, &mut outcome);
            record.line(format!(
                "consumer: stream {id} taken up at node 1 as {new_id}: 200, events up to {last}, \
                 {outcome:?}, {:?}",
                answer.end
            ));
            break;
        }
        let wait = answer.header("retry-after").map(str::to_owned);
        let wait: f64 = wait.and_then(|text| text.parse().ok()).unwrap_or(0.2);
        thread::sleep(Duration::from_secs_f64(wait));
    }
    outcome
}

/// Counts the events of an answer by version, and returns the number of the last one.
fn count(answer: &Answer, outcome: &mut Outcome) -> u32 {
    let text = String::from_utf8_lossy(&answer.body);
    outcome.old += text.matches("\"by\":\"v1\"").count();
    outcome.new += text.matches("\"by\":\"v2\"").count();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok())
        .next_back()
        .unwrap_or(0)
}

fn start_engine(id: &str, zone: usize, version: &str, store: &Store, record: &Record) -> Engine {
    let place = Place {
        id: id.to_owned(),
        service: "textmodell".to_owned(),
        zone: ZONES[zone].0.to_owned(),
        version: version.to_owned(),
        slots: 64,
    };
    Engine::start(place, store, record, |engine, exchange| {
        engine.begin(exchange);
        let last = exchange.request.header("last-event-id");
        let last: u32 = last.and_then(|id| id.parse().ok()).unwrap_or(0);
        let version = &engine.place.version;
        engine.say(exchange, &format!("software {version}, after event {last}"));
        thread::sleep(Duration::from_millis(50));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            exchange.request.id()
        );
        exchange.write(head.as_bytes());
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {{\"by\":\"{version}\"}}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !exchange.write(chunk.as_bytes()) {
                return false;
            }
            thread::sleep(GAP);
        }
        exchange.write(b"0\r\n\r\n")
    })
}

/// ORDER: more than two streams hold events from engines of two software versions of one service, in
/// one answer or over a consumer's tries.
fn check(record: &Record, outcomes: &[Outcome]) -> i32 {
    let begun = outcomes.iter().filter(|one| one.old > 0).count();
    let mixed = outcomes.iter().filter(|one| one.old > 0 && one.new > 0);
    let mixed = mixed.count();
    record.line(format!(
        "{begun} streams begin at the engine that leaves, {mixed} hold events of two versions"
    ));
    if begun < STREAMS / 2 {
        return NOT_RUN;
    }
    if mixed > 2 {
        record.line("ORDER broken");
        return BROKEN;
    }
    HELD
}
