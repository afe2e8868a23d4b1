//! Several routers share configuration, outlive a platform outage and drain, over real sockets.

use std::time::Duration;

use async_std::{future::timeout, task, task::block_on};
use peridotdeck_policy::{Class, split};
use serde_json::json;

use crate::cluster::{Cluster, RESPONSE_TIMEOUT, chat_request, fast_engine, read_stream, send};

/// A new configuration takes effect on all four routers.
#[test]
fn configuration_reaches_all() {
    block_on(async {
        let mut cluster = Cluster::start(&[fast_engine()], 4).await;
        cluster
            .config
            .classes
            .push(Class::interactive("new", 3).whole_ms(900));
        let revision = cluster.platform.publish(&split(&cluster.config));
        let adopted = async {
            for router in &cluster.routers {
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
        timeout(RESPONSE_TIMEOUT, adopted)
            .await
            .expect("the new configuration takes effect on all routers");
    });
}

/// Guards against routers that follow the platform no more because of another writer's entry.
#[test]
fn odd_entries_hide_no_others() {
    block_on(async {
        let mut cluster = Cluster::start(&[fast_engine()], 1).await;
        let odd = [
            json!(7),
            json!(null),
            json!({"key": 7, "revision": "x", "value": {}}),
            json!({"key": "odd", "revision": 99, "value": "{}"}),
            json!({"key": "classes", "revision": 1e300, "value": "[]"}),
            json!({"node": 1e300, "callers": "nowhere", "peers": "", "place": [], "leaving": 0}),
        ];
        cluster.platform.list_odd(odd.to_vec());
        let class = Class::interactive("new", 3).whole_ms(900);
        cluster.config.classes.push(class);
        let revision = cluster.platform.publish(&split(&cluster.config));
        cluster.add_router(2).await;
        cluster.platform.list(cluster.members.clone());
        let followed = async {
            for router in &cluster.routers {
                let handle = router.handle();
                while handle
                    .inspect(|node, _| (node.config().revision(), node.view().members().len()))
                    .await
                    != Some((revision, 2))
                {
                    task::sleep(Duration::from_millis(10)).await;
                }
            }
        };
        timeout(RESPONSE_TIMEOUT, followed)
            .await
            .expect("both routers follow the configuration and the VM list");
    });
}

/// A router rejects an invalid configuration and keeps the one in effect.
///
/// The published configuration has no classes although services still refer to them.
#[test]
fn invalid_configuration_rejected() {
    block_on(async {
        let mut cluster = Cluster::start(&[fast_engine()], 2).await;
        let before = cluster.routers[0]
            .handle()
            .inspect(|node, _| node.config().revision())
            .await
            .unwrap();
        cluster.config.classes.clear();
        let broken = cluster.platform.publish(&split(&cluster.config));
        let rejected = async {
            while cluster.routers[0]
                .handle()
                .inspect(|node, _| node.config().rejected_revision())
                .await
                != Some(broken)
            {
                task::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(RESPONSE_TIMEOUT, rejected)
            .await
            .expect("the invalid configuration is rejected");
        let now = cluster.routers[0]
            .handle()
            .inspect(|node, _| node.config().revision())
            .await;
        assert_eq!(now, Some(before), "the old configuration stays in effect");
        assert!(
            send(
                cluster.address(),
                chat_request(cluster.address(), "about 2 words", false)
            )
            .await
            .status()
            .is_success()
        );
    });
}

/// All routers keep serving while the platform is down.
#[test]
fn platform_outage() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 2).await;
        cluster.platform.set_down(true);
        for router in &cluster.routers {
            let response = send(
                router.address(),
                chat_request(router.address(), "about 2 words", false),
            )
            .await;
            assert!(response.status().is_success());
        }
    });
}

/// A draining router finishes its open stream and refuses new requests with status 503.
///
/// The other router goes on serving.
#[test]
fn graceful_stop() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 2).await;
        let prompt = "about 400 words";
        let address = cluster.routers[0].address();
        let response = send(address, chat_request(address, prompt, true)).await;
        let (drained, answer) =
            futures_lite::future::zip(cluster.routers[0].drain(), read_stream(response)).await;
        assert!(drained);
        assert_eq!(
            answer.unwrap(),
            peridotdeck_fake::text::answer(prompt, 0),
            "no request is cut off"
        );
        let refused = send(address, chat_request(address, "about 2 words", false)).await;
        assert_eq!(u16::from(refused.status()), 503);
        let other = cluster.routers[1].address();
        assert!(
            send(other, chat_request(other, "about 2 words", false))
                .await
                .status()
                .is_success()
        );
    });
}
