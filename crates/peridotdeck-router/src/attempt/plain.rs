//! One attempt to run a request at an endpoint of a plain service.

use std::{sync::Arc, time::Instant};

use async_std::io::Cursor;
use http_types::{Body, Method, Request, Response};
use peridotdeck_core::event::End;
use peridotdeck_http::client;
use peridotdeck_wire::Outcome;

use super::{
    Answer, FullResponse, MAX_ANSWER_BYTES, Parameters, attempt_end, confirms_not_run,
    names_other_attempt, passing::Passing, send,
};
use crate::dial::Dial;

/// Longest answer in bytes that witnesses store for a caller that repeats the request.
const MAX_STORED_ANSWER_BYTES: usize = 4 * 1_024;

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query after the service's name.
    pub path: String,
    /// Names and values of the forwarded headers.
    pub headers: Vec<(String, String)>,
    /// Body of the caller's request.
    pub body: Arc<[u8]>,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
}

impl PlainRequest {
    /// Runs one attempt and sends the response to the caller.
    pub async fn run<D: Dial>(&self, dial: &D, params: &Parameters, answer: &mut Answer) -> End {
        let started = Instant::now();
        let (outcome, stored) = match self.fetch(dial, params, answer).await {
            Ok(None) => (Outcome::Finished, None),
            Ok(Some(full)) => {
                let stored = storable(&full);
                // A request that must not run twice has run, even if the caller disconnected.
                let delivered = answer.send_full(full).await.is_ok();
                let finished = delivered || !self.idempotent;
                let outcome = if finished {
                    Outcome::Finished
                } else {
                    Outcome::Cancelled
                };
                (outcome, stored)
            }
            Err(outcome) => return attempt_end(outcome, 0, None, started),
        };
        End {
            answer: stored,
            ..attempt_end(outcome, 0, Some(Instant::now()), started)
        }
    }

    /// Fetches the answer and returns it, unless it was passed on in pieces.
    async fn fetch<D: Dial>(
        &self,
        dial: &D,
        params: &Parameters,
        answer: &mut Answer,
    ) -> Result<Option<FullResponse>, Outcome> {
        let request = |address| {
            let mut request = Request::new(self.method, client::url(address, &self.path)?);
            for (name, value) in &self.headers {
                request.insert_header(name.as_str(), value.as_str());
            }
            let body = Cursor::new(Arc::clone(&self.body));
            request.set_body(Body::from_reader(body, Some(self.body.len())));
            if let Some((_, content_type)) =
                self.headers.iter().find(|(name, _)| name == "content-type")
            {
                request.insert_header("content-type", content_type.as_str());
            }
            Ok(request)
        };
        let response = send(dial, params, request, params.response_timeout).await?;
        if names_other_attempt(&response, params) {
            return Err(Outcome::Crossed);
        }
        if response.status().is_server_error() || u16::from(response.status()) == 429 {
            return Err(self.classify_error(&response));
        }
        let content_type = response
            .header("content-type")
            .map_or("application/octet-stream", |value| value.last().as_str())
            .to_owned();
        let passing = Passing {
            max_bytes: MAX_ANSWER_BYTES,
            timeout: params.response_timeout,
            runs_on: !self.idempotent,
        };
        let account = &params.account;
        passing.run(response, &content_type, account, answer).await
    }

    /// Returns the outcome of an error response.
    ///
    /// After an error, a request that must not run twice counts as possibly run, unless the
    /// endpoint confirms that it did not run.
    fn classify_error(&self, response: &Response) -> Outcome {
        if self.idempotent || confirms_not_run(response) {
            Outcome::Refused
        } else {
            Outcome::Crossed
        }
    }
}

/// Returns the status and body to store at witnesses, if the body is short UTF-8 text.
fn storable(full: &FullResponse) -> Option<(u16, String)> {
    let text = String::from_utf8(full.body.clone()).ok()?;
    (text.len() <= MAX_STORED_ANSWER_BYTES).then_some((full.status, text))
}
