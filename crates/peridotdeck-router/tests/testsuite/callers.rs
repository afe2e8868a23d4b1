//! Callers receive the whole response to their own request, or an error with a verdict.

use async_std::task::block_on;
use peridotdeck_fake::{plain::Fault, text};
use serde_json::json;

use crate::cluster::{
    Cluster, chat_request, fast_engine, post_request, read_json, read_stream, send, send_refused,
};

/// A chat completion without streaming returns the whole text and the token count.
#[test]
fn whole_answer() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let answer = read_json(
            send(
                cluster.address(),
                chat_request(cluster.address(), "write about 20 words", false),
            )
            .await,
        )
        .await;
        let content = answer["choices"][0]["message"]["content"].as_str().unwrap();
        assert_eq!(content, text::answer("write about 20 words", 0));
        assert_eq!(answer["usage"]["completion_tokens"], 20);
        assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    });
}

/// A streamed chat completion with characters of several bytes arrives whole and unchanged.
#[test]
fn streamed_answer() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let prompt = "schreib über Käthchen, 🎭 und about 300 words";
        let response = send(
            cluster.address(),
            chat_request(cluster.address(), prompt, true),
        )
        .await;
        assert_eq!(
            response.header("content-type").unwrap().last().as_str(),
            "text/event-stream"
        );
        assert_eq!(
            read_stream(response).await.unwrap(),
            text::answer(prompt, 0)
        );
    });
}

/// The older completions interface works, and `max_tokens` reaches the engine.
#[test]
fn plain_completion() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let body =
            json!({"model": "wickmind", "prompt": "about 7 words", "max_tokens": 5}).to_string();
        let answer = read_json(
            send(
                cluster.address(),
                post_request(cluster.address(), "/v1/completions", &body),
            )
            .await,
        )
        .await;
        assert_eq!(
            answer["choices"][0]["text"].as_str().unwrap(),
            text::answer("about 7 words", 5)
        );
    });
}

/// The model list contains model services only.
#[test]
fn lists_models() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let mut request = post_request(cluster.address(), "/v1/models", "");
        request.set_method(http_types::Method::Get);
        let list = read_json(send(cluster.address(), request).await).await;
        assert_eq!(list["data"][0]["id"], "wickmind");
        assert_eq!(
            list["data"].as_array().unwrap().len(),
            1,
            "plain services are not listed as models"
        );
    });
}

/// A repeated idempotency key runs once, even if the second request reaches another router.
#[test]
fn idempotency_key_runs_once() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 2).await;
        let request = |router: usize| {
            let mut request = post_request(
                cluster.routers[router].address(),
                "/refill-desk/reorders",
                "{}",
            );
            request.insert_header("idempotency-key", "order-1");
            request
        };
        let first = read_json(send(cluster.routers[0].address(), request(0)).await).await;
        let again = read_json(send(cluster.routers[1].address(), request(1)).await).await;
        assert_eq!(
            first, again,
            "the second caller receives the first response"
        );
        assert_eq!(cluster.record.runs("order-1"), 1);
    });
}

/// A request that must not be repeated is not retried after its response was lost.
///
/// The endpoints run it and then break the connection, so the verdict is `may_have_run`.
#[test]
fn lost_response_may_have_run() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        for plain in &cluster.plains {
            plain.inject(Fault::BreakAfter);
        }
        let mut request = post_request(cluster.address(), "/refill-desk/reorders", "{}");
        request.insert_header("idempotency-key", "order-2");
        let (status, _, verdict) = send_refused(cluster.address(), request).await;
        assert_eq!((status, verdict.as_str()), (502, "may_have_run"));
        assert_eq!(cluster.record.runs("order-2"), 1);
    });
}

/// A refusal in which the endpoint states that nothing ran allows a retry.
///
/// The request must not be repeated otherwise; each of the two endpoints refuses its next one.
#[test]
fn refused_by_endpoint() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        cluster.plains[0].inject(Fault::Refuse);
        cluster.plains[1].inject(Fault::Refuse);
        let mut request = post_request(cluster.address(), "/refill-desk/reorders", "{}");
        request.insert_header("idempotency-key", "order-3");
        let response = send(cluster.address(), request).await;
        assert!(
            response.status().is_success(),
            "a refusal that states that nothing ran may be retried"
        );
        assert_eq!(cluster.record.runs("order-3"), 1);
    });
}

/// A request above the organisation's rate is refused with `Retry-After` and did not run.
#[test]
fn rate_limit_reached() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let request = || {
            let mut request = chat_request(cluster.address(), "about 1 words", false);
            request.insert_header("authorization", "Bearer tiny-key");
            request
        };
        assert!(
            send(cluster.address(), request())
                .await
                .status()
                .is_success()
        );
        let mut last = send(cluster.address(), request()).await;
        assert_eq!(u16::from(last.status()), 429);
        assert!(last.header("retry-after").is_some());
        let body = last.body_string().await.unwrap();
        assert!(body.contains("\"verdict\":\"not_run\""), "{body}");
    });
}

/// Invalid requests are refused with their own status and code, and did not run.
#[test]
fn invalid_requests() {
    block_on(async {
        let cluster = Cluster::start(&[fast_engine()], 1).await;
        let address = cluster.address();
        let mut no_key = chat_request(address, "hello", false);
        no_key.remove_header("authorization");
        let mut bad_key = chat_request(address, "hello", false);
        bad_key.insert_header("authorization", "Bearer nobody");
        let mut bad_class = chat_request(address, "hello", false);
        bad_class.insert_header("x-peridotdeck-class", "vip");
        let completions = |body: &str| post_request(address, "/v1/chat/completions", body);
        let cases = [
            (no_key, 401, "missing_key"),
            (bad_key, 401, "invalid_key"),
            (bad_class, 400, "unknown_class"),
            (completions("{"), 400, "invalid_json"),
            (completions("[1]"), 400, "invalid_json"),
            (
                completions(r#"{"model":"wickmind"}"#),
                400,
                "invalid_request",
            ),
            (
                completions(r#"{"model":"gpt","messages":[{"content":"x"}]}"#),
                404,
                "model_not_found",
            ),
            (
                post_request(address, "/nowhere/x", "{}"),
                404,
                "service_not_found",
            ),
            (completions(&"x".repeat(70_000)), 413, "body_too_large"),
        ];
        for (request, status, code) in cases {
            let (got, name, verdict) = send_refused(address, request).await;
            assert_eq!(
                (got, name.as_str(), verdict.as_str()),
                (status, code, "not_run")
            );
        }
    });
}
