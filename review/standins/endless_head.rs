//! A faulty engine sends interim answer heads without end, until the node closes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Exchange, Place},
    fleet::{Fleet, ZONES, call, configure, lookup},
    store::Store,
    util::{BROKEN, HELD, NOT_RUN, Record, SIGTERM},
};

/// Time for which consumers send requests.
const LENGTH: Duration = Duration::from_secs(14);

/// Time after which the engine is faulty.
const FAULT_AT: Duration = Duration::from_secs(3);

/// Time between two requests at the node that is observed.
const INTERVAL: Duration = Duration::from_millis(150);

/// The route's `timeoutMs`, and half a second more.
const BOUND: Duration = Duration::from_millis(1_500 + 500);

/// Bytes that the engine sends per second at most: the `linkMbps` of the sheet's machines.
const BYTES_PER_SECOND: u64 = 1_000_000_000 / 8;

/// A consumer's request: when it was sent, and the status and time of its answer.
struct Call {
    sent: Duration,
    status: u16,
    took: Duration,
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::default();
    configure(&store);
    let stores: Vec<SocketAddr> = ZONES.iter().map(|_| store.serve(Vec::new())).collect();
    let faulty = Arc::new(AtomicBool::new(false));
    let engines: Vec<Engine> = (0..ZONES.len())
        .map(|at| start_engine(at, &store, record, &faulty))
        .collect();
    let mut fleet = Fleet::start(&stores, record);
    if !fleet.wait_ready(engines.len()) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    let begun = Instant::now();
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let mut consumers = Vec::new();
    let mut number = 0;
    while begun.elapsed() < LENGTH {
        if has_trouble && begun.elapsed() >= FAULT_AT {
            faulty.store(true, Ordering::SeqCst);
        }
        number += 1;
        let id = format!("k{number:04}");
        let (front, record, calls) = (fleet.front(0), record.clone(), Arc::clone(&calls));
        consumers.push(thread::spawn(move || {
            let sent = begun.elapsed();
            let answer = call(front, &lookup(&id), Duration::from_millis(3_500));
            let took = begun.elapsed() - sent;
            let (status, took_ms) = (answer.status, took.as_millis());
            record.line(format!(
                "consumer: {id} sent at {sent:.3?}: {status} after {took_ms} ms"
            ));
            calls
                .lock()
                .expect("held briefly")
                .push(Call { sent, status, took });
        }));
        thread::sleep(INTERVAL);
    }
    let (ready, pages) = (fleet.is_ready(0), !fleet.page(0, "/status").is_empty());
    record.line(format!(
        "node 0 answers the balancer: {ready}, its control address: {pages}"
    ));
    record.line(format!(
        "node 1 answers the balancer: {}",
        fleet.is_ready(1)
    ));
    for consumer in consumers {
        consumer.join().expect("a consumer ends");
    }
    let until = Instant::now() + crate::fleet::GRACE;
    fleet.signal(0, SIGTERM, "SIGTERM");
    fleet.end_within(0, until);
    check(record, &calls.lock().expect("held briefly"))
}

fn start_engine(at: usize, store: &Store, record: &Record, faulty: &Arc<AtomicBool>) -> Engine {
    let place = Place {
        id: format!("i-7f3a91c{at}"),
        service: "verleih-portal".to_owned(),
        zone: ZONES[at].0.to_owned(),
        version: "v1".to_owned(),
        slots: 6,
    };
    let faulty = Arc::clone(faulty);
    let poured = AtomicU64::new(0);
    Engine::start(place, store, record, move |engine, exchange| {
        engine.begin(exchange);
        // One engine of three is in trouble, and only one of its answers.
        if at == 0 && faulty.load(Ordering::SeqCst) && poured.fetch_add(1, Ordering::SeqCst) == 0 {
            pour(engine, exchange);
            return false;
        }
        thread::sleep(Duration::from_millis(30));
        exchange.answer("{\"plays\":[17]}")
    })
}

/// Sends bytes that are no answer until the caller closes, at the speed of the sheet's link at most.
fn pour(engine: &Engine, exchange: &Exchange) {
    let head = format!("HTTP/1.1 103 Early Hints\r\n{}\r\n", "a:\r\n".repeat(20));
    let piece = head.repeat(500);
    let begun = Instant::now();
    let mut sent: u64 = 0;
    engine.say(exchange, "sends heads without end from now on");
    while exchange.write(piece.as_bytes()) {
        sent += piece.len() as u64;
        let due = Duration::from_secs_f64(sent as f64 / BYTES_PER_SECOND as f64);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    let took = begun.elapsed().as_secs_f64();
    engine.say(
        exchange,
        &format!("the caller closed after {took:.1} s and {sent} bytes"),
    );
}

/// CONFIG: of the requests still unanswered at their route's `timeoutMs`, more than half have no
/// answer half a second later; and eight or more, and over a quarter, have no final answer then.
fn check(record: &Record, calls: &[Call]) -> i32 {
    let before = calls.iter().filter(|call| call.sent < FAULT_AT);
    if before.clone().count() < 10 || before.clone().any(|call| call.status != 200) {
        return NOT_RUN;
    }
    let timeout = BOUND - Duration::from_millis(500);
    let open = calls.iter().filter(|call| call.took > timeout).count();
    let late = calls.iter().filter(|call| call.took > BOUND).count();
    record.line(format!(
        "{open} requests unanswered at timeoutMs, {late} half a second later"
    ));
    if late >= 8 && 2 * late > open {
        record.line("CONFIG broken");
        return BROKEN;
    }
    HELD
}
