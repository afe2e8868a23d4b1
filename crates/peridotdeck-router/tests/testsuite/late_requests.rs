//! Requests at a router that drains: each ends with a complete answer, or is refused with a true verdict.

use std::time::{Duration, Instant};

use async_std::{
    net::TcpStream,
    task::{self, block_on},
};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future::zip};
use peridotdeck_fake::plain::Fault;

use crate::cluster::{Cluster, fast_engine, post_request, read_json, send};

/// Time after which the routers of these tests cut their requests, with some slack.
const CUT: Duration = Duration::from_millis(2_800);

/// Reads an answer up to the end of its connection.
async fn read_text(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let read = stream.read_to_string(&mut text).await;
    read.map_or_else(|cause| cause.to_string(), |_| text)
}

/// Guards against connections that end without an answer because the time to drain is over.
#[test]
fn request_that_outlasts_the_drain_gets_an_answer() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        for plain in &cluster.plains {
            plain.inject(Fault::Hold);
        }
        let address = cluster.address();
        let mut request = post_request(address, "/refill-desk/reorders", "{}");
        request.insert_header("idempotency-key", "held");
        let begun = Instant::now();
        let drain = async {
            task::sleep(Duration::from_millis(200)).await;
            cluster.routers[0].drain().await
        };
        let (drained, response) = zip(drain, send(address, request)).await;
        assert!(!drained && begun.elapsed() < CUT);
        assert_eq!(u16::from(response.status()), 502);
        let answer = read_json(response).await;
        assert_eq!(answer["error"]["verdict"], "may_have_run", "{answer}");
        assert_eq!(cluster.record.runs("held"), 1);
    });
}

/// Guards against a router that ends while a caller still sends its request.
#[test]
fn request_that_is_complete_late_is_refused() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let request = "POST /refill-desk/reorders HTTP/1.1\r\nhost: x\r\n\
            authorization: Bearer matrah-key\r\nidempotency-key: late\r\nconnection: close\r\n\
            content-length: 2\r\n\r\n{}";
        let (first, rest) = request.split_at(request.len() - 1);
        let mut stream = TcpStream::connect(cluster.address())
            .await
            .expect("listening");
        stream.write_all(first.as_bytes()).await.expect("sent");
        task::sleep(Duration::from_millis(100)).await;
        let late = async {
            task::sleep(Duration::from_millis(300)).await;
            stream.write_all(rest.as_bytes()).await.expect("sent");
            read_text(stream).await
        };
        let begun = Instant::now();
        let drain = async {
            let drained = cluster.routers[0].drain().await;
            (drained, begun.elapsed())
        };
        let (answer, (drained, took)) = zip(late, drain).await;
        assert!(drained && took >= Duration::from_millis(300), "{took:?}");
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("not_run"), "{answer}");
        assert_eq!(cluster.record.runs("late"), 0);
    });
}
