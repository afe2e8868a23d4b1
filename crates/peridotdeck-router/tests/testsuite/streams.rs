//! Streams survive engines that crash, go silent or mix up responses, and end with their callers.

use std::time::Duration;

use async_std::{future::timeout, task, task::block_on};
use futures_lite::io::AsyncReadExt;
use peridotdeck_fake::{
    engine::{Fault, Setting},
    text,
};
use peridotdeck_http::client;

use crate::cluster::{Cluster, chat_request, fast_engine, read_json, read_stream, send};

/// Returns the settings of an engine that is still generating when a fault is injected.
fn slow_engine() -> Setting {
    Setting {
        step_us: 4_000,
        ..fast_engine()
    }
}

/// A stream whose engine crashes is continued by the other engine.
///
/// The caller receives one text without gaps or repetitions.
#[test]
fn resumes_after_crash() {
    block_on(async {
        let cluster = Cluster::start(&[slow_engine(), slow_engine()], 1).await;
        let prompt = "a long draft about 150 words";
        let answer = task::spawn(send(
            cluster.address(),
            chat_request(cluster.address(), prompt, true),
        ));
        let response = answer.await;
        task::sleep(Duration::from_millis(150)).await;
        let busy = cluster
            .engines
            .iter()
            .position(|engine| engine.load().running > 0)
            .unwrap();
        cluster.engines[busy].inject(Fault::Crash);
        assert_eq!(
            read_stream(response).await.unwrap(),
            text::answer(prompt, 0),
            "one whole response, without parts of another"
        );
        assert!(cluster.engines[1 - busy].counts().runs > 0);
    });
}

/// Guards against a continuation that repeats tokens or leaves some out.
#[test]
fn continuation_at_the_wrong_token_stays_out_of_a_stream() {
    for tokens in [i32::MIN, -1, 1] {
        block_on(async {
            let engines = [slow_engine(), slow_engine(), slow_engine()];
            let cluster = Cluster::start(&engines, 1).await;
            let prompt = "a fourth draft about 150 words";
            let address = cluster.address();
            let response = send(address, chat_request(address, prompt, true)).await;
            task::sleep(Duration::from_millis(150)).await;
            for engine in &cluster.engines {
                engine.inject(Fault::Shift(tokens));
            }
            let mut engines = cluster.engines.iter();
            let busy = engines.find(|engine| engine.load().running > 0).unwrap();
            busy.inject(Fault::Crash);
            let answer = read_stream(response).await;
            assert_eq!(answer, Some(text::answer(prompt, 0)), "{tokens}");
        });
    }
}

/// Guards against an error of the next engine that ends a stream without a word, or gets into it.
#[test]
fn error_of_the_next_engine_stays_out_of_a_stream() {
    for status in [204, 400, 503] {
        block_on(async {
            let engines = [slow_engine(), slow_engine(), slow_engine()];
            let cluster = Cluster::start(&engines, 1).await;
            let prompt = "a third draft about 150 words";
            let address = cluster.address();
            let response = send(address, chat_request(address, prompt, true)).await;
            task::sleep(Duration::from_millis(150)).await;
            for engine in &cluster.engines {
                engine.inject(Fault::Deny(status));
            }
            let mut engines = cluster.engines.iter();
            let busy = engines.find(|engine| engine.load().running > 0).unwrap();
            busy.inject(Fault::Crash);
            let answer = read_stream(response).await;
            assert_eq!(answer, Some(text::answer(prompt, 0)), "{status}");
        });
    }
}

/// A stream whose engine stops sending, with the connection open, is continued by a retry.
#[test]
fn resumes_after_silence() {
    block_on(async {
        let cluster = Cluster::start(&[slow_engine(), slow_engine()], 1).await;
        let prompt = "another draft about 150 words";
        let response = send(
            cluster.address(),
            chat_request(cluster.address(), prompt, true),
        )
        .await;
        task::sleep(Duration::from_millis(100)).await;
        let busy = cluster
            .engines
            .iter()
            .position(|engine| engine.load().running > 0)
            .unwrap();
        cluster.engines[busy].inject(Fault::Silence);
        assert_eq!(
            read_stream(response).await.unwrap(),
            text::answer(prompt, 0)
        );
    });
}

/// A response that belongs to another request is discarded and the request runs again.
#[test]
fn crossed_response_discarded() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        cluster.engines[0].inject(Fault::Cross);
        let answer = read_json(
            send(
                cluster.address(),
                chat_request(cluster.address(), "about 9 words", false),
            )
            .await,
        )
        .await;
        assert_eq!(
            answer["choices"][0]["message"]["content"].as_str().unwrap(),
            text::answer("about 9 words", 0)
        );
        assert_eq!(
            cluster.engines[0].counts().runs,
            2,
            "the crossed response was not used"
        );
    });
}

/// The engine stops generating when the caller disconnects in the middle of a stream.
#[test]
fn caller_disconnects() {
    block_on(async {
        let cluster = Cluster::start(&[slow_engine()], 1).await;
        let request = chat_request(cluster.address(), "nobody reads about 5000 words", true);
        let response =
            client::request(cluster.address(), request, crate::cluster::RESPONSE_TIMEOUT)
                .await
                .unwrap();
        drop(response);
        let idle = async {
            loop {
                let open = cluster.routers[0]
                    .handle()
                    .inspect(|node, _| node.request_table().flights().len())
                    .await;
                if open == Some(0) && cluster.engines[0].load().running == 0 {
                    return;
                }
                task::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(crate::cluster::RESPONSE_TIMEOUT, idle)
            .await
            .expect("the engine stops after its caller disconnects");
        assert!(cluster.engines[0].counts().tokens.values().sum::<u64>() < 5_000);
    });
}

/// The router forwards chunks at once instead of buffering the whole response.
#[test]
fn chunks_not_buffered() {
    block_on(async {
        let cluster = Cluster::start(
            &[Setting {
                step_us: 50_000,
                ..fast_engine()
            }],
            1,
        )
        .await;
        let mut response = send(
            cluster.address(),
            chat_request(cluster.address(), "about 100 words", true),
        )
        .await;
        let mut first = [0; 16];
        // The whole response takes over five seconds; the first chunk must not wait for it.
        response.read_exact(&mut first).await.unwrap();
        assert!(first.starts_with(b"data: "));
        assert!(
            cluster.engines[0].load().running > 0,
            "the engine is still generating"
        );
    });
}

/// A prefill longer than the permitted silence of a stream does not count as a stalled engine.
#[test]
fn long_prompt() {
    block_on(async {
        // The prefill takes 1.5 s, more than the 600 ms of silence that a stream may have.
        let setting = Setting {
            prefill_us: 500,
            ..fast_engine()
        };
        let cluster = Cluster::start(&[setting], 1).await;
        let prompt = format!("{} about 5 words", "wick ".repeat(2_400));
        let answer = read_json(
            send(
                cluster.address(),
                chat_request(cluster.address(), &prompt, false),
            )
            .await,
        )
        .await;
        assert_eq!(
            answer["choices"][0]["message"]["content"].as_str().unwrap(),
            text::answer(&prompt, 0)
        );
        assert_eq!(cluster.engines[0].counts().runs, 1);
    });
}
