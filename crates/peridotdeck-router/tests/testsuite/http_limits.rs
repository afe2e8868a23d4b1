//! Malformed and hostile input gets a clear error and does not affect other callers.

use std::fmt::Write as _;

use async_std::{io::WriteExt, net::TcpStream, task::block_on};

use crate::cluster::{Cluster, chat_request, fast_engine, send, send_raw};

/// Checks that a regular request still succeeds.
async fn assert_serves(cluster: &Cluster) {
    let response = send(
        cluster.address(),
        chat_request(cluster.address(), "about 2 words", false),
    )
    .await;
    assert!(response.status().is_success());
}

/// Bytes that are not HTTP, here the start of a TLS record, get status 400.
#[test]
fn not_http() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let answer = send_raw(cluster.address(), b"\x16\x03\x01 hello\r\n\r\n", false).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_serves(&cluster).await;
    });
}

/// A request with 2,000 header fields gets status 400 or a closed connection.
#[test]
fn too_many_headers() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let mut head = "GET /v1/models HTTP/1.1\r\nhost: x\r\n".to_owned();
        for number in 0..2_000 {
            write!(head, "x-{number}: y\r\n").unwrap();
        }
        let answer = send_raw(cluster.address(), format!("{head}\r\n").as_bytes(), false).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
            "{answer}"
        );
        assert_serves(&cluster).await;
    });
}

/// Guards against a line without end, which filled the memory.
///
/// A client that sends 32 MB without the end of a line gets status 400 or a closed connection.
#[test]
fn endless_line() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let mut stream = TcpStream::connect(cluster.address())
            .await
            .expect("listening");
        let piece = vec![b'x'; 64 << 10];
        let mut sent = 0;
        while sent < 32 << 20 && stream.write_all(&piece).await.is_ok() {
            sent += piece.len();
        }
        assert!(sent < 32 << 20, "the router read {sent} bytes");
        assert_serves(&cluster).await;
    });
}

/// A client that stops in the middle of the request line gets status 408.
#[test]
fn incomplete_head_times_out() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let answer = send_raw(cluster.address(), b"POST /v1/chat/completions HTT", false).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert_serves(&cluster).await;
    });
}

/// A client that stops in the middle of the body gets status 408 after the body timeout.
#[test]
fn incomplete_body_times_out() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer matrah-key\r\n\
                    content-length: 100\r\n\r\n{\"model\"";
        let answer = send_raw(cluster.address(), head.as_bytes(), false).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert_serves(&cluster).await;
    });
}

/// A client that closes its side before the declared content length gets status 400.
#[test]
fn body_ends_early() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer matrah-key\r\n\
                    content-length: 100\r\n\r\n{\"model\"";
        let answer = send_raw(cluster.address(), head.as_bytes(), true).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_serves(&cluster).await;
    });
}

/// Guards against the run of a part of a call: its body ends before the declared length.
#[test]
fn plain_body_ends_early() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let call = "POST /refill-desk/reorders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer matrah-key\r\n\
                    idempotency-key: order-9\r\ncontent-length: 100\r\n\r\n{\"call\"";
        let answer = send_raw(cluster.address(), call.as_bytes(), true).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(cluster.record.runs("order-9"), 0);
        assert_serves(&cluster).await;
    });
}

/// Invalid peer requests, among them one with wrong parameters, get a JSON-RPC error.
#[test]
fn invalid_peer_requests() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        for body in [
            "{",
            "{}",
            r#"{"jsonrpc":"2.0","id":1,"method":"peer.deliver","params":[1]}"#,
        ] {
            let request = crate::cluster::post_request(cluster.address(), "/rpc/peer", body);
            let answer = crate::cluster::read_json(send(cluster.address(), request).await).await;
            assert!(answer["error"]["code"].as_i64().unwrap() < 0, "{answer}");
        }
        assert_serves(&cluster).await;
    });
}
