//! A try of a call at a plain service.

use std::time::Instant;

use async_std::future::timeout;
use http_types::{Method, Request, Response};
use peridotdeck_core::event::End;
use peridotdeck_http::client;
use peridotdeck_wire::Outcome;

use super::{Answer, Target, Whole, end, is_crossed, send, vouches_not_run};
use crate::dial::Dial;

/// Longest answer in bytes that witnesses keep for a caller that sends again.
const MAX_KEPT: usize = 4 * 1_024;

/// Longest answer in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
}

impl Plain {
    /// Runs one attempt.
    pub async fn run<D: Dial>(&self, dial: &D, target: &Target, answer: &mut Answer) -> End {
        let started = Instant::now();
        match self.fetch(dial, target).await {
            Ok(whole) => {
                let first = Some(Instant::now());
                let kept = keep(&whole);
                // The call has run whether or not its caller is still there.
                let delivered = answer.whole(whole).await.is_ok();
                let finished = delivered || !self.repeatable;
                let outcome = if finished {
                    Outcome::Finished
                } else {
                    Outcome::Cancelled
                };
                End {
                    answer: kept,
                    ..end(outcome, 0, first, started)
                }
            }
            Err(outcome) => end(outcome, 0, None, started),
        }
    }

    async fn fetch<D: Dial>(&self, dial: &D, target: &Target) -> Result<Whole, Outcome> {
        let request = |address| {
            let mut request = Request::new(self.method, client::url(address, &self.path)?);
            for (name, value) in &self.headers {
                request.insert_header(name.as_str(), value.as_str());
            }
            request.set_body(self.body.clone());
            if let Some((_, kind)) = self.headers.iter().find(|(name, _)| name == "content-type") {
                request.insert_header("content-type", kind.as_str());
            }
            Ok(request)
        };
        let mut response = send(dial, target, request, target.patience).await?;
        if is_crossed(&response, target) {
            return Err(Outcome::Crossed);
        }
        if response.status().is_server_error() || u16::from(response.status()) == 429 {
            return Err(self.judge(&response));
        }
        match timeout(target.patience, response.body_bytes()).await {
            Err(_) => Err(Outcome::Silent),
            Ok(Ok(body)) if body.len() <= MAX_ANSWER => Ok(whole(&response, body)),
            Ok(_) => Err(Outcome::Broken),
        }
    }

    /// An error proves nothing about a call unless the service vouches for it.
    fn judge(&self, response: &Response) -> Outcome {
        if self.repeatable || vouches_not_run(response) {
            Outcome::Refused
        } else {
            Outcome::Crossed
        }
    }
}

fn whole(response: &Response, body: Vec<u8>) -> Whole {
    let content_type = response
        .header("content-type")
        .map_or("application/octet-stream", |kind| kind.last().as_str());
    Whole {
        status: response.status().into(),
        content_type: content_type.to_owned(),
        body,
    }
}

fn keep(whole: &Whole) -> Option<(u16, String)> {
    let text = String::from_utf8(whole.body.clone()).ok()?;
    (text.len() <= MAX_KEPT).then_some((whole.status, text))
}
