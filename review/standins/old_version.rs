//! Engines are started again with newer software, one after the other, while the store is down.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    engine::{Engine, Place},
    fleet::{Fleet, ZONES, call, configure, stream},
    http::Answer,
    store::Store,
    util::{BROKEN, HELD, NOT_RUN, Record},
};

/// Streams that are asked for, one after the other.
const STREAMS: usize = 60;

/// Time between two streams; the sheet has 11.8 a second of this kind.
const INTERVAL: Duration = Duration::from_millis(100);

/// Events of a stream; the sheet's mean is 49.
const EVENTS: u32 = 49;

/// Time between two events; the sheet's pauses may take 250 ms.
const GAP: Duration = Duration::from_millis(60);

/// What happens, in order, with the time before each step: while the store is down for 4.5 s, the
/// engines are started again with newer software, one after the other, each second.
const STEPS: [(Duration, Step); 8] = [
    (Duration::from_millis(500), Step::StoreBusy),
    (Duration::from_millis(300), Step::Stop(1)),
    (Duration::from_millis(500), Step::Restart(1)),
    (Duration::from_millis(500), Step::Stop(2)),
    (Duration::from_millis(500), Step::Restart(2)),
    (Duration::from_millis(500), Step::Stop(0)),
    (Duration::from_millis(500), Step::Restart(0)),
    (Duration::from_millis(1_700), Step::StoreBack),
];

/// A step, with the number of its engine.
#[derive(Clone, Copy, Debug)]
enum Step {
    StoreBusy,
    Stop(usize),
    Restart(usize),
    StoreBack,
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::default();
    configure(&store);
    let stores: Vec<SocketAddr> = ZONES.iter().map(|_| store.serve(Vec::new())).collect();
    let engines: Vec<Engine> = (0..ZONES.len())
        .map(|at| start_engine(at, &store, record))
        .collect();
    let fleet = Fleet::start(&stores, record);
    if !fleet.wait_ready(engines.len()) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        let (engines, store, record) = (engines.clone(), store.clone(), record.clone());
        thread::spawn(move || disturb(&engines, &store, &record));
    }
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (front, record) = (fleet.front(0), record.clone());
            let answers = Arc::clone(&answers);
            let consumer = thread::spawn(move || {
                let id = format!("5{number:04x}");
                record.line(format!("consumer asks for stream {id}"));
                let request = stream("rollenauszug", &id, 12_000);
                let answer = call(front, &request, Duration::from_secs(3));
                answers.lock().expect("held briefly").push((id, answer));
            });
            thread::sleep(INTERVAL);
            consumer
        })
        .collect();
    for consumer in consumers {
        consumer.join().expect("a consumer ends");
    }
    let mut answers = answers.lock().expect("held briefly");
    answers.sort_by(|(one, _), (other, _)| one.cmp(other));
    check(record, &answers)
}

fn disturb(engines: &[Engine], store: &Store, record: &Record) {
    for (delay, step) in STEPS {
        thread::sleep(delay);
        match step {
            Step::StoreBusy => {
                record.line("the store answers 503 from now on");
                store.set_busy(true);
            }
            Step::Stop(at) => engines[at].crash(),
            Step::Restart(at) => engines[at].restart("v2"),
            Step::StoreBack => {
                record.line("the store is back");
                store.set_busy(false);
            }
        }
    }
}

fn start_engine(at: usize, store: &Store, record: &Record) -> Engine {
    let place = Place {
        id: format!("i-02d9e6b{at}"),
        service: "textmodell".to_owned(),
        zone: ZONES[at].0.to_owned(),
        version: "v1".to_owned(),
        slots: 64,
    };
    Engine::start(place, store, record, |engine, exchange| {
        let version = engine.version();
        engine.begin(exchange);
        let last = exchange
            .request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let first: u32 = last.unwrap_or(0) + 1;
        engine.say(exchange, &format!("software {version}, from event {first}"));
        thread::sleep(Duration::from_millis(45));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            exchange.request.id()
        );
        exchange.write(head.as_bytes());
        for number in first..=EVENTS {
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

/// ORDER: more than two streams hold events from engines of two software versions of one service.
fn check(record: &Record, answers: &[(String, Answer)]) -> i32 {
    let mut mixed = 0;
    let mut served = 0;
    for (id, answer) in answers {
        let text = String::from_utf8_lossy(&answer.body);
        let count = |version: &str| text.matches(&format!("\"by\":\"{version}\"")).count();
        let (old, new) = (count("v1"), count("v2"));
        record.line(format!(
            "consumer: stream {id}: {}, {old} events of v1, {new} of v2, {:?}",
            answer.status, answer.end
        ));
        served += usize::from(answer.status == 200);
        mixed += usize::from(old > 0 && new > 0);
    }
    if 2 * served < answers.len() {
        return NOT_RUN;
    }
    record.line(format!("{mixed} streams hold events of two versions"));
    if mixed > 2 {
        record.line("ORDER broken");
        return BROKEN;
    }
    HELD
}
