//! FAILBACK: all machines lose power, and those that the seeds name do not come back.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
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

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const MACHINES: u8 = 7;

/// Figures of the sheet of Hearthlog: `coldPerS`, `coldOver`, `coldSlack`.
const COLD_PER_S: f64 = 22.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD_MS: u64 = 3_000;

/// Requests in a second at which a cold server falls over; the pages say "well above" `coldPerS`.
const FALLS_AT: usize = 45;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"label-tag","host":"desk.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":400,"priority":1,"service":"wickmind","maxAttempts":1,"public":false,"sticky":true,"streamResume":false,"gapAimMs":300,"allowedRegions":[]}}],"services":[{{"name":"wickmind","healthPath":"/health","maxConns":620,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":{COLD_PER_S},"engine":{{"slots":128,"kvCapacityTokens":1026544,"kvBytes":18432,"linkMbps":280000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"society","apiKeys":["{KEY}"],"priority":1,"allowedRegions":[]}}]}}"#
    )
}

fn request() -> Request {
    let id = fresh_id();
    Request {
        method: "POST",
        host: "desk.example".to_owned(),
        path: "/stream/2f".to_owned(),
        key: KEY.to_owned(),
        deadline_ms: 3000,
        fields: format!("Model: m\r\nToken-Usage: 1800,24\r\nPrompt-Prefix: {id}:1800\r\n"),
        body: vec![b'x'; 2400],
        id,
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("op/config", &config());
    let runs: Runs = Arc::default();
    let stream = Stream { events: 16, pace: Duration::from_millis(20) };
    let mut servers: Vec<Server> = (0..3)
        .map(|at| Server::new(&format!("i-{at}"), "sohar-a", "wickmind", "v1", stream, &runs, record))
        .collect();
    for server in &mut servers {
        server.slots = 128;
        server.register(&store, "ready");
    }
    let zones = [("sohar-a", "batinah")];
    let ips = addresses(MACHINES);
    let settings = Settings {
        zone: "sohar-a",
        zones: &zones,
        seeds: &ips[..3],
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
    thread::sleep(Duration::from_secs(3));
    if trouble {
        for node in &mut nodes {
            node.kill();
        }
        record.line("all machines have lost power; front-0 to front-2, the seeds, do not come back");
        thread::sleep(Duration::from_secs(1));
        for node in &mut nodes[3..] {
            node.write(&settings, false);
            node.start();
        }
        for node in &nodes[3..] {
            node.wait_ready()?;
        }
    }
    // Longer than `recoverS`, and than any window of a start.
    thread::sleep(Duration::from_secs(15));
    let fronts: Vec<SocketAddrV4> = nodes[3..].iter().map(Node::front).collect();
    let ends = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new((0, 0)));
    let clients: Vec<_> = (0..160)
        .map(|at| {
            let (ends, served, front) = (Arc::clone(&ends), Arc::clone(&served), fronts[at % fronts.len()]);
            thread::spawn(move || {
                let mut turn = at as u64;
                while !ends.load(Ordering::Relaxed) {
                    // Clients think for different times, so that they don't send together.
                    turn = turn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    thread::sleep(Duration::from_millis(10 + (turn >> 33) % 200));
                    let answer = request().send(front);
                    let mut served = served.lock().expect("held briefly");
                    served.0 += 1;
                    served.1 += u32::from(answer.status == 200 && answer.whole);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    // The server comes back cold after a second.
    servers[1].crash();
    thread::sleep(Duration::from_secs(1));
    servers[1].cold_ms = COLD_MS;
    servers[1].start();
    servers[1].register(&store, "ready");
    let cold_from = record.now();
    let mut cold_until = cold_from + Duration::from_millis(COLD_MS);
    let mut has_fallen = false;
    while record.now() < cold_until {
        thread::sleep(Duration::from_millis(2));
        let since = record.now().saturating_sub(Duration::from_secs(1));
        let runs = runs.lock().expect("held briefly");
        let recent = runs.iter().rev().take_while(|run| run.at >= since);
        let recent = recent.filter(|run| run.server == "i-1" && run.at >= cold_from).count();
        drop(runs);
        if recent >= FALLS_AT {
            servers[1].crash();
            record.line(&format!("{recent} requests in a second are too many for the cold server"));
            has_fallen = true;
            cold_until = record.now();
        }
    }
    thread::sleep(Duration::from_millis(500));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let at_cold: Vec<Duration> = runs
        .lock()
        .expect("held briefly")
        .iter()
        .filter(|run| run.server == "i-1" && run.at >= cold_from && run.at < cold_until)
        .map(|run| run.at)
        .collect();
    let second = Duration::from_secs(1);
    let in_second = |from: Duration| at_cold.iter().filter(|at| **at >= from && **at < from + second).count();
    let most = at_cold.iter().map(|at| in_second(*at)).max().unwrap_or(0);
    let bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let (all, good) = *served.lock().expect("held briefly");
    record.line(&format!("{most} requests in one second at the cold server, bound {bound}; it fell over: {has_fallen}; {good} of {all} served"));
    println!("{most} requests in one second at the cold server, bound {bound}; it fell over: {has_fallen}; {good} of {all} served");
    if good * 2 < all {
        return Err("less than half of the requests were served".to_owned());
    }
    Ok(most as f64 <= bound)
}
