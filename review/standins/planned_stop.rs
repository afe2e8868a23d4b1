//! A node is stopped while streams pass it that last longer than the grace time, one without framing.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Place, send_stream},
    fleet::{Fleet, GRACE, ZONES, call, configure, stream},
    http::Answer,
    store::Store,
    util::{BROKEN, HELD, NOT_RUN, Record, SIGTERM},
};

/// Streams that are open when the node is stopped.
const STREAMS: usize = 20;

/// The one stream of twenty that comes with neither a length nor chunks.
const UNFRAMED: &str = "50007";

/// Events of a stream, as on the sheet.
const EVENTS: u32 = 64;

/// Time between two events; the sheet's pauses may take 1,000 ms.
const GAP: Duration = Duration::from_millis(170);

/// Time from the first request to the signal.
const STOP_AFTER: Duration = Duration::from_secs(2);

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::default();
    configure(&store);
    let stores: Vec<SocketAddr> = ZONES.iter().map(|_| store.serve(Vec::new())).collect();
    let engines: Vec<Engine> = (0..ZONES.len())
        .map(|at| start_engine(at, &store, record))
        .collect();
    let mut fleet = Fleet::start(&stores, record);
    if !fleet.wait_ready(engines.len()) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (front, record) = (fleet.front(0), record.clone());
            let answers = Arc::clone(&answers);
            thread::spawn(move || {
                let id = format!("5{number:04x}");
                record.line(format!("consumer asks for stream {id}"));
                let request = stream("volltext-analyse", &id, 15_000);
                let answer = call(front, &request, Duration::from_secs(3));
                answers.lock().expect("held briefly").push((id, answer));
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    if has_trouble {
        let until = Instant::now() + GRACE;
        fleet.signal(0, SIGTERM, "SIGTERM");
        fleet.end_within(0, until);
    }
    for consumer in consumers {
        consumer.join().expect("a consumer ends");
    }
    let answers = answers.lock().expect("held briefly");
    check(record, &answers)
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
        engine.begin(exchange);
        thread::sleep(Duration::from_millis(100));
        send_stream(
            engine,
            exchange,
            exchange.request.id() == UNFRAMED,
            1..=EVENTS,
            GAP,
        )
    })
}

/// MIXED: an answer that ends early must not look complete. An answer without a length ends with
/// its connection; one that is reset on the way isn't complete.
fn check(record: &Record, answers: &[(String, Answer)]) -> i32 {
    let mut code = HELD;
    for (id, answer) in answers {
        let text = String::from_utf8_lossy(&answer.body);
        let events = text.matches("\n\n").count();
        record.line(format!(
            "consumer: stream {id}: status {}, {events} of {EVENTS} events, Transfer-Encoding {:?}, {:?}",
            answer.status,
            answer.header("transfer-encoding"),
            answer.end,
        ));
        if answer.status != 200 {
            return NOT_RUN;
        }
        if events < EVENTS as usize && answer.end.looks_complete() {
            record.line(format!(
                "MIXED broken: stream {id} ended early and looks complete"
            ));
            code = BROKEN;
        }
    }
    code
}
