//! ORDER: a server of a newer version leaves again, and then all machines lose power.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Answer, Request, fresh_id},
    node::{Node, Ports, Settings, addresses},
    record::Record,
    server::{Runs, Server, Stream},
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const SESSIONS: usize = 120;

/// Time limit of the route and of its clients, as on the sheet of Hollerieth.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Time that a client waits after its stream has broken, before its only retry.
const BACKOFF: Duration = Duration::from_millis(2_000);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"cast","host":"desk.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":400,"priority":0,"service":"textmodell","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":250,"allowedRegions":[]}],"services":[{"name":"textmodell","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"engine":{"slots":64,"kvCapacityTokens":643339,"kvBytes":18432,"linkMbps":280000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"society","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"allowedRegions":[]}]}"#;

/// Returns a request of a session, whose last part of the prompt is the session's.
fn request(session: usize, path: &str, left: Duration) -> Request {
    Request {
        id: fresh_id(),
        method: "POST",
        host: "desk.example".to_owned(),
        path: path.to_owned(),
        key: KEY.to_owned(),
        deadline_ms: left.as_millis() as u64,
        fields: format!("Model: m\r\nToken-Usage: 628,300\r\nPrompt-Prefix: 5c1e07a2:119,{:08x}:509\r\n", 0xabc0_0000 + session),
        body: vec![b'x'; 830],
    }
}

fn versions(answer: &Answer) -> Vec<String> {
    let events = answer.events();
    events.iter().map(|(_, data)| data.split(' ').next().unwrap_or_default().to_owned()).collect()
}

/// Counts of streams: begun, broken, gone on, and with events of two versions.
type Counts = Arc<Mutex<[u32; 4]>>;

/// A client's stream, and its one retry if that breaks.
fn follow(session: usize, fronts: [SocketAddrV4; 2], record: &Record, counts: &Counts) {
    let begun = Instant::now();
    let first = request(session, "/stream/long", TIMEOUT);
    record.line(&format!("client sends {} of session {session}", first.id));
    let answer = first.send(fronts[session % 2]);
    let (mut seen, last) = (versions(&answer), answer.events().last().map(|(id, _)| *id));
    record.line(&format!(
        "client got {} status={} whole={} events={} last={last:?} error={:?}",
        first.id, answer.status, answer.whole, seen.len(), answer.error
    ));
    let Some(last) = last else { return };
    counts.lock().expect("held briefly")[0] += 1;
    if answer.whole {
        return;
    }
    counts.lock().expect("held briefly")[1] += 1;
    thread::sleep(BACKOFF);
    let left = TIMEOUT.saturating_sub(begun.elapsed());
    if left.is_zero() {
        return;
    }
    let mut again = request(session, "/stream/long", left);
    again.fields += &format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", first.id);
    record.line(&format!("client sends {} to go on with {} after event {last}", again.id, first.id));
    let answer = again.send(fronts[(session + 1) % 2]);
    let more = versions(&answer);
    record.line(&format!(
        "client got {} status={} whole={} events={} error={:?}",
        again.id, answer.status, answer.whole, more.len(), answer.error
    ));
    if more.is_empty() {
        return;
    }
    seen.extend(more);
    seen.dedup();
    let mut counts = counts.lock().expect("held briefly");
    counts[2] += 1;
    if seen.len() > 1 {
        counts[3] += 1;
        record.line(&format!("MIXED: the stream of {} has events of {}", first.id, seen.join(", then ")));
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("op/config", CONFIG);
    let runs: Runs = Arc::default();
    let stream = Stream { events: 49, pace: Duration::from_millis(190) };
    let server = |at: usize, version: &str| {
        Server::new(&format!("i-{at}"), "muenchen-nord", "textmodell", version, stream, &runs, record)
    };
    let old: Vec<Server> = (0..3).map(|at| server(at, "v1")).collect();
    for server in &old {
        server.register(&store, "ready");
    }
    let zones = [("muenchen-nord", "oberbayern")];
    let ips = addresses(2);
    let settings = Settings {
        zone: "muenchen-nord",
        zones: &zones,
        seeds: &ips,
        store: store.address,
        grace_s: 8,
        memory_mb: 260,
        max_fds: 4100,
    };
    let ports = Ports::free(ips[0]);
    let mut nodes: Vec<Node> = ips
        .iter()
        .enumerate()
        .map(|(at, &ip)| Node::new(&format!("front-{at}"), ip, ports, &settings, record))
        .collect();
    for node in &mut nodes {
        node.start();
    }
    for node in &nodes {
        node.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(2));
    let fronts = [nodes[0].front(), nodes[1].front()];
    record.line("each session has its first turn, at the servers of v1");
    for session in 0..SESSIONS {
        let request = request(session, "/stream/short", TIMEOUT);
        if !request.send(fronts[session % 2]).whole {
            return Err("a first turn was not served".to_owned());
        }
    }
    let mut newer = server(3, "v2");
    newer.register(&store, "ready");
    thread::sleep(Duration::from_secs(1));
    record.line("each session has its second turn, at any server");
    let counts: Counts = Arc::default();
    let clients: Vec<_> = (0..SESSIONS)
        .map(|session| {
            let (record, counts) = (record.clone(), Arc::clone(&counts));
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || follow(session, fronts, &record, &counts))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    // The newer version is taken back: its server drains, serves for `drainMs` and a little longer, and ends.
    newer.leave();
    newer.register(&store, "draining");
    thread::sleep(Duration::from_millis(3_300));
    newer.crash();
    store.remove("servers/i-3");
    thread::sleep(Duration::from_millis(400));
    if trouble {
        for node in &mut nodes {
            node.kill();
        }
        record.line("all machines have lost power");
        thread::sleep(Duration::from_millis(700));
        for node in &mut nodes {
            node.write(&settings, false);
            node.start();
        }
        for node in &nodes {
            node.wait_ready()?;
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let [begun, broken, going, mixed] = *counts.lock().expect("held briefly");
    let text = format!("{begun} streams began, {broken} broke, {going} went on, {mixed} of these with events of two versions");
    record.line(&text);
    println!("{text}");
    if begun < SESSIONS as u32 / 2 {
        return Err("less than half of the streams began".to_owned());
    }
    Ok(mixed <= 2)
}
