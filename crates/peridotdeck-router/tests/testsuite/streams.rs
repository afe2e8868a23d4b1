//! Streams survive engines that crash, go silent or answer somebody else, and end with callers.

use std::time::Duration;

use async_std::{future::timeout, task, task::block_on};
use futures_lite::io::AsyncReadExt;
use peridotdeck_fake::{
    engine::{Fault, Setting},
    text,
};
use peridotdeck_http::client;

use crate::cluster::{Site, chat, fast, send, streamed, value};

fn slow() -> Setting {
    Setting {
        step_us: 4_000,
        ..fast()
    }
}

#[test]
fn resumes_after_crash() {
    block_on(async {
        let site = Site::start(&[slow(), slow()], 1).await;
        let prompt = "a long draft about 150 words";
        let answer = task::spawn(send(site.address(), chat(site.address(), prompt, true)));
        let response = answer.await;
        task::sleep(Duration::from_millis(150)).await;
        let busy = site
            .engines
            .iter()
            .position(|engine| engine.load().running > 0)
            .unwrap();
        site.engines[busy].inject(Fault::Crash);
        assert_eq!(
            streamed(response).await.unwrap(),
            text::answer(prompt, 0),
            "one whole answer, never a mixed one"
        );
        assert!(site.engines[1 - busy].counts().runs > 0);
    });
}

#[test]
fn silence_is_noticed() {
    block_on(async {
        let site = Site::start(&[slow(), slow()], 1).await;
        let prompt = "another draft about 150 words";
        let response = send(site.address(), chat(site.address(), prompt, true)).await;
        task::sleep(Duration::from_millis(100)).await;
        let busy = site
            .engines
            .iter()
            .position(|engine| engine.load().running > 0)
            .unwrap();
        site.engines[busy].inject(Fault::Silence);
        assert_eq!(streamed(response).await.unwrap(), text::answer(prompt, 0));
    });
}

#[test]
fn crossed_is_dropped() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        site.engines[0].inject(Fault::Cross);
        let answer =
            value(send(site.address(), chat(site.address(), "about 9 words", false)).await).await;
        assert_eq!(
            answer["choices"][0]["message"]["content"].as_str().unwrap(),
            text::answer("about 9 words", 0)
        );
        assert_eq!(
            site.engines[0].counts().runs,
            2,
            "the crossed answer was not used"
        );
    });
}

#[test]
fn caller_leaves() {
    block_on(async {
        let site = Site::start(&[slow()], 1).await;
        let request = chat(site.address(), "nobody reads about 5000 words", true);
        let response = client::request(site.address(), request, crate::cluster::PATIENCE)
            .await
            .unwrap();
        drop(response);
        let idle = async {
            loop {
                let open = site.routers[0]
                    .handle()
                    .inspect(|node, _| node.request_table().flights().len())
                    .await;
                if open == Some(0) && site.engines[0].load().running == 0 {
                    return;
                }
                task::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(crate::cluster::PATIENCE, idle)
            .await
            .expect("the engine stops when its caller has gone");
        assert!(site.engines[0].counts().tokens.values().sum::<u64>() < 5_000);
    });
}

#[test]
fn chunks_flow() {
    block_on(async {
        let site = Site::start(
            &[Setting {
                step_us: 50_000,
                ..fast()
            }],
            1,
        )
        .await;
        let mut response = send(
            site.address(),
            chat(site.address(), "about 100 words", true),
        )
        .await;
        let mut first = [0; 16];
        // The whole answer takes over five seconds; the first chunk must not wait for it.
        response.read_exact(&mut first).await.unwrap();
        assert!(first.starts_with(b"data: "));
        assert!(
            site.engines[0].load().running > 0,
            "the engine still generates"
        );
    });
}

#[test]
fn long_prompt() {
    block_on(async {
        // The prompt takes 1.5 s to read, more than the silence that a stream may have.
        let setting = Setting {
            prefill_us: 500,
            ..fast()
        };
        let site = Site::start(&[setting], 1).await;
        let prompt = format!("{} about 5 words", "wick ".repeat(2_400));
        let answer = value(send(site.address(), chat(site.address(), &prompt, false)).await).await;
        assert_eq!(
            answer["choices"][0]["message"]["content"].as_str().unwrap(),
            text::answer(&prompt, 0)
        );
        assert_eq!(site.engines[0].counts().runs, 1);
    });
}
