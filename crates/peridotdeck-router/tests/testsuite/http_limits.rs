//! Broken and hostile input gets a clear answer and harms nobody else.

use std::fmt::Write as _;

use async_std::task::block_on;

use crate::cluster::{Site, chat, fast, raw, send};

async fn still_serves(site: &Site) {
    let response = send(site.address(), chat(site.address(), "about 2 words", false)).await;
    assert!(response.status().is_success());
}

#[test]
fn not_http() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let answer = raw(site.address(), b"\x16\x03\x01 hello\r\n\r\n", false).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        still_serves(&site).await;
    });
}

#[test]
fn header_flood() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let mut head = "GET /v1/models HTTP/1.1\r\nhost: x\r\n".to_owned();
        for number in 0..2_000 {
            write!(head, "x-{number}: y\r\n").unwrap();
        }
        let answer = raw(site.address(), format!("{head}\r\n").as_bytes(), false).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
            "{answer}"
        );
        still_serves(&site).await;
    });
}

#[test]
fn slow_head() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let answer = raw(site.address(), b"POST /v1/chat/completions HTT", false).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        still_serves(&site).await;
    });
}

#[test]
fn slow_body() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer matrah-key\r\n\
                    content-length: 100\r\n\r\n{\"model\"";
        let answer = raw(site.address(), head.as_bytes(), false).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        still_serves(&site).await;
    });
}

#[test]
fn half_body() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer matrah-key\r\n\
                    content-length: 100\r\n\r\n{\"model\"";
        let answer = raw(site.address(), head.as_bytes(), true).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        still_serves(&site).await;
    });
}

#[test]
fn peer_calls_checked() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        for body in [
            "{",
            "{}",
            r#"{"jsonrpc":"2.0","id":1,"method":"peer.deliver","params":[1]}"#,
        ] {
            let request = crate::cluster::post(site.address(), "/rpc/peer", body);
            let answer = crate::cluster::value(send(site.address(), request).await).await;
            assert!(answer["error"]["code"].as_i64().unwrap() < 0, "{answer}");
        }
        still_serves(&site).await;
    });
}
