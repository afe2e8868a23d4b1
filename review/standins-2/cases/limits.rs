//! DENIED: a version raises the largest head, and connections that were open before keep the old one.

use std::{
    io::Write,
    net::{SocketAddrV4, TcpStream},
    sync::Arc,
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

const KEY: &str = "n2ctnfzs989anu6wsjnb";

fn config(version: u64, head_bytes: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"lookup","host":"desk.example","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"verleih-portal","maxAttempts":2,"public":false,"sticky":false,"streamResume":false,"allowedRegions":[]}}],"services":[{{"name":"verleih-portal","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":{head_bytes},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"society","apiKeys":["{KEY}"],"priority":1,"allowedRegions":[]}}]}}"#
    )
}

fn request(padding: usize) -> Request {
    Request {
        id: fresh_id(),
        method: "GET",
        host: "desk.example".to_owned(),
        path: "/plain/2f".to_owned(),
        key: KEY.to_owned(),
        deadline_ms: 3000,
        fields: format!("Cookie: {}\r\n", "c".repeat(padding)),
        body: Vec::new(),
    }
}

/// A client's connection that stays open.
struct Kept {
    stream: TcpStream,
    behind: Vec<u8>,
}

impl Kept {
    fn send(&mut self, request: &Request, record: &Record) -> Answer {
        let mut answer = Answer::default();
        let until = Instant::now() + Duration::from_secs(3);
        let early = std::mem::take(&mut self.behind);
        let sent = self.stream.write_all(&request.bytes());
        let read = sent.and_then(|()| read_answer(&mut self.stream, early, until, &mut answer));
        match read {
            Ok(behind) => self.behind = behind,
            Err(cause) => answer.error = cause.to_string(),
        }
        record.line(&format!(
            "client sent {} with a head of {} bytes: status={} {}",
            request.id,
            request.bytes().len(),
            answer.status,
            answer.error
        ));
        answer
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("op/config", &config(7, 8192));
    let runs: Runs = Arc::default();
    let stream = Stream { events: 1, pace: Duration::ZERO };
    let servers: Vec<Server> = (0..2)
        .map(|at| Server::new(&format!("i-{at}"), "muenchen-nord", "verleih-portal", "v1", stream, &runs, record))
        .collect();
    for server in &servers {
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
    thread::sleep(Duration::from_secs(5));
    let connect = |address: SocketAddrV4| -> Result<Kept, String> {
        let stream = TcpStream::connect(address).map_err(|cause| cause.to_string())?;
        Ok(Kept { stream, behind: Vec::new() })
    };
    if !trouble {
        store.put("op/config", &config(9, 16384));
        thread::sleep(Duration::from_secs(6));
    }
    let mut open = Vec::new();
    for at in 0..20 {
        let mut kept = connect(nodes[at % 2].front())?;
        if kept.send(&request(100), record).status != 200 {
            return Err("an ordinary request was not served".to_owned());
        }
        open.push(kept);
    }
    if trouble {
        store.put("op/config", &config(9, 16384));
        thread::sleep(Duration::from_secs(6));
    }
    let mut denied = 0;
    for kept in &mut open {
        // Connections stay in use all the while.
        let status = kept.send(&request(12_000), record).status;
        denied += u32::from(status != 200);
    }
    let fresh = connect(nodes[0].front())?.send(&request(12_000), record).status;
    record.line(&format!("{denied} of {} on kept connections denied; on a new connection: {fresh}", open.len()));
    println!("{denied} of {} on kept connections denied; on a new connection: {fresh}", open.len());
    Ok(denied <= 5)
}
