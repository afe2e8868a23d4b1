//! Errors that callers receive: the API's error object and a verdict.

use std::time::Duration;

use http_types::{Response, StatusCode, mime};
use peridotdeck_core::{
    Verdict,
    request::{Cause, Refusal},
};
use serde_json::{Value, json};

/// Response header that states whether the refused request may have run.
pub const VERDICT_HEADER: &str = "x-peridotdeck-verdict";

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: u16,
    /// Type of the error in the API, such as `invalid_request_error`.
    pub kind: &'static str,
    /// Short name of the cause.
    pub code: String,
    /// Message for a person: the cause, and what to do about it.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// Returns an error of type `invalid_request_error` for a request that did not run.
    #[must_use]
    pub fn new(status: u16, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            kind: "invalid_request_error",
            code: code.to_owned(),
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Returns the API's error object.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({"error": {
            "message": self.message,
            "type": self.kind,
            "code": self.code,
            "param": null,
            "verdict": self.verdict,
        }})
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        response.set_body(self.body().to_string());
        response.set_content_type(mime::JSON);
        response.insert_header(VERDICT_HEADER, self.verdict.to_string());
        if let Some(delay) = self.retry_after {
            response.insert_header("retry-after", delay.as_secs().max(1).to_string());
        }
        response
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        let (status, kind, message) = match (refusal.cause, refusal.verdict) {
            (Cause::Leaving, Verdict::MayHaveRun | Verdict::Ran) => (
                502,
                "server_error",
                "this node shut down before the answer was complete; the request may have run",
            ),
            (cause, _) => status_kind_message(cause),
        };
        Self {
            status,
            kind,
            code: refusal.cause.to_string(),
            message: message.to_owned(),
            verdict: refusal.verdict,
            retry_after: refusal.retry_after,
        }
    }
}

/// Returns the HTTP status, the error type and the message of a refusal.
fn status_kind_message(cause: Cause) -> (u16, &'static str, &'static str) {
    match cause {
        Cause::Unconfigured => (
            503,
            "server_error",
            "this node has no configuration yet; try again",
        ),
        Cause::Leaving => (503, "server_error", "this node is shutting down; try again"),
        Cause::Unknown => (404, "invalid_request_error", "unknown service or class"),
        Cause::Limited => (
            429,
            "rate_limit_error",
            "your organisation's limit is reached; try later",
        ),
        Cause::Overload => (
            503,
            "overloaded_error",
            "the latency target cannot be met now; try later",
        ),
        Cause::NoEndpoint => (
            503,
            "server_error",
            "no endpoint can take the request now; try later",
        ),
        Cause::Quarantined => (
            422,
            "invalid_request_error",
            "this request has crashed endpoints",
        ),
        Cause::NoWitness => (
            503,
            "server_error",
            "the idempotency key cannot be reserved now; try later",
        ),
        Cause::KeyReused => (
            422,
            "invalid_request_error",
            "this idempotency key belongs to another call",
        ),
        Cause::AlreadyRan => (
            409,
            "conflict_error",
            "the call with this key has run; its answer is gone",
        ),
        Cause::MayHaveRun => (
            409,
            "conflict_error",
            "a call with this key may have run; check its effect",
        ),
        Cause::EndpointFailed => (
            502,
            "server_error",
            "the endpoint failed while it ran the request",
        ),
    }
}
