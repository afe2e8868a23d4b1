//! Callers get the whole answer to their own request, or a verdict.

use async_std::task::block_on;
use peridotdeck_fake::{plain::Fault, text};
use serde_json::json;

use crate::cluster::{Site, chat, error, fast, post, send, streamed, value};

#[test]
fn whole_answer() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let answer = value(
            send(
                site.address(),
                chat(site.address(), "write about 20 words", false),
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

#[test]
fn streamed_answer() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let prompt = "schreib über Käthchen, 🎭 und about 300 words";
        let response = send(site.address(), chat(site.address(), prompt, true)).await;
        assert_eq!(
            response.header("content-type").unwrap().last().as_str(),
            "text/event-stream"
        );
        assert_eq!(streamed(response).await.unwrap(), text::answer(prompt, 0));
    });
}

#[test]
fn plain_completion() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let body =
            json!({"model": "wickmind", "prompt": "about 7 words", "max_tokens": 5}).to_string();
        let answer = value(
            send(
                site.address(),
                post(site.address(), "/v1/completions", &body),
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

#[test]
fn lists_models() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let mut request = post(site.address(), "/v1/models", "");
        request.set_method(http_types::Method::Get);
        let list = value(send(site.address(), request).await).await;
        assert_eq!(list["data"][0]["id"], "wickmind");
        assert_eq!(
            list["data"].as_array().unwrap().len(),
            1,
            "plain services are no models"
        );
    });
}

#[test]
fn booking_once() {
    block_on(async {
        let site = Site::start(&[fast()], 2).await;
        let request = |router: usize| {
            let mut request = post(
                site.routers[router].address(),
                "/refill-desk/reorders",
                "{}",
            );
            request.insert_header("idempotency-key", "order-1");
            request
        };
        let first = value(send(site.routers[0].address(), request(0)).await).await;
        let again = value(send(site.routers[1].address(), request(1)).await).await;
        assert_eq!(first, again, "the second caller gets the first answer");
        assert_eq!(site.record.runs("order-1"), 1);
    });
}

#[test]
fn lost_answer() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        for plain in &site.plains {
            plain.inject(Fault::BreakAfter);
        }
        let mut request = post(site.address(), "/refill-desk/reorders", "{}");
        request.insert_header("idempotency-key", "order-2");
        let (status, _, verdict) = error(site.address(), request).await;
        assert_eq!((status, verdict.as_str()), (502, "may_have_run"));
        assert_eq!(site.record.runs("order-2"), 1);
    });
}

#[test]
fn refused_by_endpoint() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        site.plains[0].inject(Fault::Refuse);
        site.plains[1].inject(Fault::Refuse);
        let mut request = post(site.address(), "/refill-desk/reorders", "{}");
        request.insert_header("idempotency-key", "order-3");
        let response = send(site.address(), request).await;
        assert!(
            response.status().is_success(),
            "a vouched refusal may be tried again"
        );
        assert_eq!(site.record.runs("order-3"), 1);
    });
}

#[test]
fn limit_reached() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let request = || {
            let mut request = chat(site.address(), "about 1 words", false);
            request.insert_header("authorization", "Bearer tiny-key");
            request
        };
        assert!(send(site.address(), request()).await.status().is_success());
        let mut last = send(site.address(), request()).await;
        assert_eq!(u16::from(last.status()), 429);
        assert!(last.header("retry-after").is_some());
        let body = last.body_string().await.unwrap();
        assert!(body.contains("\"verdict\":\"not_run\""), "{body}");
    });
}

#[test]
fn wrong_requests() {
    block_on(async {
        let site = Site::start(&[fast()], 1).await;
        let address = site.address();
        let mut no_key = chat(address, "hello", false);
        no_key.remove_header("authorization");
        let mut bad_key = chat(address, "hello", false);
        bad_key.insert_header("authorization", "Bearer nobody");
        let mut bad_class = chat(address, "hello", false);
        bad_class.insert_header("x-peridotdeck-class", "vip");
        let completions = |body: &str| post(address, "/v1/chat/completions", body);
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
            (post(address, "/nowhere/x", "{}"), 404, "service_not_found"),
            (completions(&"x".repeat(70_000)), 413, "body_too_large"),
        ];
        for (request, status, code) in cases {
            let (got, name, verdict) = error(address, request).await;
            assert_eq!(
                (got, name.as_str(), verdict.as_str()),
                (status, code, "not_run")
            );
        }
    });
}
