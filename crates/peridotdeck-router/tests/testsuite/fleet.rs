//! Routers act together over real sockets.

use std::time::Duration;

use async_std::{future::timeout, task, task::block_on};
use peridotdeck_policy::{Class, split};

use crate::cluster::{PATIENCE, Site, chat, fast, send, streamed};

#[test]
fn change_reaches_all() {
    block_on(async {
        let mut site = Site::start(&[fast()], 4).await;
        site.config
            .classes
            .push(Class::interactive("new", 3).whole_ms(900));
        let revision = site.platform.publish(&split(&site.config));
        let everywhere = async {
            for router in &site.routers {
                while router
                    .handle()
                    .inspect(|node, _| node.config().revision())
                    .await
                    != Some(revision)
                {
                    task::sleep(Duration::from_millis(10)).await;
                }
            }
        };
        timeout(PATIENCE, everywhere)
            .await
            .expect("the change comes into force everywhere");
    });
}

#[test]
fn broken_change_refused() {
    block_on(async {
        let mut site = Site::start(&[fast()], 2).await;
        let before = site.routers[0]
            .handle()
            .inspect(|node, _| node.config().revision())
            .await
            .unwrap();
        site.config.classes.clear();
        let broken = site.platform.publish(&split(&site.config));
        let refused = async {
            while site.routers[0]
                .handle()
                .inspect(|node, _| node.config().rejected_revision())
                .await
                != Some(broken)
            {
                task::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(PATIENCE, refused)
            .await
            .expect("the mistake is noticed");
        let now = site.routers[0]
            .handle()
            .inspect(|node, _| node.config().revision())
            .await;
        assert_eq!(now, Some(before), "the old configuration stays in force");
        assert!(
            send(site.address(), chat(site.address(), "about 2 words", false))
                .await
                .status()
                .is_success()
        );
    });
}

#[test]
fn platform_outage() {
    block_on(async {
        let site = Site::start(&[fast()], 2).await;
        site.platform.set_down(true);
        for router in &site.routers {
            let response = send(
                router.address(),
                chat(router.address(), "about 2 words", false),
            )
            .await;
            assert!(response.status().is_success());
        }
    });
}

#[test]
fn graceful_stop() {
    block_on(async {
        let site = Site::start(&[fast()], 2).await;
        let prompt = "about 400 words";
        let address = site.routers[0].address();
        let response = send(address, chat(address, prompt, true)).await;
        let (drained, answer) =
            futures_lite::future::zip(site.routers[0].drain(), streamed(response)).await;
        assert!(drained);
        assert_eq!(
            answer.unwrap(),
            peridotdeck_fake::text::answer(prompt, 0),
            "no request is cut off"
        );
        let refused = send(address, chat(address, "about 2 words", false)).await;
        assert_eq!(u16::from(refused.status()), 503);
        let other = site.routers[1].address();
        assert!(
            send(other, chat(other, "about 2 words", false))
                .await
                .status()
                .is_success()
        );
    });
}
