//! A node that lost its paths to the engines uses a peer's path, and the peer's process is killed.

use std::{net::SocketAddr, sync::mpsc::channel, thread, time::Duration};

use crate::{
    engine::{Engine, Place, send_stream},
    fleet::{Fleet, ZONES, call, configure, stream},
    http::Answer,
    proxy::Proxy,
    store::Store,
    util::{BROKEN, HELD, NOT_RUN, Record, SIGKILL, wait_for},
};

/// Streams that consumers ask for while the node uses a peer's path.
const STREAMS: usize = 20;

/// The one stream of twenty that comes with neither a length nor chunks.
const UNFRAMED: &str = "50007";

/// Events of a stream, as on the sheet.
const EVENTS: u32 = 64;

/// Time between two events; the sheet's pauses may take 1,000 ms.
const GAP: Duration = Duration::from_millis(100);

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::default();
    configure(&store);
    let engines: Vec<Engine> = (0..ZONES.len())
        .map(|at| start_engine(at, &store, record))
        .collect();
    // Node 0 reaches each engine through a proxy of its own; the others reach them directly.
    let proxies: Vec<Proxy> = engines
        .iter()
        .map(|engine| Proxy::start(engine.address))
        .collect();
    let paths = engines.iter().zip(&proxies);
    let view = paths.map(|(engine, proxy)| (engine.address.to_string(), proxy.address.to_string()));
    let stores: Vec<SocketAddr> = vec![
        store.serve(view.collect()),
        store.serve(Vec::new()),
        store.serve(Vec::new()),
    ];
    let mut fleet = Fleet::start(&stores, record);
    if !fleet.wait_ready(engines.len()) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(5));
    record.line("node 0 is cut off from all engines");
    proxies.iter().for_each(Proxy::cut);
    // The first requests find out that the paths are lost.
    for number in 0..3 {
        let request = stream("volltext-analyse", &format!("a{number:04x}"), 15_000);
        let front = fleet.front(0);
        thread::spawn(move || call(front, &request, Duration::from_secs(3)));
    }
    let has_detours = || {
        let status = fleet.page(0, "/status");
        status.lines().filter(|line| detour(line).is_some()).count() == ZONES.len()
    };
    if !wait_for(Duration::from_secs(5), has_detours) {
        record.line(fleet.page(0, "/status"));
        return NOT_RUN;
    }
    let (sender, answers) = channel();
    for number in 0..STREAMS {
        let id = format!("5{number:04x}");
        record.line(format!("consumer asks node 0 for stream {id}"));
        let (front, request) = (fleet.front(0), stream("volltext-analyse", &id, 15_000));
        let sender = sender.clone();
        thread::spawn(move || sender.send((id, call(front, &request, Duration::from_secs(3)))));
    }
    drop(sender);
    thread::sleep(Duration::from_secs(2));
    let Some(peer) = find_peer(&fleet, &engines, UNFRAMED) else {
        return NOT_RUN;
    };
    record.line(format!("stream {UNFRAMED} comes through node {peer}"));
    if has_trouble {
        fleet.signal(peer, SIGKILL, "SIGKILL");
    }
    let answers: Vec<(String, Answer)> = answers.iter().collect();
    record.line(format!("node 0 has ended: {}", fleet.has_ended(0)));
    fleet.quote_log(0, UNFRAMED, 3);
    check(record, &answers)
}

/// Returns the peer through which a node reaches the endpoint of a line of its state.
fn detour(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once(" detour=")?;
    let peer = rest.split(' ').next()?;
    (peer != "none").then_some(peer)
}

/// Returns the number of the peer through which node 0 reaches the engine that runs a request.
fn find_peer(fleet: &Fleet, engines: &[Engine], id: &str) -> Option<usize> {
    let engine = engines.iter().find(|engine| engine.runs_of(id) > 0)?;
    let status = fleet.page(0, "/status");
    let start = format!("endpoint={} ", engine.place.id);
    let peer = detour(status.lines().find(|line| line.starts_with(&start))?)?;
    fleet
        .addresses
        .iter()
        .position(|address| address.to_string() == peer)
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
        if id == UNFRAMED && answer.status != 200 {
            return NOT_RUN;
        }
        if events < EVENTS as usize && answer.status == 200 && answer.end.looks_complete() {
            record.line(format!(
                "MIXED broken: stream {id} ended early and looks complete"
            ));
            code = BROKEN;
        }
    }
    code
}
