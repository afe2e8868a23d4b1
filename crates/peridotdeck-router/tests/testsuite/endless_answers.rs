//! An endpoint that sends bytes without end must not fill the router's memory.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use async_std::task::block_on;
use http_types::{Method, Request};
use peridotdeck_http::client;

/// Bytes after which the endpoint gives up, far more than may be read.
const ENDLESS: usize = 256 << 20;

/// Starts an endpoint that answers one request with a body without end; returns how much it sent.
fn endless_endpoint() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let own = Arc::clone(&sent);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = format!("2000\r\n{}\r\n", "x".repeat(0x2000));
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        while own.load(Ordering::SeqCst) < ENDLESS && stream.write_all(chunk.as_bytes()).is_ok() {
            own.fetch_add(chunk.len(), Ordering::SeqCst);
        }
    });
    (address, sent)
}

#[test]
fn body_is_read_up_to_its_limit() {
    const LIMIT: usize = 1 << 20;
    let (address, sent) = endless_endpoint();
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
