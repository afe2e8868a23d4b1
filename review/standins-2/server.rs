//! Servers of a service: they run requests, answer with seals, and register in the store.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddrV4, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Received, Server as Listener, answer, free_address},
    record::Record,
    store::Store,
};

/// Id of a part of prompts that crashes each server which begins to write an answer on it.
pub const DEADLY: &str = "dead07a2";

/// Time from the arrival of a request to the first byte of its answer, at which such a server crashes.
const FIRST: Duration = Duration::from_millis(200);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub version: String,
    pub path: String,
    pub tenant: String,
    pub at: Duration,
    pub is_deadly: bool,
}

/// All runs at all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a server writes as its stream: the number of events, and the time between two.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub events: u64,
    pub pace: Duration,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub service: String,
    pub version: String,
    pub born: u128,
    pub slots: u32,
    /// How long the server stays cold after its start.
    pub cold_ms: u64,
    stream: Stream,
    listener: Option<Listener>,
    /// Parts of prompts in the cache.
    held: Arc<Mutex<Vec<String>>>,
    doomed: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    runs: Runs,
    record: Record,
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
}

impl Server {
    pub fn new(id: &str, zone: &str, service: &str, version: &str, stream: Stream, runs: &Runs, record: &Record) -> Self {
        let mut server = Self {
            id: id.to_owned(),
            address: free_address(Ipv4Addr::LOCALHOST),
            zone: zone.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            born: 0,
            slots: 64,
            cold_ms: 0,
            stream,
            listener: None,
            held: Arc::default(),
            doomed: Arc::default(),
            leaving: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        server.start();
        server
    }

    /// Starts a process of the server, which holds and knows nothing of before.
    pub fn start(&mut self) {
        self.born = unix_millis();
        self.held = Arc::default();
        self.doomed = Arc::default();
        self.leaving = Arc::default();
        let process = Process {
            id: self.id.clone(),
            service: self.service.clone(),
            version: self.version.clone(),
            born: self.born,
            stream: self.stream,
            held: Arc::clone(&self.held),
            doomed: Arc::clone(&self.doomed),
            leaving: Arc::clone(&self.leaving),
            runs: Arc::clone(&self.runs),
            record: self.record.clone(),
        };
        let listener = Listener::start(self.address, move |request: &Received, stream: &mut TcpStream| {
            process.respond(request, stream)
        });
        self.listener = Some(listener.expect("the server's port is free"));
        self.record.line(&format!(
            "server {} runs version {} at {} (born {})",
            self.id, self.version, self.address, self.born
        ));
    }

    /// Ends the process without a word.
    pub fn crash(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.crash();
        }
        self.record.line(&format!("server {} crashes", self.id));
    }

    /// Says in all answers from now on that the server leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.record.line(&format!("server {} leaves", self.id));
    }

    /// Returns whether a request is about to crash the server.
    pub fn is_doomed(&self) -> bool {
        self.doomed.load(Ordering::SeqCst)
    }

    /// Writes the server's entry into the store.
    pub fn register(&self, store: &Store, state: &str) {
        let Self { service, address, zone, version, slots, cold_ms, born, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","coldLeftMs":{cold_ms},"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"callSeq":1,"born":{born}}}"#
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

struct Process {
    id: String,
    service: String,
    version: String,
    born: u128,
    stream: Stream,
    held: Arc<Mutex<Vec<String>>>,
    doomed: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    runs: Runs,
    record: Record,
}

impl Process {
    fn respond(&self, request: &Received, stream: &mut TcpStream) -> bool {
        let head = &request.head;
        let path = head.word(1).to_owned();
        let json = "Content-Type: application/json\r\n";
        if path == "/api/report" {
            let body = format!(
                r#"{{"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"callSeq":1,"queued":0,"running":0,"kvUsed":0,"kvTotal":643339,"handles":0,"born":{}}}"#,
                self.born
            );
            return answer(stream, 200, json, body.as_bytes());
        }
        if path == "/api/kv-list" {
            let held = self.held.lock().expect("held briefly");
            let held: Vec<String> = held.iter().map(|id| format!(r#"["","{id}",100,"m"]"#)).collect();
            let body = format!(r#"{{"epoch":1,"next":1,"held":[{}],"born":{}}}"#, held.join(","), self.born);
            return answer(stream, 200, json, body.as_bytes());
        }
        if path == "/health" {
            return answer(stream, 200, &format!("Instance-Id: {}\r\n", self.id), b"");
        }
        if head.get("expect-instance").is_some_and(|id| id != self.id) {
            return answer(stream, 421, &format!("Instance-Id: {}\r\n", self.id), b"");
        }
        let Some(id) = head.get("request-id").map(str::to_owned) else {
            return answer(stream, 400, "Not-Executed: 1\r\n", b"");
        };
        let tenant = head.get("tenant").unwrap_or_default().to_owned();
        let parts = head.get("prompt-prefix").unwrap_or_default();
        let is_deadly = parts.contains(DEADLY);
        self.record.line(&format!(
            "server {} ({}, {}) runs {id} {path} tenant={tenant} last-event={}",
            self.id,
            self.service,
            self.version,
            head.get("last-event-id").unwrap_or("none")
        ));
        self.runs.lock().expect("held briefly").push(Run {
            id: id.clone(),
            server: self.id.clone(),
            version: self.version.clone(),
            path: path.clone(),
            tenant,
            at: self.record.now(),
            is_deadly,
        });
        if is_deadly {
            thread::sleep(FIRST);
            self.doomed.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(50));
            return false;
        }
        if let Some(parts) = head.get("prompt-prefix") {
            let mut held = self.held.lock().expect("held briefly");
            held.extend(parts.split(',').filter_map(|part| Some(part.split_once(':')?.0.to_owned())));
        }
        let leaving = if self.leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let fields = format!("Request-Id: {id}\r\nResponse-Seal: {}.{}\r\n{leaving}", self.id, self.born);
        if path.starts_with("/stream/") {
            let events = if path.ends_with("/short") { 2 } else { self.stream.events };
            let pace = if path.ends_with("/short") { Duration::from_millis(5) } else { self.stream.pace };
            return self.write_stream(stream, &fields, head.get("last-event-id"), Stream { events, pace });
        }
        if path.ends_with("/report") {
            return answer(stream, 200, &fields, &vec![b'z'; 600_000]);
        }
        thread::sleep(Duration::from_millis(if path.ends_with("/booking") { 200 } else { 30 }));
        answer(stream, 200, &fields, format!("answer of {id} by {}", self.id).as_bytes())
    }

    fn write_stream(&self, stream: &mut TcpStream, fields: &str, last: Option<&str>, long: Stream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
        for number in last + 1..=long.events {
            thread::sleep(long.pace);
            let event = format!("id: {number}\ndata: {} of {}\n\n", self.version, self.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
