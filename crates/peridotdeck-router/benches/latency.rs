//! Benchmark of the time to first token of an idle engine, directly and through a router.

#[path = "../tests/testsuite/cluster.rs"]
#[allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "a test module shared with the benchmark"
)]
mod cluster;

use std::net::SocketAddr;

use async_std::task::block_on;
use criterion::Criterion;
use futures_lite::io::AsyncReadExt;
use peridotdeck_fake::engine::Setting;

async fn read_first_token(address: SocketAddr) {
    let mut response = cluster::send(
        address,
        cluster::chat_request(address, "hello about 2 words", true),
    )
    .await;
    let mut byte = [0];
    response
        .read_exact(&mut byte)
        .await
        .expect("a token arrives");
}

fn bench_latency(criterion: &mut Criterion) {
    let setting = Setting {
        step_us: 0,
        prefill_us: 0,
        ..cluster::fast_engine()
    };
    let running = block_on(cluster::Cluster::start(&[setting], 1));
    let (engine, router) = (running.engines[0].address(), running.address());
    let mut group = criterion.benchmark_group("first_token");
    group.bench_function("direct", |bencher| {
        bencher.iter(|| block_on(read_first_token(engine)));
    });
    group.bench_function("through_router", |bencher| {
        bencher.iter(|| block_on(read_first_token(router)));
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_latency(&mut criterion);
    criterion.final_summary();
}
