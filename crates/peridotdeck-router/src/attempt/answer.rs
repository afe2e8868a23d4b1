//! The answer to a caller, put together from one attempt or several.

use std::time::{Duration, Instant};

use async_channel::Sender;
use http_types::{Response, StatusCode};
use peridotdeck_core::id;
use peridotdeck_http::body::{self, Feed};
use serde_json::{Value, json};

use crate::{api_error::Fault, metrics::Sample};

/// A whole answer that passes through unread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// The caller has gone away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// What the caller has received, and the way to it.
#[derive(Debug)]
pub struct Answer {
    request: id::Request,
    head: Option<Sender<Response>>,
    feed: Option<Feed>,
    streams: bool,
    chat: bool,
    text: String,
    reason: Option<String>,
    tokens: u32,
    arrived: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Answer {
    /// Starts an answer; `head` takes the response once it is known.
    #[must_use]
    pub fn new(request: id::Request, head: Sender<Response>, streams: bool, chat: bool) -> Self {
        Self {
            request,
            head: Some(head),
            feed: None,
            streams,
            chat,
            text: String::new(),
            reason: None,
            tokens: 0,
            arrived: Instant::now(),
            first: None,
            last: None,
        }
    }

    /// Returns the tokens that the caller has received or will receive.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Takes one event of an endpoint's stream.
    ///
    /// The endpoint's id is replaced by the request's, which has the same length, so that the
    /// caller sees one id although several attempts may have contributed.
    ///
    /// # Errors
    /// [`Gone`] if the caller's connection is closed; the event does not count then.
    pub async fn push_event(&mut self, data: &[u8], attempt: &str) -> Result<(), Gone> {
        if self.streams {
            let mut chunk = Vec::with_capacity(data.len() + 8);
            chunk.extend_from_slice(b"data: ");
            chunk.extend_from_slice(data);
            chunk.extend_from_slice(b"\n\n");
            rename(&mut chunk, attempt, self.request);
            self.feed(chunk).await?;
        } else {
            self.append(data);
        }
        self.tokens += 1;
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        Ok(())
    }

    async fn feed(&mut self, chunk: Vec<u8>) -> Result<(), Gone> {
        if self.feed.is_none() {
            let (feed, body) = body::channel();
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response.insert_header("content-type", "text/event-stream");
            response.insert_header("cache-control", "no-cache");
            self.feed = Some(feed);
            self.respond(response).await?;
        }
        let feed = self.feed.as_ref().ok_or(Gone)?;
        feed.send(Ok(chunk)).await.map_err(|_| Gone)
    }

    fn append(&mut self, data: &[u8]) {
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
            return;
        };
        let choice = &chunk["choices"][0];
        let text = if self.chat {
            &choice["delta"]["content"]
        } else {
            &choice["text"]
        };
        self.text.push_str(text.as_str().unwrap_or_default());
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.reason = Some(reason.to_owned());
        }
    }

    async fn respond(&mut self, response: Response) -> Result<(), Gone> {
        let head = self.head.take().ok_or(Gone)?;
        head.send(response).await.map_err(|_| Gone)
    }

    /// Ends a streamed or collected answer well.
    pub async fn finish(&mut self, model: &str, prompt_tokens: u32) {
        let _ = if self.streams {
            self.feed(b"data: [DONE]\n\n".to_vec()).await
        } else {
            let body = self.collected(model, prompt_tokens).to_string();
            self.whole(Whole {
                status: 200,
                content_type: "application/json".to_owned(),
                body: body.into_bytes(),
            })
            .await
        };
        self.feed = None;
    }

    fn collected(&self, model: &str, prompt_tokens: u32) -> Value {
        let mut choice = json!({"index": 0, "finish_reason": self.reason, "logprobs": null});
        if self.chat {
            choice["message"] = json!({"role": "assistant", "content": self.text});
        } else {
            choice["text"] = json!(self.text);
        }
        json!({
            "id": format!("{:016x}", self.request),
            "object": if self.chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": self.tokens,
                "total_tokens": prompt_tokens + self.tokens,
            },
        })
    }

    /// Gives the caller a whole answer.
    ///
    /// # Errors
    /// [`Gone`] if the caller has gone away or has an answer already.
    pub async fn whole(&mut self, whole: Whole) -> Result<(), Gone> {
        let status = StatusCode::try_from(whole.status).unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        response.set_body(whole.body);
        response.insert_header("content-type", whole.content_type);
        response.insert_header("x-request-id", format!("{:016x}", self.request));
        self.respond(response).await
    }

    /// Tells the caller that there will be no whole answer.
    ///
    /// A stream that has begun gets an error event and no end marker.
    pub async fn refuse(&mut self, fault: &Fault) {
        if let Some(feed) = self.feed.take() {
            let event = format!("data: {}\n\n", fault.body());
            let _ = feed.send(Ok(event.into_bytes())).await;
            return;
        }
        let _ = self.respond(fault.response()).await;
    }

    /// Returns the latencies so far, judged against targets in milliseconds; 0 sets none.
    #[must_use]
    pub fn sample(&self, first_token_ms: u32, token_gap_ms: u32, whole_ms: u32) -> Sample {
        let duration = self.arrived.elapsed();
        let time_to_first_token = self.first.map(|first| first - self.arrived);
        let inter_token_latency = match (self.first, self.last) {
            (Some(first), Some(last)) if self.tokens > 1 => {
                Some((last - first) / (self.tokens - 1))
            }
            _ => None,
        };
        let met = |time: Option<Duration>, target: u32| {
            target == 0 || time.is_none_or(|time| time <= Duration::from_millis(target.into()))
        };
        let meets_targets = met(time_to_first_token, first_token_ms)
            && met(inter_token_latency, token_gap_ms)
            && met(Some(duration), whole_ms);
        Sample {
            time_to_first_token,
            inter_token_latency,
            duration,
            meets_targets,
        }
    }
}

fn rename(chunk: &mut [u8], attempt: &str, request: id::Request) {
    let name = format!("{request:016x}");
    let found = chunk
        .windows(attempt.len())
        .position(|window| window == attempt.as_bytes());
    if let Some(at) = found
        && name.len() == attempt.len()
    {
        chunk[at..at + name.len()].copy_from_slice(name.as_bytes());
    }
}
