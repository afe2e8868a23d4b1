//! An endpoint that writes a refusal once more does not mislead the callers of later requests.

use std::time::Duration;

use async_std::task::block_on;
use peridotdeck_fake::{Plain, plain::Fault, relay::Relay};
use peridotdeck_policy::split;

use crate::cluster::{Cluster, fast_engine, post_request, read_json, send};

/// Puts a path that repeats all answers in front of each plain endpoint.
async fn repeat_answers(cluster: &mut Cluster) -> Vec<Relay> {
    let mut relays = Vec::new();
    for plain in &cluster.plains {
        let target = plain.address();
        let relay = Relay::start(target, Duration::ZERO).await.expect("a port");
        relay.repeat_answers(true);
        let services = cluster.config.services.iter_mut();
        for endpoint in services.flat_map(|service| &mut service.endpoints) {
            if endpoint.address == target.to_string() {
                endpoint.address = relay.address().to_string();
            }
        }
        relays.push(relay);
    }
    cluster.platform.publish(&split(&cluster.config));
    relays
}

/// Guards against "not run" for a request that runs, and against a second run of it.
#[test]
fn second_refusal_counts_for_no_later_request() {
    block_on(async {
        let mut cluster = Cluster::start(&[fast_engine()], 1).await;
        let _relays = repeat_answers(&mut cluster).await;
        for number in 0..20 {
            let refusing: &[Plain] = &cluster.plains[..number % 3];
            for plain in refusing {
                plain.inject(Fault::Refuse);
            }
            let key = format!("order-{number}");
            let mut request = post_request(cluster.address(), "/refill-desk/reorders", "{}");
            request.insert_header("idempotency-key", key.as_str());
            let response = send(cluster.address(), request).await;
            let is_success = response.status().is_success();
            let answer = read_json(response).await;
            let says_not_run = answer["error"]["verdict"].as_str() == Some("not_run");
            let runs = cluster.record.runs(&key);
            assert!(is_success || says_not_run, "{key}: {answer}");
            assert_eq!(runs, u32::from(is_success), "{key}: {answer}");
        }
    });
}
