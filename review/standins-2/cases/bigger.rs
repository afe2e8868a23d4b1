//! CONFIG: many large versions, while the store turns the only machine that is left away.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    client::{Request, fresh_id},
    node::{Node, Ports, Settings, addresses},
    record::Record,
    server::{Runs, Server, Stream},
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED: &str = "anfqasnmgkcuyj8pjbvk";

/// Size of a version in bytes; the store takes 1,048,576.
const CONFIG_BYTES: usize = 700_000;

fn config(version: u64, has_revoked: bool) -> String {
    let keys = if has_revoked { format!(r#""{KEY}","{REVOKED}""#) } else { format!(r#""{KEY}""#) };
    let mut routes = String::new();
    let mut at = 0;
    while routes.len() < CONFIG_BYTES {
        at += 1;
        routes += &format!(
            r#",{{"name":"r-{at:06}","host":"desk.example","pathPrefix":"/more-{at:06}/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"verleih-portal","maxAttempts":2,"public":false,"sticky":false,"streamResume":false,"allowedRegions":[]}}"#
        );
    }
    format!(
        r#"{{"version":{version},"routes":[{{"name":"lookup","host":"desk.example","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"verleih-portal","maxAttempts":2,"public":false,"sticky":false,"streamResume":false,"allowedRegions":[]}}{routes}],"services":[{{"name":"verleih-portal","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"society","apiKeys":[{keys}],"priority":1,"allowedRegions":[]}}]}}"#
    )
}

fn request(key: &str) -> Request {
    Request {
        id: fresh_id(),
        method: "GET",
        host: "desk.example".to_owned(),
        path: "/plain/2f".to_owned(),
        key: key.to_owned(),
        deadline_ms: 3000,
        fields: String::new(),
        body: Vec::new(),
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("op/config", &config(7, true));
    let runs: Runs = Arc::default();
    let stream = Stream { events: 1, pace: Duration::ZERO };
    let servers: Vec<Server> = (0..2)
        .map(|at| Server::new(&format!("i-{at}"), "muenchen-nord", "verleih-portal", "v1", stream, &runs, record))
        .collect();
    for server in &servers {
        server.register(&store, "ready");
    }
    let zones = [("muenchen-nord", "oberbayern")];
    let ips = addresses(3);
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
    thread::sleep(Duration::from_secs(3));
    if request(REVOKED).send(nodes[0].front()).status != 200 {
        return Err("an ordinary request was not served".to_owned());
    }
    if trouble {
        // The two other machines are lost, and do not come back.
        nodes[1].kill();
        nodes[2].kill();
        record.line("front-1 and front-2 have lost power and do not come back");
        thread::sleep(Duration::from_secs(2));
        store.set_silent(true);
        record.line("the store turns the machine away, without an answer");
        thread::sleep(Duration::from_secs(1));
    }
    // A storm of 25 versions in 2 s; the last but ten takes a key away.
    for version in 0..25 {
        store.put("op/config", &config(9 + 2 * version, version < 15));
        thread::sleep(Duration::from_millis(80));
    }
    record.line("ack of the last version");
    let acked = record.now();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        store.set_silent(false);
        record.line("the store serves the machine again");
    }
    let healed = record.now();
    // The machine is in touch from 4 s after the end of the impairment.
    let mut stale = 0;
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(400));
        let sent = record.now();
        let asked = request(REVOKED);
        let status = asked.send(nodes[0].front()).status;
        let bound = (acked + Duration::from_secs(3)).max(healed + Duration::from_millis(4_100));
        let counts = sent > bound && status == 200;
        stale += u32::from(counts);
        record.line(&format!("client sent {} with the key that was taken away: status={status} counts={counts}", asked.id));
    }
    record.line(&format!("{stale} requests with the key ran in touch"));
    println!("{stale} requests with the key that was taken away ran, later than the bound, in touch");
    Ok(stale == 0)
}
