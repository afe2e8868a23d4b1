//! Callers that take a large answer only after the time for it has passed.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use async_std::task::block_on;
use peridotdeck_fake::Platform;
use peridotdeck_policy::{Class, Organisation, Policy, Service, split};

use crate::{cluster::API_KEY, process::Process};

const PIECE: usize = 16 << 10;

/// Answers a request with as many bytes in chunks as its path names, as fast as they are taken.
fn endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream));
        }
    });
    address
}

fn answer(mut stream: TcpStream) -> Option<()> {
    const REPORT: &str = r#"{"boot":1,"running":0,"queued":0,"warm":true}"#;
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let first = lines.next()?.ok()?;
    while !lines.next()?.ok()?.is_empty() {}
    if first.starts_with("GET /load") {
        let length = REPORT.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{REPORT}");
        return stream.write_all(head.as_bytes()).ok();
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .ok()?;
    let (_, rest) = first.split_once(" /")?;
    let bytes: usize = rest.split_once(' ')?.0.parse().ok()?;
    let chunk = format!("{PIECE:x}\r\n{}\r\n", "x".repeat(PIECE));
    for _ in 0..bytes / PIECE {
        stream.write_all(chunk.as_bytes()).ok()?;
    }
    stream.write_all(b"0\r\n\r\n").ok()
}

/// Sends a request that must not run twice, waits, and returns what then comes until it ends.
fn call(address: SocketAddr, bytes: usize, wait: Duration) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("listening");
    let request = format!(
        "POST /pours/{bytes} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n\
         content-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    thread::sleep(wait);
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("a time");
    let mut got = Vec::new();
    let mut buffer = [0; PIECE];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        got.extend_from_slice(&buffer[..read]);
        if got.ends_with(b"\r\n0\r\n\r\n") {
            break;
        }
    }
    got
}

/// Guards against an answer with a part left out that ends as a complete one, at a caller who was slow.
#[test]
fn answer_that_a_slow_caller_did_not_take_is_not_complete() {
    let plain = endpoint().to_string();
    let platform = block_on(Platform::start()).expect("a port");
    let organisation = Organisation::named("matrah").key(API_KEY);
    let config = Policy::new()
        .place("a", "north")
        .class(Class::interactive("counter", 0).whole_ms(300))
        .organisation(organisation.rate(10_000, 10_000).concurrency(10_000))
        .service(Service::plain("pours", "counter").sized_endpoint("a", &plain, 96, 96))
        .build()
        .expect("a sound configuration");
    platform.publish(&split(&config));
    let router = Process::start_alone(&platform, "", "late-callers", 256 << 10, |address| {
        call(address, PIECE, Duration::ZERO).starts_with(b"HTTP/1.1 200")
    });
    let address = router.address;
    // How much waits in the kernel is not known, so one of the sizes is a little above it.
    let callers: Vec<_> = (0..64)
        .map(|at| {
            let bytes = (2_400 << 10) + at * 2 * PIECE;
            let wait = Duration::from_secs(7);
            let caller = thread::spawn(move || call(address, bytes, wait));
            (bytes, caller)
        })
        .collect();
    let mut faults = Vec::new();
    for (bytes, caller) in callers {
        let got = caller.join().expect("no panic");
        let body = String::from_utf8_lossy(&got).matches('x').count();
        let is_ended = got.ends_with(b"\r\n0\r\n\r\n");
        println!("{bytes}: got {body}, ended {is_ended}");
        if is_ended && body < bytes {
            faults.push((body, bytes));
        }
    }
    assert!(
        faults.is_empty(),
        "complete with a part left out: {faults:?}"
    );
}
