//! Benchmark of the memory of 2,000 open streams and of the latency series.
//!
//! One process opens the streams directly at the engine and then through a router; the difference
//! is the router's memory. The latency series are those of 600 organisations in 5 classes.

#[path = "../tests/testsuite/cluster.rs"]
#[allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "a test module shared with the benchmark"
)]
mod cluster;

use std::{fs, net::SocketAddr, time::Duration};

use async_std::task::{block_on, spawn};
use futures_lite::io::AsyncReadExt;
use http_types::Response;
use peridotdeck_fake::engine::Setting;
use peridotdeck_router::metrics::{Metrics, Sample};

/// Streams opened directly, and again through the router.
const STREAMS: usize = 2_000;

/// Streams opened at the same time; the listeners' backlog holds 128 connections.
const BATCH: usize = 50;

/// Returns the resident memory of this process in kilobytes, 0 if it cannot be read.
fn resident_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

async fn open_streams(address: SocketAddr, salt: &'static str) -> Vec<Response> {
    let open_one = move |index: usize| async move {
        let prompt = format!("{salt} {index} about 1000000 words");
        let mut response =
            cluster::send(address, cluster::chat_request(address, &prompt, true)).await;
        let mut byte = [0];
        response
            .read_exact(&mut byte)
            .await
            .expect("a token arrives");
        response
    };
    let mut responses = Vec::with_capacity(STREAMS);
    for batch in 0..STREAMS / BATCH {
        let indexes = batch * BATCH..(batch + 1) * BATCH;
        let tasks: Vec<_> = indexes.map(|index| spawn(open_one(index))).collect();
        for task in tasks {
            responses.push(task.await);
        }
    }
    responses
}

/// Returns the memory in kilobytes of the latency series of all organisations and classes.
fn series_kb() -> usize {
    let before = resident_kb();
    let metrics = Metrics::new();
    for organisation in 0..600 {
        for class in 0..5 {
            let sample = Sample {
                time_to_first_token: Some(Duration::from_millis(30)),
                inter_token_latency: Some(Duration::from_millis(10)),
                duration: Duration::from_millis(500),
                meets_targets: true,
            };
            metrics.count_answer(
                &format!("tier-{class}"),
                &format!("org-{organisation}"),
                sample,
            );
        }
    }
    let after = resident_kb();
    drop(metrics);
    after - before
}

fn main() {
    println!("customers=600 classes=5 series_kb={}", series_kb());
    block_on(async {
        let slots = 2 * STREAMS as u32;
        let setting = Setting {
            slots,
            step_us: 1_000_000,
            ..cluster::fast_engine()
        };
        let running = cluster::Cluster::start_sized(&[setting], 1, slots).await;
        let idle = resident_kb();
        let direct = open_streams(running.engines[0].address(), "direct").await;
        let with_direct = resident_kb();
        let routed = open_streams(running.address(), "routed").await;
        let with_routed = resident_kb();
        let (direct_kb, routed_kb) = (with_direct - idle, with_routed - with_direct);
        println!(
            "streams={STREAMS} direct_kb={direct_kb} routed_kb={routed_kb} router_kb={}",
            routed_kb.saturating_sub(direct_kb)
        );
        drop((direct, routed));
    });
}
