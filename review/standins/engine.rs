//! An engine: it registers in the store and answers by a script of the case.

use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
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

/// What changes with each start of an engine.
#[derive(Clone, Debug)]
struct Life {
    /// Version of the engine's software.
    version: String,
    /// Time of the start in Unix milliseconds.
    born: u64,
    /// Set when the engine crashes.
    has_ended: Arc<AtomicBool>,
}

#[derive(Clone)]
pub struct Engine {
    pub place: Place,
    pub address: SocketAddr,
    pub record: Record,
    life: Arc<Mutex<Life>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    script: Option<Script>,
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
        let life = Life {
            version: place.version.clone(),
            born: 1_764_900_000_000,
            has_ended: Arc::default(),
        };
        let mut engine = Self {
            address: listener.local_addr().expect("bound"),
            place,
            record: record.clone(),
            life: Arc::new(Mutex::new(life)),
            open: Arc::default(),
            script: None,
            runs: Arc::default(),
        };
        let own = engine.clone();
        engine.script = Some(Arc::new(move |exchange: &Exchange| script(&own, exchange)));
        engine.accept(listener);
        engine.register(store);
        engine
    }

    /// Accepts connections until the engine crashes; then the listener closes.
    fn accept(&self, listener: TcpListener) {
        let own = self.clone();
        let has_ended = Arc::clone(&self.life.lock().expect("held briefly").has_ended);
        listener.set_nonblocking(true).expect("a new socket");
        thread::spawn(move || {
            let mut connection = 0;
            while !has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let copy = stream.try_clone().expect("a copy");
                own.open.lock().expect("held briefly").push(copy);
                let own = own.clone();
                thread::spawn(move || own.serve(&stream, connection));
                connection += 1;
            }
        });
    }

    /// Ends all connections and refuses new ones, as when the process has crashed.
    pub fn crash(&self) {
        self.record
            .line(format!("engine {} crashes", self.place.id));
        self.life
            .lock()
            .expect("held briefly")
            .has_ended
            .store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("held briefly").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under the same id and address, with another version of the software.
    pub fn restart(&self, version: &str) {
        let mut life = self.life.lock().expect("held briefly");
        version.clone_into(&mut life.version);
        life.born += 60_000;
        life.has_ended = Arc::default();
        drop(life);
        self.record.line(format!(
            "engine {} starts again with software {version}",
            self.place.id
        ));
        self.accept(TcpListener::bind(self.address).expect("its own port"));
    }

    fn has_crashed(&self) -> bool {
        self.life
            .lock()
            .expect("held briefly")
            .has_ended
            .load(Ordering::SeqCst)
    }

    /// Returns the version of the software that runs now.
    pub fn version(&self) -> String {
        self.life.lock().expect("held briefly").version.clone()
    }

    /// Writes the engine's entry at each check-in, for as long as this program runs.
    fn register(&self, store: &Store) {
        /// Time between two check-ins.
        const HEARTBEAT: Duration = Duration::from_millis(1_200);
        let (own, store) = (self.clone(), store.clone());
        let entry = move |calls: u64| {
            let Place {
                service,
                zone,
                slots,
                ..
            } = &own.place;
            let Life { version, born, .. } = own.life.lock().expect("held briefly").clone();
            let entry = format!(
                r#"{{"service":"{service}","addr":"{}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","coldLeftMs":0,"callSeq":{calls},"born":{born}}}"#,
                own.address
            );
            if !own.has_crashed() {
                store.write(&format!("servers/{}", own.place.id), &entry);
            }
        };
        entry(1);
        thread::spawn(move || {
            for calls in 2.. {
                thread::sleep(HEARTBEAT);
                entry(calls);
            }
        });
    }

    fn serve(&self, stream: &TcpStream, connection: usize) {
        let script = self
            .script
            .as_ref()
            .expect("set before connections are accepted");
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
                let born = self.life.lock().expect("held briefly").born;
                return json(&format!(
                    r#"{{"stage":"unified","queued":0,"running":0,"born":{born}}}"#
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
