//! An engine that is full turns a booking away, and a second copy of this answer arrives late.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    engine::{Engine, Exchange, Place},
    fleet::{Fleet, ZONES, booking, call, configure},
    store::Store,
    util::{BROKEN, HELD, NOT_RUN, Record},
};

/// Bookings that are sent.
const BOOKINGS: usize = 60;

/// Time between two bookings; the sheet has 11.6 a second.
const INTERVAL: Duration = Duration::from_millis(90);

/// Time for which an engine works on a booking.
const WORK: Duration = Duration::from_millis(30);

/// The first booking at which the first zone's engine is full, counted at that engine.
const FIRST_FULL: u32 = 20;

/// Answer of an engine that is full, as `fleetbench wire` prints it.
const FULL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// What the engine of the first zone does wrong, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A second copy of the answer is still to come, on this connection.
    Pending(usize),
    Done,
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::default();
    configure(&store);
    let stores: Vec<SocketAddr> = ZONES.iter().map(|_| store.serve(Vec::new())).collect();
    let engines: Vec<Engine> = (0..ZONES.len())
        .map(|at| start_engine(at, &store, record, has_trouble))
        .collect();
    let fleet = Fleet::start(&stores, record);
    if !fleet.wait_ready(engines.len()) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let consumers: Vec<_> = (0..BOOKINGS)
        .map(|number| {
            let (front, record) = (fleet.front(0), record.clone());
            let answers = Arc::clone(&answers);
            let consumer = thread::spawn(move || {
                let id = format!("b{number:04}");
                record.line(format!("consumer sends booking {id}"));
                let answer = call(front, &booking(&id), Duration::from_secs(3));
                record.line(format!("consumer gets {} for {id}", answer.status));
                answers
                    .lock()
                    .expect("held briefly")
                    .push((id, answer.status));
            });
            thread::sleep(INTERVAL);
            consumer
        })
        .collect();
    for consumer in consumers {
        consumer.join().expect("a consumer ends");
    }
    thread::sleep(Duration::from_millis(300));
    fleet.quote_log(0, "event=attempt_ended", 5);
    let answers = answers.lock().expect("held briefly").clone();
    check(record, &answers, &engines)
}

fn start_engine(at: usize, store: &Store, record: &Record, has_trouble: bool) -> Engine {
    let place = Place {
        id: format!("i-7f3a91c{at}"),
        service: "verleih-portal".to_owned(),
        zone: ZONES[at].0.to_owned(),
        version: "v1".to_owned(),
        slots: 6,
    };
    let count = AtomicU32::new(0);
    let fault = Mutex::new(Fault::None);
    Engine::start(place, store, record, move |engine, exchange| {
        let number = count.fetch_add(1, Ordering::SeqCst) + 1;
        if at == 0 && number == FIRST_FULL {
            *fault.lock().expect("held briefly") = Fault::Pending(exchange.connection);
            engine.say(exchange, "is full: 503 with Not-Executed");
            return exchange.write(FULL.as_bytes());
        }
        engine.begin(exchange);
        if has_trouble && is_due(&fault, exchange) {
            engine.say(
                exchange,
                "a second copy of the last answer here, the 503, is sent now",
            );
            exchange.write(FULL.as_bytes());
        }
        thread::sleep(WORK);
        engine.say(exchange, "has run it: 200");
        exchange.answer("{\"booked\":true}")
    })
}

/// Returns whether the second copy is to be sent now, which it is once.
fn is_due(fault: &Mutex<Fault>, exchange: &Exchange) -> bool {
    let mut fault = fault.lock().expect("held briefly");
    let is_due = *fault == Fault::Pending(exchange.connection);
    if is_due {
        *fault = Fault::Done;
    }
    is_due
}

/// TWICE: a request that isn't idempotent runs more than once. REFUSED: answered 503 and has run.
fn check(record: &Record, answers: &[(String, u16)], engines: &[Engine]) -> i32 {
    let mut code = HELD;
    if answers.len() < BOOKINGS || answers.iter().filter(|(_, status)| *status == 200).count() < 30
    {
        return NOT_RUN;
    }
    for (id, status) in answers {
        let runs: usize = engines.iter().map(|engine| engine.runs_of(id)).sum();
        if runs > 1 {
            record.line(format!(
                "TWICE broken: booking {id} ran {runs} times, answered {status}"
            ));
            code = BROKEN;
        }
        if runs > 0 && matches!(status, 408 | 421 | 429 | 503) {
            record.line(format!(
                "REFUSED broken: booking {id} ran and was answered {status}"
            ));
            code = BROKEN;
        }
    }
    code
}
