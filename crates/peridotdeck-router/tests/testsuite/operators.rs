//! The operators' interface: status, routing explanations, metrics, probes and draining.

use async_std::task::block_on;
use http_types::{Method, Request};
use peridotdeck_http::client;
use serde_json::json;

use crate::cluster::{
    Cluster, RESPONSE_TIMEOUT, chat_request, fast_engine, post_request, read_json, send,
};

/// Calls a JSON-RPC method of the operators' interface and returns the whole response.
async fn call_operator(
    cluster: &Cluster,
    method: &str,
    params: serde_json::Value,
) -> serde_json::Value {
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string();
    read_json(
        send(
            cluster.address(),
            post_request(cluster.address(), "/rpc/operator", &body),
        )
        .await,
    )
    .await
}

/// Returns the status and the body of a GET request without an API key.
async fn get(cluster: &Cluster, path: &str) -> (u16, String) {
    let request = Request::new(Method::Get, client::url(cluster.address(), path).unwrap());
    let mut response = client::request(cluster.address(), request, RESPONSE_TIMEOUT)
        .await
        .unwrap();
    (
        response.status().into(),
        response.body_string().await.unwrap(),
    )
}

/// `operator.status` reports readiness and one pool for each of the two services.
#[test]
fn status_lists_pools() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let status = call_operator(&cluster, "operator.status", json!([])).await["result"].take();
        assert_eq!(status["ready"], true);
        assert_eq!(status["pools"].as_array().unwrap().len(), 2);
    });
}

/// `operator.explain` returns class and pool, and names an organisation that it does not know.
#[test]
fn explain_names_pool() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let question = json!([{"organisation": "matrah", "service": "wickmind", "class": ""}]);
        let answer = call_operator(&cluster, "operator.explain", question).await["result"].take();
        assert_eq!(
            (
                answer["class"].as_str(),
                answer["pools"][0]["place"].as_str()
            ),
            (Some("counter"), Some("a"))
        );
        let unknown = json!([{"organisation": "nobody", "service": "wickmind", "class": ""}]);
        let error =
            call_operator(&cluster, "operator.explain", unknown).await["error"]["message"].take();
        assert_eq!(error, "unknown organisation \"nobody\"");
    });
}

/// `/metrics` counts by class and organisation, and never contains an API key.
#[test]
fn metrics_by_class() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        send(
            cluster.address(),
            chat_request(cluster.address(), "about 3 words", false),
        )
        .await;
        let (status, text) = get(&cluster, "/metrics").await;
        assert_eq!(status, 200);
        let line =
            "peridotdeck_first_token_seconds_count{class=\"counter\",organisation=\"matrah\"} 1";
        assert!(text.contains(line), "{text}");
        assert!(!text.contains("matrah-key"));
    });
}

/// Draining turns `/readyz` to 503; `/healthz` stays at 200.
#[test]
fn probes_follow_drain() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        assert_eq!(get(&cluster, "/readyz").await.0, 200);
        call_operator(&cluster, "operator.drain", json!([])).await;
        assert_eq!(get(&cluster, "/readyz").await.0, 503);
        assert_eq!(get(&cluster, "/healthz").await.0, 200);
    });
}
