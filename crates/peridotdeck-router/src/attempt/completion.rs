//! A try of a completion request at a model engine.

use std::time::{Duration, Instant};

use async_sse::Event;
use async_std::future::timeout;
use futures_lite::StreamExt;
use http_types::{Method, Request, Response, mime};
use peridotdeck_core::event::End;
use peridotdeck_http::client;
use peridotdeck_wire::Outcome;

use super::{Answer, Target, Whole, end, is_crossed, send, vouches_not_run};
use crate::{dial::Dial, prompt::Prompt};

/// Longest error body in bytes that is passed on to the caller.
const MAX_ERROR: usize = 64 * 1_024;

/// Time that an engine may spend on a prompt token before the first output token; a slow engine
/// spends a part of it.
const PREFILL: Duration = Duration::from_millis(1);

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// A completion request.
#[derive(Clone, Debug)]
pub struct Model {
    /// What the caller sent.
    pub prompt: Prompt,
    /// Whether it came to the chat interface.
    pub chat: bool,
}

impl Model {
    /// Runs one attempt; tokens go to `answer` as they come.
    pub async fn run<D: Dial>(&self, dial: &D, target: &Target, answer: &mut Answer) -> End {
        let started = Instant::now();
        let before = answer.tokens();
        let mut first = None;
        let outcome = match self.open(dial, target, before).await {
            Ok(response) => self.receive(response, target, answer, &mut first).await,
            Err(outcome) => outcome,
        };
        end(outcome, answer.tokens() - before, first, started)
    }

    async fn open<D: Dial>(
        &self,
        dial: &D,
        target: &Target,
        delivered: u32,
    ) -> Result<Response, Outcome> {
        let path = if self.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let request = |address| {
            let mut request = Request::new(Method::Post, client::url(address, path)?);
            request.set_body(self.prompt.body(delivered));
            request.set_content_type(mime::JSON);
            Ok(request)
        };
        let streams = self.prompt.simple || self.prompt.stream;
        let patience = if streams {
            self.first_patience(target)
        } else {
            target.patience
        };
        send(dial, target, request, patience).await
    }

    /// Silence to bear before the first token: a long prompt takes long to read.
    fn first_patience(&self, target: &Target) -> Duration {
        target.silence + PREFILL * self.prompt.tokens
    }

    async fn receive(
        &self,
        response: Response,
        target: &Target,
        answer: &mut Answer,
        first: &mut Option<Instant>,
    ) -> Outcome {
        if is_crossed(&response, target) {
            return Outcome::Crossed;
        }
        let status = u16::from(response.status());
        match status {
            200 if self.prompt.simple || self.prompt.stream => {
                self.relay(response, target, answer, first).await
            }
            200 => self.pass(response, target.patience, answer).await,
            429 | 500..=599 => Outcome::Refused,
            _ if vouches_not_run(&response) => Outcome::Refused,
            _ => self.pass(response, target.silence, answer).await,
        }
    }

    async fn relay(
        &self,
        mut response: Response,
        target: &Target,
        answer: &mut Answer,
        first: &mut Option<Instant>,
    ) -> Outcome {
        let id = target.id();
        let mut events = async_sse::decode(response.take_body());
        loop {
            let silence = if first.is_some() {
                target.silence
            } else {
                self.first_patience(target)
            };
            match timeout(silence, events.next()).await {
                Err(_) => return Outcome::Silent,
                Ok(None | Some(Err(_))) => return Outcome::Broken,
                Ok(Some(Ok(Event::Retry(_)))) => {}
                Ok(Some(Ok(Event::Message(message)))) if message.data() == DONE => {
                    answer.finish(&self.prompt.model, self.prompt.tokens).await;
                    return Outcome::Finished;
                }
                Ok(Some(Ok(Event::Message(message)))) => {
                    first.get_or_insert_with(Instant::now);
                    if answer.push_event(message.data(), &id).await.is_err() {
                        return Outcome::Cancelled;
                    }
                }
            }
        }
    }

    /// Passes on an answer that is not read: one with several choices, or a caller's mistake.
    async fn pass(
        &self,
        mut response: Response,
        patience: Duration,
        answer: &mut Answer,
    ) -> Outcome {
        let body = match timeout(patience, response.body_bytes()).await {
            Err(_) => return Outcome::Silent,
            Ok(Err(_)) => return Outcome::Broken,
            Ok(Ok(body)) => body,
        };
        let status = u16::from(response.status());
        if status != 200 && body.len() > MAX_ERROR {
            return Outcome::Broken;
        }
        let content_type = "application/json".to_owned();
        match answer
            .whole(Whole {
                status,
                content_type,
                body,
            })
            .await
        {
            Ok(()) => Outcome::Finished,
            Err(_) => Outcome::Cancelled,
        }
    }
}
