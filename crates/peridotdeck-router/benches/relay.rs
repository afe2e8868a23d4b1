//! Benchmark of relaying stream chunks on one core.
//!
//! Each chunk is decoded, gets the caller's request id and is sent to the response body.

use async_std::task::block_on;
use criterion::{Criterion, Throughput};
use futures_lite::{StreamExt, io::Cursor};
use peridotdeck_router::attempt::Answer;

/// Chunks of the relayed stream.
const CHUNKS: u64 = 10_000;

fn build_stream() -> Vec<u8> {
    let chunk = r#"data: {"id":"00000000000000aa","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}"#;
    format!("{chunk}\n\n").repeat(CHUNKS as usize).into_bytes()
}

async fn relay(bytes: &[u8]) -> u32 {
    let (head, response) = async_channel::bounded(1);
    let mut answer = Answer::new(0xbb, head, true, true);
    let mut events = async_sse::decode(Cursor::new(bytes));
    let produce = async {
        while let Some(Ok(event)) = events.next().await {
            if let async_sse::Event::Message(message) = event {
                answer
                    .push_event(None, message.data(), "00000000000000aa")
                    .await
                    .expect("the reader stays connected");
            }
        }
        let tokens = answer.tokens();
        drop(answer);
        tokens
    };
    let consume = async {
        let mut response: http_types::Response =
            response.recv().await.expect("a response head arrives");
        response
            .body_bytes()
            .await
            .expect("the body ends without an error")
            .len()
    };
    futures_lite::future::zip(produce, consume).await.0
}

fn bench_chunks(criterion: &mut Criterion) {
    let bytes = build_stream();
    let mut group = criterion.benchmark_group("relay");
    group
        .throughput(Throughput::Elements(CHUNKS))
        .sample_size(20);
    group.bench_function("chunks", |bencher| bencher.iter(|| block_on(relay(&bytes))));
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_chunks(&mut criterion);
    criterion.final_summary();
}
