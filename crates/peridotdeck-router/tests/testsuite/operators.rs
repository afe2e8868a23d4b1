//! Operators see the state and the reasons.

use async_std::task::block_on;
use http_types::{Method, Request};
use peridotdeck_http::client;
use serde_json::json;

use crate::cluster::{PATIENCE, Site, chat, fast, post, send, value};

async fn rpc(site: &Site, method: &str, params: serde_json::Value) -> serde_json::Value {
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string();
    value(send(site.address(), post(site.address(), "/rpc/operator", &body)).await).await
}

async fn get(site: &Site, path: &str) -> (u16, String) {
    let request = Request::new(Method::Get, client::url(site.address(), path).unwrap());
    let mut response = client::request(site.address(), request, PATIENCE)
        .await
        .unwrap();
    (
        response.status().into(),
        response.body_string().await.unwrap(),
    )
}

#[test]
fn status_shows_engines() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let status = rpc(&site, "operator.status", json!([])).await["result"].take();
        assert_eq!(status["ready"], true);
        assert_eq!(status["pools"].as_array().unwrap().len(), 2);
    });
}

#[test]
fn explain_names_pool() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let question = json!([{"organisation": "matrah", "service": "wickmind", "class": ""}]);
        let answer = rpc(&site, "operator.explain", question).await["result"].take();
        assert_eq!(
            (
                answer["class"].as_str(),
                answer["pools"][0]["place"].as_str()
            ),
            (Some("counter"), Some("a"))
        );
        let unknown = json!([{"organisation": "nobody", "service": "wickmind", "class": ""}]);
        let error = rpc(&site, "operator.explain", unknown).await["error"]["message"].take();
        assert_eq!(error, "unknown organisation \"nobody\"");
    });
}

#[test]
fn metrics_by_class() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        send(site.address(), chat(site.address(), "about 3 words", false)).await;
        let (status, text) = get(&site, "/metrics").await;
        assert_eq!(status, 200);
        let line =
            "peridotdeck_first_token_seconds_count{class=\"counter\",organisation=\"matrah\"} 1";
        assert!(text.contains(line), "{text}");
        assert!(!text.contains("matrah-key"));
    });
}

#[test]
fn probes_follow_drain() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        assert_eq!(get(&site, "/readyz").await.0, 200);
        rpc(&site, "operator.drain", json!([])).await;
        assert_eq!(get(&site, "/readyz").await.0, 503);
        assert_eq!(get(&site, "/healthz").await.0, 200);
    });
}
