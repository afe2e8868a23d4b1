//! An endpoint that sends bytes without end must not fill the router's memory, or keep its threads.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task::block_on};
use http_types::{Method, Request};
use peridotdeck_http::client;

/// Bytes after which the endpoint gives up, far more than may be read.
const ENDLESS: usize = 256 << 20;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts an endpoint that answers one request with bytes without end; returns how much it sent.
fn endless_endpoint(head: &'static str, piece: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let piece = piece.repeat(1 + 0x2000 / piece.len());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let own = Arc::clone(&sent);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        while own.load(Ordering::SeqCst) < ENDLESS && stream.write_all(piece.as_bytes()).is_ok() {
            own.fetch_add(piece.len(), Ordering::SeqCst);
        }
    });
    (address, sent)
}

#[test]
fn body_is_read_up_to_its_limit() {
    const LIMIT: usize = 1 << 20;
    let chunk = format!("2000\r\n{}\r\n", "x".repeat(0x2000));
    let (address, sent) = endless_endpoint(CHUNKED, &chunk);
    block_on(async {
        let url = client::url(address, "/").expect("a valid path");
        let request = Request::new(Method::Get, url);
        let sent_request = client::request(address, request, Duration::from_secs(2)).await;
        let mut response = sent_request.expect("a head");
        let body = client::read_body(&mut response, LIMIT).await;
        assert!(body.is_err());
    });
    // What is sent beyond the limit fits the sockets' buffers.
    thread::sleep(Duration::from_millis(200));
    let sent = sent.load(Ordering::SeqCst);
    assert!(sent < LIMIT + (16 << 20), "{sent}");
}

/// Guards against heads without end that fill the memory, and behind which no time limit expires.
#[test]
fn head_is_read_up_to_its_limit() {
    let interim = format!("HTTP/1.1 103 Early Hints\r\n{}", "a:\r\n".repeat(20));
    for (head, piece) in [
        ("HTTP/1.1 200 OK\r\nx: ", "y"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        ("", "\r\n"),
        ("", interim.as_str()),
    ] {
        let (address, sent) = endless_endpoint(head, piece);
        block_on(async {
            let url = client::url(address, "/").expect("a valid path");
            let request = Request::new(Method::Get, url);
            let answer = client::request(address, request, Duration::from_secs(2)).await;
            assert!(answer.is_err(), "{head:?} {piece:?}");
        });
        thread::sleep(Duration::from_millis(200));
        let sent = sent.load(Ordering::SeqCst);
        assert!(sent < 16 << 20, "{head:?} {piece:?}: {sent}");
    }
}

/// Guards against bytes without end that keep the thread, so that no time limit expires.
#[test]
fn time_limits_expire_beside_a_flood() {
    /// Time limit of the reader.
    const LIMIT: Duration = Duration::from_millis(200);
    for piece in ["0", "1\r\nx\r\n"] {
        let (address, _) = endless_endpoint(CHUNKED, piece);
        let begun = Instant::now();
        block_on(async {
            let url = client::url(address, "/").expect("a valid path");
            let request = Request::new(Method::Get, url);
            let sent = client::request(address, request, Duration::from_secs(2)).await;
            let mut response = sent.expect("a head");
            let read = timeout(LIMIT, client::read_body(&mut response, ENDLESS)).await;
            assert!(read.is_err(), "{piece:?}");
        });
        assert!(
            begun.elapsed() < 5 * LIMIT,
            "{piece:?}: {:?}",
            begun.elapsed()
        );
    }
}
