//! Answers that are too long to be kept are passed on whole, or visibly cut.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use async_std::task::block_on;
use peridotdeck_policy::split;

use crate::cluster::{API_KEY, Cluster, RESPONSE_TIMEOUT, fast_engine};

/// Length in bytes of the answer, more than is kept.
const LENGTH: usize = 300_000;

/// Starts an endpoint that closes its connections after some bytes of the answer; returns how often it was asked.
fn endpoint(head: &'static str, bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut lines = BufReader::new(stream.try_clone().expect("a copy")).lines();
            let first = lines.next().and_then(Result::ok).unwrap_or_default();
            while lines
                .next()
                .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
            {}
            if first.contains("/load") {
                continue;
            }
            count.fetch_add(1, Ordering::SeqCst);
            // An error means that the router has closed the connection.
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&body(head)[..bytes]);
        }
    });
    (address, asked)
}

fn body(head: &str) -> Vec<u8> {
    let text: Vec<u8> = (0..LENGTH).map(|at| b'a' + (at % 23) as u8).collect();
    if head.contains("content-length") {
        return text;
    }
    let chunks = text.chunks(10_000);
    let framed =
        chunks.map(|chunk| [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat());
    framed.chain([b"0\r\n\r\n".to_vec()]).flatten().collect()
}

/// Returns everything that a caller gets until the connection closes.
fn ask(address: SocketAddr) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("a router");
    let request = format!(
        "GET /refill-desk/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("a router");
    let limit = Some(RESPONSE_TIMEOUT / 10);
    stream.set_read_timeout(limit).expect("a limit");
    let mut seen = Vec::new();
    // A reset, or no close after a whole answer, ends what is seen.
    let _ = stream.read_to_end(&mut seen);
    seen
}

/// Guards against a part of a long answer that looks whole, or that another try is joined to.
#[test]
fn long_answers_come_whole_or_visibly_cut() {
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for head in [length, chunked] {
        let whole = body(head).len();
        for bytes in [whole, whole - 100, 100_000] {
            let (address, asked) = endpoint(head, bytes);
            let mut cluster = block_on(Cluster::start(&[fast_engine()], 1));
            for service in &mut cluster.config.services {
                if service.name == "refill-desk" {
                    service.endpoints.truncate(1);
                    service.endpoints[0].address = address.to_string();
                }
            }
            let revision = cluster.platform.publish(&split(&cluster.config));
            block_on(async {
                let is_in_force =
                    move |node: &peridotdeck_core::Node, _| node.config().revision() >= revision;
                while cluster.routers[0].handle().inspect(is_in_force).await != Some(true) {}
            });
            let seen = ask(cluster.address());
            let text = String::from_utf8_lossy(&seen);
            let case = format!("{head:?} {bytes} of {whole}, {} seen", seen.len());
            let is_whole = if text.contains("content-length: 300000") {
                text.split("\r\n\r\n")
                    .nth(1)
                    .is_some_and(|body| body.len() == LENGTH)
            } else {
                text.ends_with("\r\n0\r\n\r\n")
            };
            assert_eq!(is_whole, bytes == whole, "{case}");
            assert!(seen.len() > 60_000, "{case}");
            assert_eq!(asked.load(Ordering::SeqCst), 1, "{case}");
        }
    }
}
