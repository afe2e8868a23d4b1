//! LOST: clients that do not read, and others that stop short of the end of their bodies.

use std::{
    io::Write,
    net::{SocketAddrV4, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Answer, Request, fresh_id, read_answer},
    node::{Node, Ports, Settings, addresses},
    record::Record,
    server::{Runs, Server, Stream},
    store::Store,
};

/// Settings of a machine of Hollerieth.
const MEMORY_MB: u32 = 260;
const MAX_FDS: u32 = 4_100;

/// Clients that do not read their answers.
const UNREAD: usize = 1_700;

/// Clients that stop just short of the end of their bodies.
const UNFINISHED: usize = 100;

/// Size of such a body; `maxBodyBytes` is 4,194,304.
const BODY_BYTES: usize = 4_000_000;

/// Clients that do as the pages say, each with a connection of its own that it keeps.
const ORDINARY: usize = 64;

const TENANTS: usize = 10;

fn config() -> String {
    let tenants = (0..TENANTS).map(|at| {
        format!(r#"{{"name":"society-{at}","apiKeys":["key-{at}"],"priority":1,"allowedRegions":[]}}"#)
    });
    let tenants: Vec<String> = tenants.collect();
    format!(
        r#"{{"version":7,"routes":[{{"name":"booking","host":"desk.example","pathPrefix":"/plain/","kind":"non_idempotent","timeoutMs":20000,"targetLatencyMs":300,"priority":2,"service":"verleih-portal","maxAttempts":1,"public":false,"sticky":false,"streamResume":false,"allowedRegions":[]}}],"services":[{{"name":"verleih-portal","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        tenants.join(",")
    )
}

fn request(tenant: usize, path: &str, body: Vec<u8>) -> Request {
    Request {
        id: fresh_id(),
        method: "POST",
        host: "desk.example".to_owned(),
        path: path.to_owned(),
        key: format!("key-{}", tenant % TENANTS),
        deadline_ms: 20_000,
        fields: String::new(),
        body,
    }
}

/// What ordinary clients have seen: answers, and the ids of requests that got none.
type Seen = Arc<Mutex<(u32, Vec<String>)>>;

/// Sends one booking after the other on a connection that is kept.
fn book(at: usize, front: SocketAddrV4, ends: &AtomicBool, seen: &Seen, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(front) else { return };
    let mut early = Vec::new();
    while !ends.load(Ordering::Relaxed) {
        let request = request(at, "/plain/booking", vec![b'b'; 600]);
        let mut answer = Answer::default();
        let until = Instant::now() + Duration::from_secs(20);
        let sent = stream.write_all(&request.bytes());
        let read = sent.and_then(|()| read_answer(&mut stream, std::mem::take(&mut early), until, &mut answer));
        match read {
            Ok(behind) => {
                early = behind;
                seen.lock().expect("held briefly").0 += 1;
                if answer.head.to_ascii_lowercase().contains("\"connection\", \"close\"") {
                    return;
                }
            }
            Err(cause) => {
                record.line(&format!("client got no answer to {} on its kept connection: {cause}", request.id));
                if answer.status == 0 {
                    seen.lock().expect("held briefly").1.push(request.id);
                }
                return;
            }
        }
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("op/config", &config());
    let runs: Runs = Arc::default();
    let stream = Stream { events: 1, pace: Duration::ZERO };
    let mut servers: Vec<Server> = (0..3)
        .map(|at| Server::new(&format!("i-{at}"), "muenchen-nord", "verleih-portal", "v1", stream, &runs, record))
        .collect();
    for server in &mut servers {
        server.slots = 1_000;
        server.register(&store, "ready");
    }
    let zones = [("muenchen-nord", "oberbayern")];
    let ips = addresses(1);
    let settings = Settings {
        zone: "muenchen-nord",
        zones: &zones,
        seeds: &ips,
        store: store.address,
        grace_s: 8,
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
    };
    let mut node = Node::new("front-0", ips[0], Ports::free(ips[0]), &settings, record);
    node.start();
    node.wait_ready()?;
    thread::sleep(Duration::from_secs(5));
    let front = node.front();
    let (ends, seen) = (Arc::new(AtomicBool::new(false)), Seen::default());
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|at| {
            let (ends, seen, record) = (Arc::clone(&ends), Arc::clone(&seen), record.clone());
            thread::spawn(move || book(at, front, &ends, &seen, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut open = Vec::new();
    let mut unfinished = Vec::new();
    if trouble {
        record.line(&format!("{UNREAD} clients send a request each, and do not read its answer of 600,000 bytes"));
        for at in 0..UNREAD {
            if let Ok(mut stream) = TcpStream::connect(front) {
                let _ = stream.write_all(&request(at, "/plain/report", vec![b'r'; 600]).bytes());
                open.push(stream);
            }
            if at % 20 == 0 {
                thread::sleep(Duration::from_millis(5));
            }
        }
        if open.len() < UNREAD {
            return Err(format!("only {} connections opened; raise the limit of open files", open.len()));
        }
        record.line(&format!("the process has {} MB", node.resident_kb() / 1024));
        record.line(&format!("{UNFINISHED} clients send bodies of {BODY_BYTES} bytes, but for the last byte"));
        unfinished.extend((0..UNFINISHED).map(|at| {
            thread::spawn(move || {
                let bytes = request(at, "/plain/booking", vec![b'u'; BODY_BYTES]).bytes();
                let Ok(mut stream) = TcpStream::connect(front) else { return };
                let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
                let _ = stream.write_all(&bytes[..bytes.len() - 1]);
                thread::sleep(Duration::from_secs(4));
            })
        }));
    }
    // The platform kills a process that exceeds `memoryMb`.
    let limit_kb = u64::from(MEMORY_MB) * 1024;
    let until = record.now() + Duration::from_secs(8);
    let mut most = 0;
    while record.now() < until {
        let resident = node.resident_kb();
        most = most.max(resident);
        if resident > limit_kb {
            record.line(&format!("platform: the process has {resident} kB, more than {limit_kb}"));
            node.kill();
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let was_killed = most > limit_kb;
    thread::sleep(Duration::from_millis(300));
    ends.store(true, Ordering::Relaxed);
    drop(open);
    for thread in ordinary.into_iter().chain(unfinished) {
        let _ = thread.join();
    }
    let runs = runs.lock().expect("held briefly");
    let (answered, unanswered) = &*seen.lock().expect("held briefly");
    let lost = unanswered.iter().filter(|id| runs.iter().any(|run| run.id == **id)).count();
    let text = format!(
        "most memory {most} kB of {limit_kb}, killed={was_killed}; {answered} bookings answered, {lost} passed on to a server and never answered"
    );
    record.line(&text);
    println!("{text}");
    if *answered < 50 {
        return Err("ordinary bookings were not served before".to_owned());
    }
    Ok(lost <= 3)
}
