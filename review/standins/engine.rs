//! An engine: it registers in the store and answers by a script of the case.

use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Request, read_request},
    store::Store,
    util::Record,
};

/// Start of each engine in Unix milliseconds.
const BORN: u64 = 1_764_900_000_000;

/// Where and as what an engine runs.
#[derive(Clone, Debug)]
pub struct Place {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
}

/// One connection of an engine, and how many requests it has brought.
pub struct Exchange<'a> {
    pub stream: &'a TcpStream,
    pub connection: usize,
    pub request: &'a Request,
}

impl Exchange<'_> {
    /// Writes bytes; returns whether the caller took them.
    pub fn write(&self, bytes: &[u8]) -> bool {
        let mut stream = self.stream;
        stream.write_all(bytes).is_ok()
    }

    /// Writes a complete answer with a length, a receipt and the request's id.
    pub fn answer(&self, body: &str) -> bool {
        self.write(whole(self.request.id(), body).as_bytes())
    }
}

/// Returns a complete answer with a length.
pub fn whole(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.{:x}.0.c9f2a4d1\r\n\
         Keep-Alive: timeout=15\r\nContent-Length: {}\r\n\r\n{body}",
        body.len(),
        body.len()
    )
}

/// Returns one event of a stream.
fn event(number: u32) -> String {
    format!("id: {number}\ndata: {{\"tokens\":6,\"text\":\"six tokens of event {number}\"}}\n\n")
}

/// Sends the events of a stream in chunks, or unframed: with neither a length nor chunks, so that it
/// ends with its connection. Returns whether the connection stays open.
pub fn send_stream(
    engine: &Engine,
    exchange: &Exchange,
    is_unframed: bool,
    events: RangeInclusive<u32>,
    gap: Duration,
) -> bool {
    let id = exchange.request.id();
    let framing = if is_unframed {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    exchange.write(
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        )
        .as_bytes(),
    );
    for number in events {
        let mut text = event(number);
        if !is_unframed {
            text = format!("{:x}\r\n{text}\r\n", text.len());
        }
        if !exchange.write(text.as_bytes()) {
            engine.say(
                exchange,
                &format!("the caller is gone before event {number}"),
            );
            return false;
        }
        thread::sleep(gap);
    }
    engine.say(exchange, "has sent its last event");
    !is_unframed && exchange.write(b"0\r\n\r\n")
}

/// Answers one request; returns whether the connection stays open.
type Script = Arc<dyn Fn(&Exchange) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Engine {
    pub place: Place,
    pub address: SocketAddr,
    pub record: Record,
    /// Whether the entry has been removed from the store.
    has_left: Arc<AtomicBool>,
    /// Ids of the requests that began to run, in order.
    runs: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    /// Starts an engine that is listed in the store.
    ///
    /// Requests that expect another engine get 421, as the pages say.
    pub fn start(
        place: Place,
        store: &Store,
        record: &Record,
        script: impl Fn(&Engine, &Exchange) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let engine = Self {
            address: listener.local_addr().expect("bound"),
            place,
            record: record.clone(),
            has_left: Arc::default(),
            runs: Arc::default(),
        };
        let own = engine.clone();
        let script: Script = {
            let own = engine.clone();
            Arc::new(move |exchange: &Exchange| script(&own, exchange))
        };
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (own, script) = (own.clone(), Arc::clone(&script));
                thread::spawn(move || own.serve(&stream, connection, &script));
            }
        });
        engine.register(store);
        engine
    }

    /// Removes the engine's entry from the store without reporting `draining`; it serves on.
    pub fn leave(&self, store: &Store) {
        self.has_left.store(true, Ordering::SeqCst);
        store.remove(&format!("servers/{}", self.place.id));
        self.record
            .line(format!("the entry of engine {} is removed", self.place.id));
    }

    /// Writes the engine's entry at each check-in, for as long as this program runs.
    fn register(&self, store: &Store) {
        /// Time between two check-ins.
        const HEARTBEAT: Duration = Duration::from_millis(1_200);
        let (own, store) = (self.clone(), store.clone());
        let check_in = move |calls: u64| {
            let Place {
                id,
                service,
                zone,
                version,
                slots,
            } = &own.place;
            let entry = format!(
                r#"{{"service":"{service}","addr":"{}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","coldLeftMs":0,"callSeq":{calls},"born":{BORN}}}"#,
                own.address
            );
            if !own.has_left.load(Ordering::SeqCst) {
                store.put(&format!("servers/{id}"), &entry);
            }
        };
        check_in(1);
        thread::spawn(move || {
            for calls in 2.. {
                thread::sleep(HEARTBEAT);
                check_in(calls);
            }
        });
    }

    fn serve(&self, stream: &TcpStream, connection: usize, script: &Script) {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut reader) {
            let exchange = Exchange {
                stream,
                connection,
                request: &request,
            };
            let stays = match self.answer_itself(&exchange) {
                Some(stays) => stays,
                None => script(&exchange),
            };
            if !stays {
                return;
            }
        }
    }

    /// Answers what needs no slot, and requests for another engine.
    fn answer_itself(&self, exchange: &Exchange) -> Option<bool> {
        let id = &self.place.id;
        let json = |body: &str| {
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            Some(exchange.write(text.as_bytes()))
        };
        match exchange.request.path() {
            "/health" => {
                let text =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                return Some(exchange.write(text.as_bytes()));
            }
            "/api/report" => {
                return json(&format!(
                    r#"{{"stage":"unified","queued":0,"running":0,"born":{BORN}}}"#
                ));
            }
            "/api/kv-list" => return json(r#"{"epoch":1,"next":0,"held":[]}"#),
            _ => {}
        }
        if exchange
            .request
            .header("expect-instance")
            .is_some_and(|other| other != id)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return Some(exchange.write(text.as_bytes()));
        }
        None
    }

    /// Notes that this engine begins to work on a request.
    pub fn begin(&self, exchange: &Exchange) {
        let id = exchange.request.id();
        self.runs.lock().expect("held briefly").push(id.to_owned());
        self.say(exchange, "begins to run it");
    }

    /// Records what this engine does with a request.
    pub fn say(&self, exchange: &Exchange, what: &str) {
        self.record.line(format!(
            "engine {} connection {} request {}: {what}",
            self.place.id,
            exchange.connection,
            exchange.request.id()
        ));
    }

    /// Returns how often this engine began to run a request.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = self.runs.lock().expect("held briefly");
        runs.iter().filter(|each| *each == id).count()
    }
}
