//! One attempt to run a completion request at a model engine.

use std::time::{Duration, Instant};

use async_sse::{Event, Message};
use async_std::future::timeout;
use futures_lite::{AsyncReadExt, StreamExt, io::BufReader};
use http_types::{Method, Request, Response, StatusCode, mime};
use peridotdeck_core::event::End;
use peridotdeck_http::client;
use peridotdeck_io::Ending;
use peridotdeck_wire::Outcome;

use super::{
    Answer, MAX_ANSWER_BYTES, Parameters, Rejection, attempt_end, confirms_not_run,
    event_bound::EventBound, names_other_attempt, passing::Passing, send,
};
use crate::{dial::Dial, prompt::Prompt};

/// Longest error body in bytes that is forwarded to the caller; a longer one fails the attempt.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1_024;

/// Longest stream in bytes; a longer one fails the attempt, even in the middle of an event.
const MAX_STREAM_BYTES: u64 = 32 << 20;

/// Longest prefill time per prompt token; even a slow engine needs only a part of it.
const MAX_PREFILL_PER_TOKEN: Duration = Duration::from_millis(1);

/// Data of the event that marks the end of a stream.
const END_MARKER: &[u8] = b"[DONE]";

/// A completion request to send to a model engine.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The caller's request body and the properties read from it.
    pub prompt: Prompt,
    /// Whether the request uses the chat interface.
    pub chat: bool,
}

impl CompletionRequest {
    /// Runs one attempt and adds each token to `answer` as it arrives.
    pub async fn run<D: Dial>(&self, dial: &D, params: &Parameters, answer: &mut Answer) -> End {
        let started = Instant::now();
        let delivered_before = answer.tokens();
        answer.begin_attempt(params.account.clone());
        let mut first_token = None;
        let outcome = match self.send_request(dial, params, delivered_before).await {
            Ok(response) => {
                self.receive(response, params, answer, &mut first_token)
                    .await
            }
            Err(outcome) => outcome,
        };
        attempt_end(
            outcome,
            answer.tokens() - delivered_before,
            first_token,
            started,
        )
    }

    async fn send_request<D: Dial>(
        &self,
        dial: &D,
        params: &Parameters,
        delivered_tokens: u32,
    ) -> Result<Response, Outcome> {
        let path = if self.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let request = |address| {
            let mut request = Request::new(Method::Post, client::url(address, path)?);
            request.set_body(self.prompt.body(delivered_tokens));
            request.set_content_type(mime::JSON);
            Ok(request)
        };
        let streams = self.prompt.text_only || self.prompt.stream;
        let limit = if streams {
            self.first_token_timeout(params)
        } else {
            params.response_timeout
        };
        send(dial, params, request, limit).await
    }

    /// Returns the longest wait for the first token: the prefill of a long prompt takes long.
    fn first_token_timeout(&self, params: &Parameters) -> Duration {
        params.idle_timeout + MAX_PREFILL_PER_TOKEN * self.prompt.tokens
    }

    async fn receive(
        &self,
        response: Response,
        params: &Parameters,
        answer: &mut Answer,
        first_token: &mut Option<Instant>,
    ) -> Outcome {
        if names_other_attempt(&response, params) {
            return Outcome::Crossed;
        }
        let status = u16::from(response.status());
        match status {
            200 if self.prompt.text_only || self.prompt.stream => {
                self.relay(response, params, answer, first_token).await
            }
            200 => {
                self.forward(response, params, params.response_timeout, answer)
                    .await
            }
            429 | 500..=599 => Outcome::Refused,
            _ if confirms_not_run(&response) => Outcome::Refused,
            // An error cannot take the place of an answer that has begun.
            _ if answer.tokens() > 0 => Outcome::Refused,
            _ => {
                self.forward(response, params, params.idle_timeout, answer)
                    .await
            }
        }
    }

    async fn relay(
        &self,
        mut response: Response,
        params: &Parameters,
        answer: &mut Answer,
        first_token: &mut Option<Instant>,
    ) -> Outcome {
        let id = params.id();
        let body = response.take_body().take(MAX_STREAM_BYTES);
        let body = BufReader::new(EventBound::new(body, params.account.clone()));
        let mut events = async_sse::decode(Ending::new(body));
        let mut ids = OwnIds::default();
        let mut waits_since = Instant::now();
        loop {
            let idle_timeout = if first_token.is_some() {
                params.idle_timeout
            } else {
                self.first_token_timeout(params)
            };
            let left = idle_timeout.saturating_sub(waits_since.elapsed());
            match timeout(left, events.next()).await {
                Err(_) => return Outcome::Silent,
                Ok(None | Some(Err(_))) => return Outcome::Broken,
                Ok(Some(Ok(Event::Retry(_)))) => {}
                Ok(Some(Ok(Event::Message(message)))) if message.data() == END_MARKER => {
                    answer.finish(&self.prompt.model, self.prompt.tokens).await;
                    return Outcome::Finished;
                }
                // An event without content is no part of the answer, and the wait for one goes on.
                Ok(Some(Ok(Event::Message(message)))) if message.data().is_empty() => {}
                Ok(Some(Ok(Event::Message(message)))) => {
                    let number = ids.own_id(&message).filter(|id| is_number(id));
                    match answer.push_event(number, message.data(), &id).await {
                        Ok(()) => {}
                        Err(Rejection::Disconnected) => return Outcome::Cancelled,
                        Err(Rejection::Denied) => return Outcome::Broken,
                        Err(Rejection::Flawed(flaw)) => {
                            log::warn!("event=stream_flawed attempt={id} cause={flaw}");
                            return Outcome::Crossed;
                        }
                    }
                    waits_since = Instant::now();
                    first_token.get_or_insert(waits_since);
                    ids.last = Some(message);
                }
            }
        }
    }

    /// Forwards a response unparsed: one that is not reassembled, or an error of the caller.
    async fn forward(
        &self,
        response: Response,
        params: &Parameters,
        limit: Duration,
        answer: &mut Answer,
    ) -> Outcome {
        let max_bytes = if response.status() == StatusCode::Ok {
            MAX_ANSWER_BYTES
        } else {
            MAX_ERROR_BODY_BYTES
        };
        let passing = Passing {
            max_bytes,
            timeout: limit,
            runs_on: false,
        };
        match passing
            .run(response, "application/json", &params.account, answer)
            .await
        {
            Ok(None) => Outcome::Finished,
            Ok(Some(full)) => match answer.send_full(full).await {
                Ok(()) => Outcome::Finished,
                Err(_) => Outcome::Cancelled,
            },
            Err(outcome) => outcome,
        }
    }
}

/// Tells the ids that events name themselves from those that the decoder repeats.
///
/// The decoder gives the last id to an event without one, as browsers do. An event with the last one's
/// id is taken to have come twice if its data are the last one's too, and else to have no id.
#[derive(Debug, Default)]
struct OwnIds {
    last: Option<Message>,
    /// Whether the last event had no id of its own.
    is_repeated: bool,
}

impl OwnIds {
    /// Returns the id that the next event names itself.
    fn own_id<'a>(&mut self, message: &'a Message) -> Option<&'a str> {
        let last = self.last.as_ref();
        let last = last.filter(|last| last.id() == message.id());
        self.is_repeated =
            last.is_some_and(|last| self.is_repeated || last.data() != message.data());
        message.id().as_deref().filter(|_| !self.is_repeated)
    }
}

/// Returns whether an event's id numbers it; other ids may be the same for a whole answer.
fn is_number(id: &str) -> bool {
    id.bytes().all(|byte| byte.is_ascii_digit())
}
