//! ORDER: a server that starts again under its id with other software while the store is down.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    client::{Request, fresh_id},
    node::{Node, Ports, Settings, addresses},
    record::Record,
    server::{Runs, Server, Stream},
    store::Store,
};

const HOST: &str = "desk.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Time limit of the route and of its clients; the sheet of Hollerieth has 12 s.
const TIMEOUT_MS: u64 = 12_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"cast","host":"desk.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":400,"priority":0,"service":"textmodell","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":250,"allowedRegions":[]}],"services":[{"name":"textmodell","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"engine":{"slots":64,"kvCapacityTokens":643339,"kvBytes":18432,"linkMbps":280000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"society","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"allowedRegions":[]}]}"#;

fn request() -> Request {
    let id = fresh_id();
    Request {
        method: "POST",
        host: HOST.to_owned(),
        path: "/stream/2f".to_owned(),
        key: KEY.to_owned(),
        deadline_ms: TIMEOUT_MS,
        fields: format!("Model: m\r\nToken-Usage: 628,300\r\nPrompt-Prefix: {id}:628\r\n"),
        body: vec![b'x'; 830],
        id,
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("op/config", CONFIG);
    let runs: Runs = Arc::default();
    let stream = Stream { events: 49, pace: Duration::from_millis(80) };
    let mut servers: Vec<Server> = (0..4)
        .map(|at| Server::new(&format!("i-{at}"), "muenchen-nord", "textmodell", "v1", stream, &runs, record))
        .collect();
    for server in &servers {
        server.register(&store, "ready");
    }
    let zones = [("muenchen-nord", "oberbayern")];
    let ips = addresses(2);
    let ports = Ports::free(ips[0]);
    let settings = Settings {
        zone: "muenchen-nord",
        zones: &zones,
        seeds: &ips,
        store: store.address,
        grace_s: 8,
        memory_mb: 260,
        max_fds: 4100,
    };
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
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let mixed = Arc::new(Mutex::new((0, 0, 0)));
    let begun = record.now();
    // A new stream each 800 ms for 4.8 s, then a busier time with one each 15 ms for 10 s.
    let clients = thread::spawn({
        let (record, mixed) = (record.clone(), Arc::clone(&mixed));
        move || {
            let mut threads = Vec::new();
            for number in 0..656 {
                let (record, mixed, front) = (record.clone(), Arc::clone(&mixed), fronts[number % 2]);
                threads.push(thread::spawn(move || watch(front, &record, &mixed)));
                let gap = if number < 6 { 800 } else { 15 };
                thread::sleep(Duration::from_millis(gap));
            }
            for thread in threads {
                let _ = thread.join();
            }
        }
    });
    let wait_until = |second: u64| {
        let until = begun + Duration::from_secs(second);
        thread::sleep(until.saturating_sub(record.now()));
    };
    if trouble {
        wait_until(4);
        store.set_silent(true);
        thread::sleep(Duration::from_millis(200));
        servers[1].crash();
        thread::sleep(Duration::from_millis(500));
        servers[1].version = "v2".to_owned();
        servers[1].start();
        wait_until(11);
        servers[1].crash();
        wait_until(12);
        store.set_silent(false);
        servers[1].start();
        servers[1].register(&store, "ready");
    }
    clients.join().map_err(|_| "a client failed".to_owned())?;
    let (streams, whole, broken) = *mixed.lock().expect("held briefly");
    record.line(&format!("{streams} streams, {whole} of them whole, {broken} with events of two versions"));
    println!("{streams} streams, {whole} whole, {broken} with events of two versions");
    if whole * 2 < streams {
        return Err("less than half of the streams were served".to_owned());
    }
    Ok(broken <= 2)
}

/// Reads one stream and notes whether it has events of two versions.
fn watch(front: std::net::SocketAddrV4, record: &Record, counts: &Mutex<(u32, u32, u32)>) {
    let request = request();
    record.line(&format!("client sends {} to {front}", request.id));
    let answer = request.send(front);
    let events = answer.events();
    let version = |data: &str| data.split(' ').next().unwrap_or_default().to_owned();
    let mut versions: Vec<String> = events.iter().map(|(_, data)| version(data)).collect();
    versions.dedup();
    record.line(&format!(
        "client got {} status={} whole={} events={} versions={versions:?} error={:?}",
        request.id,
        answer.status,
        answer.whole,
        events.len(),
        answer.error
    ));
    let mut counts = counts.lock().expect("held briefly");
    counts.0 += 1;
    counts.1 += u32::from(answer.status == 200 && answer.whole);
    counts.2 += u32::from(versions.len() > 1);
    if versions.len() > 1 {
        let list: Vec<String> = events.iter().map(|(id, data)| format!("{id}:{data}")).collect();
        record.line(&format!("MIXED {}: {}", request.id, list.join(" | ")));
    }
}
