//! Memory of 2,000 open streams: the same process with the streams opened directly at the engine
//! and then through a router; the difference is the router's.

#[path = "../tests/testsuite/site.rs"]
#[allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "a test module shared with the benchmark"
)]
mod site;

use std::{fs, net::SocketAddr};

use async_std::task::{block_on, spawn};
use futures_lite::io::AsyncReadExt;
use http_types::Response;
use peridotdeck_fake::engine::Setting;

const STREAMS: usize = 2_000;

/// Resident memory of this process in kilobytes.
fn resident_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

async fn open(address: SocketAddr, salt: &'static str) -> Vec<Response> {
    let one = move |index: usize| async move {
        let prompt = format!("{salt} {index} about 1000000 words");
        let mut response = site::send(address, site::chat(address, &prompt, true)).await;
        let mut byte = [0];
        response.read_exact(&mut byte).await.expect("a token comes");
        response
    };
    let tasks: Vec<_> = (0..STREAMS).map(|index| spawn(one(index))).collect();
    let mut responses = Vec::with_capacity(STREAMS);
    for task in tasks {
        responses.push(task.await);
    }
    responses
}

fn main() {
    block_on(async {
        let slots = 2 * STREAMS as u32;
        let setting = Setting {
            slots,
            step_us: 1_000_000,
            ..site::fast()
        };
        let running = site::Site::start_sized(&[setting], 1, slots).await;
        let idle = resident_kb();
        let direct = open(running.engines[0].address(), "direct").await;
        let with_direct = resident_kb();
        let routed = open(running.address(), "routed").await;
        let with_routed = resident_kb();
        let (engine, both) = (with_direct - idle, with_routed - with_direct);
        println!(
            "streams={STREAMS} direct_kb={engine} routed_kb={both} router_kb={}",
            both.saturating_sub(engine)
        );
        drop((direct, routed));
    });
}
