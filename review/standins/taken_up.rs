//! All nodes are killed and start again; a while later one is killed, and its consumers take their
//! streams up at another node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Place, send_stream},
    fleet::{Fleet, ZONES, call, configure, resumption, stream},
    http::{Answer, End},
    store::Store,
    util::{BROKEN, HELD, NOT_RUN, Record, SIGKILL},
};

/// Streams that are open at the node that is killed last, and new streams at the others after it.
const STREAMS: usize = 20;

/// Events of a stream; the sheet's mean is 49.
const EVENTS: u32 = 49;

/// Time between two events; the sheet's pauses may take 250 ms.
const GAP: Duration = Duration::from_millis(100);

/// Time until the platform starts a process again.
const DOWN: Duration = Duration::from_millis(600);

/// Time from the common restart to the streams; `stableWindowMs` is 4,000.
const CALM: Duration = Duration::from_secs(8);

/// The consumer's time limit on the sheet.
const DEADLINE: Duration = Duration::from_secs(12);

/// Further tries of a consumer that is refused with a time after which to come back.
const MAX_TRIES: u32 = 4;

/// What became of a stream that its consumer took up again, or of a new one.
struct Outcome {
    goes_on: bool,
    is_complete: bool,
}

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
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        for at in 0..stores.len() {
            fleet.signal(at, SIGKILL, "SIGKILL");
        }
        thread::sleep(DOWN);
        for (at, store) in stores.iter().enumerate() {
            fleet.restart(at, *store);
        }
        if !fleet.wait_ready(engines.len()) {
            return NOT_RUN;
        }
    }
    thread::sleep(CALM);
    let taken: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let fronts = (fleet.front(0), fleet.front(1));
            let (record, taken) = (record.clone(), Arc::clone(&taken));
            thread::spawn(move || {
                let outcome = consume(number, fronts, &record);
                taken.lock().expect("held briefly").extend(outcome);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    fleet.signal(0, SIGKILL, "SIGKILL");
    let newcomers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (front, record) = (fleet.front(1), record.clone());
            thread::spawn(move || {
                let id = format!("6{number:04x}");
                let request = stream("rollenauszug", &id, 12_000);
                let answer = call(front, &request, Duration::from_secs(3));
                let (status, end) = (answer.status, answer.end);
                record.line(format!("consumer: new stream {id}: {status}, {end:?}"));
                status == 200
            })
        })
        .collect();
    let begun = newcomers
        .into_iter()
        .map(|one| one.join().expect("a consumer ends"))
        .filter(|has_begun| *has_begun)
        .count();
    for consumer in consumers {
        consumer.join().expect("a consumer ends");
    }
    fleet.quote_log(1, "cause=unknown-stream", 3);
    check(record, &taken.lock().expect("held briefly"), begun)
}

/// Asks the first node for a stream, and takes it up at the second one when it breaks.
///
/// Returns nothing if it did not break.
fn consume(number: usize, fronts: (SocketAddr, SocketAddr), record: &Record) -> Option<Outcome> {
    let id = format!("5{number:04x}");
    let until = Instant::now() + DEADLINE;
    let first = call(
        fronts.0,
        &stream("rollenauszug", &id, 12_000),
        Duration::from_secs(3),
    );
    let last = events(&first);
    record.line(format!(
        "consumer: stream {id}: {}, events up to {last}, {:?}",
        first.status, first.end
    ));
    if first.end == End::Framed || last == 0 {
        return None;
    }
    let mut outcome = Outcome {
        goes_on: false,
        is_complete: false,
    };
    for attempt in 1..=MAX_TRIES {
        let left = until.saturating_duration_since(Instant::now());
        let new_id = format!("7{number:04x}{attempt}");
        let request = resumption("rollenauszug", &new_id, &id, last, left.as_millis());
        let answer = call(fronts.1, &request, Duration::from_secs(3));
        let wait = answer.header("retry-after").map(str::to_owned);
        record.line(format!(
            "consumer: stream {id} taken up at node 1 as {new_id} after event {last}: {}, \
             events up to {}, {:?}, Retry-After {wait:?}",
            answer.status,
            last.max(events(&answer)),
            answer.end
        ));
        if answer.status == 200 {
            outcome.goes_on = events(&answer) > last;
            outcome.is_complete = events(&answer) == EVENTS;
            break;
        }
        let wait: f64 = wait.and_then(|text| text.parse().ok()).unwrap_or(0.2);
        thread::sleep(Duration::from_secs_f64(wait));
    }
    Some(outcome)
}

/// Returns the number of the last event of an answer; 0 without one.
fn events(answer: &Answer) -> u32 {
    let text = String::from_utf8_lossy(&answer.body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok())
        .next_back()
        .unwrap_or(0)
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
        thread::sleep(Duration::from_millis(50));
        let last = exchange.request.header("last-event-id");
        let last: u32 = last.and_then(|id| id.parse().ok()).unwrap_or(0);
        send_stream(engine, exchange, false, last + 1..=EVENTS, GAP)
    })
}

/// LOST: of 12 or more streams that consumers take up again at machines in touch, while two engines
/// of their software version serve, the share that goes on is under half of the share of new streams
/// that begin.
fn check(record: &Record, taken: &[Outcome], begun: usize) -> i32 {
    let going = taken.iter().filter(|outcome| outcome.goes_on).count();
    let complete = taken.iter().filter(|outcome| outcome.is_complete).count();
    record.line(format!(
        "{} streams taken up, {going} go on, {complete} to their end; {begun} of {STREAMS} new ones begin",
        taken.len()
    ));
    if taken.len() < 12 || begun == 0 {
        return NOT_RUN;
    }
    let share = |count: usize, all: usize| count as f64 / all as f64;
    if share(going, taken.len()) < share(begun, STREAMS) / 2.0 {
        record.line("LOST broken");
        return BROKEN;
    }
    HELD
}
