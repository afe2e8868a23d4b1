//! The answer to a caller, assembled from one or more attempts.

use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::task;
use http_types::{Body, Response, StatusCode};
use peridotdeck_core::{
    id,
    sequence::{Order, Sequence},
};
use peridotdeck_http::body::{self, ChunkSender, Feed};
use peridotdeck_io::budget::Reservation;
use serde_json::{Value, json};

use super::chunk::{Chunk, Flaw};
use crate::{api_error::ApiError, memory::Account, metrics::Sample};

/// Longest piece of a stream in bytes that reserves no memory while it waits for the caller.
const MAX_FREE_PIECE_BYTES: usize = 1 << 10;

/// Time between two attempts to reserve memory for a piece.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);

/// A piece of a stream, with the memory that it holds until it is written.
#[derive(Debug)]
struct Piece {
    bytes: Vec<u8>,
    _held: Option<Reservation>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A complete response, held in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body in bytes, sent unchanged.
    pub body: Vec<u8>,
}

/// The caller can receive no more, because it disconnected or already has a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// Why an event was not added to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The caller can receive no more.
    Disconnected,
    /// The endpoint's share of the memory is in use.
    Denied,
    /// The event is no part of the answer.
    Flawed(Flaw),
}

impl From<Disconnected> for Rejection {
    fn from(_: Disconnected) -> Self {
        Self::Disconnected
    }
}

impl From<Flaw> for Rejection {
    fn from(flaw: Flaw) -> Self {
        Self::Flawed(flaw)
    }
}

/// The answer to one request: what the caller has received so far and how to send the rest.
#[derive(Debug)]
pub struct Answer {
    request: id::Request,
    response_sender: Option<Sender<Response>>,
    chunks: Option<ChunkSender<Piece>>,
    /// Account of the endpoint of the current attempt.
    account: Option<Account>,
    /// Memory of the text, for each attempt that had a part in it.
    held: Vec<Reservation>,
    /// Bytes of the text at the begin of the current attempt.
    text_before: usize,
    /// The rest of a body that is passed on.
    feed: Option<Feed>,
    streams: bool,
    chat: bool,
    text: String,
    finish_reason: Option<String>,
    /// Whether an event of the current attempt has named the attempt.
    names_attempt: bool,
    /// Events of all attempts, by the numbers that engines give them.
    sequence: Sequence,
    tokens: u32,
    arrived: Instant,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
}

impl Answer {
    /// Returns an empty answer that sends its response head through `response_sender`.
    ///
    /// `streams` selects server-sent events, `chat` the chat format.
    #[must_use]
    pub fn new(
        request: id::Request,
        response_sender: Sender<Response>,
        streams: bool,
        chat: bool,
    ) -> Self {
        Self {
            request,
            response_sender: Some(response_sender),
            chunks: None,
            account: None,
            held: Vec::new(),
            text_before: 0,
            feed: None,
            streams,
            chat,
            text: String::new(),
            finish_reason: None,
            names_attempt: false,
            sequence: Sequence::default(),
            tokens: 0,
            arrived: Instant::now(),
            first_token: None,
            last_token: None,
        }
    }

    /// Returns the number of tokens that the caller has received or will receive.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Expects the events of a further attempt, whose endpoint has this account.
    pub fn begin_attempt(&mut self, account: Account) {
        self.held.push(account.reservation());
        self.account = Some(account);
        self.text_before = self.text.len();
        self.names_attempt = false;
        self.sequence = self.sequence.continued();
    }

    /// Adds one event of an endpoint's stream and counts it as one token.
    ///
    /// `number` is the event's number in the whole answer, if the endpoint numbers its events.
    ///
    /// The attempt's id is replaced by the request's id, which has the same length, so that the
    /// caller sees one id even if several attempts contribute.
    ///
    /// # Errors
    /// If the caller's connection is closed, or the event is no part of the answer; the event is not
    /// counted then.
    pub async fn push_event(
        &mut self,
        number: Option<&str>,
        data: &[u8],
        attempt: &str,
    ) -> Result<(), Rejection> {
        let chunk = self.check(number, data, attempt)?;
        if self.streams {
            let mut event = Vec::with_capacity(data.len() + 8);
            event.extend_from_slice(b"data: ");
            event.extend_from_slice(data);
            event.extend_from_slice(b"\n\n");
            replace_id(&mut event, attempt, self.request);
            self.send_chunk(event).await?;
        } else {
            self.hold_text(chunk.text().len())?;
            self.text.push_str(chunk.text());
        }
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = Some(reason.to_owned());
        }
        self.tokens += 1;
        let now = Instant::now();
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
        Ok(())
    }

    /// Keeps a reservation until the response is written.
    pub fn hold(&mut self, held: Reservation) {
        self.held.push(held);
    }

    /// Reserves memory for more text, twice its length as a text that grows has spare room.
    fn hold_text(&mut self, more: usize) -> Result<(), Rejection> {
        let bytes = 2 * (self.text.len() - self.text_before + more);
        let covered = match (&self.account, self.held.last_mut()) {
            (Some(account), Some(held)) => account.cover(held, bytes),
            _ => Ok(()),
        };
        covered.map_err(|_| Rejection::Denied)
    }

    /// Returns a piece of a stream; a long one waits until there is memory for it, or none waits before it.
    async fn hold_piece(&self, bytes: Vec<u8>) -> Piece {
        let account = self.account.as_ref();
        let account = account.filter(|_| bytes.len() > MAX_FREE_PIECE_BYTES);
        let mut held = account.map(Account::reservation);
        if let Some(held) = &mut held {
            let waits = |chunks: &ChunkSender<_>| !chunks.is_empty();
            while held.cover(bytes.len()).is_err() && self.chunks.as_ref().is_some_and(waits) {
                task::sleep(MEMORY_INTERVAL).await;
            }
        }
        Piece { bytes, _held: held }
    }

    /// Returns the chunk in an endpoint's event, unless the event is no part of the answer.
    fn check(&mut self, number: Option<&str>, data: &[u8], attempt: &str) -> Result<Chunk, Flaw> {
        let chunk = Chunk::parse(data)?;
        let names_attempt = chunk.id().map(|id| id.contains(attempt));
        if self.names_attempt && names_attempt == Some(false) {
            return Err(Flaw::OtherAnswer);
        }
        if self.finish_reason.is_some() && !chunk.text().is_empty() {
            return Err(Flaw::AfterFinish);
        }
        match self.sequence.advance(number.map(str::as_bytes)) {
            Order::Follows => {}
            Order::Repeats => return Err(Flaw::Repeats),
            Order::Gap => return Err(Flaw::Gap),
        }
        self.names_attempt |= names_attempt == Some(true);
        Ok(chunk)
    }

    async fn send_chunk(&mut self, chunk: Vec<u8>) -> Result<(), Disconnected> {
        if self.chunks.is_none() {
            let (chunks, body) = body::channel();
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response.insert_header("content-type", "text/event-stream");
            response.insert_header("cache-control", "no-cache");
            self.chunks = Some(chunks);
            self.send_response(response).await?;
        }
        let chunk = self.hold_piece(chunk).await;
        let chunks = self.chunks.as_ref().ok_or(Disconnected)?;
        chunks.send(Ok(chunk)).await.map_err(|_| Disconnected)
    }

    async fn send_response(&mut self, response: Response) -> Result<(), Disconnected> {
        let sender = self.response_sender.take().ok_or(Disconnected)?;
        sender.send(response).await.map_err(|_| Disconnected)
    }

    /// Ends the answer: sends the end marker of a stream, or the collected completion.
    pub async fn finish(&mut self, model: &str, prompt_tokens: u32) {
        let _ = if self.streams {
            self.send_chunk(b"data: [DONE]\n\n".to_vec()).await
        } else {
            let body = self.completion(model, prompt_tokens).to_string();
            self.send_full(FullResponse {
                status: 200,
                content_type: "application/json".to_owned(),
                body: body.into_bytes(),
            })
            .await
        };
        self.chunks = None;
    }

    fn completion(&self, model: &str, prompt_tokens: u32) -> Value {
        let mut choice = json!({"index": 0, "finish_reason": self.finish_reason, "logprobs": null});
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

    /// Sends the caller a complete response.
    ///
    /// # Errors
    /// [`Disconnected`] if the caller has disconnected or already has a response.
    pub async fn send_full(&mut self, full: FullResponse) -> Result<(), Disconnected> {
        self.send_head(full.status, &full.content_type, full.body.into())
            .await
    }

    async fn send_head(
        &mut self,
        status: u16,
        content_type: &str,
        body: Body,
    ) -> Result<(), Disconnected> {
        let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        response.set_body(body);
        response.insert_header("content-type", content_type);
        // What is held stays so until the response is written.
        response.ext_mut().insert(std::mem::take(&mut self.held));
        response.insert_header("x-request-id", format!("{:016x}", self.request));
        self.send_response(response).await
    }

    /// Sends the head of a response whose body follows in pieces.
    ///
    /// # Errors
    /// [`Disconnected`] if the caller has disconnected or already has a response.
    pub async fn begin_body(
        &mut self,
        status: u16,
        content_type: &str,
        length: Option<usize>,
    ) -> Result<(), Disconnected> {
        let (feed, body) = Feed::new(length);
        self.feed = Some(feed);
        self.send_head(status, content_type, body).await
    }

    /// Sends a piece of the body and returns whether the caller is connected.
    pub async fn send_piece(&self, piece: Vec<u8>) -> bool {
        match &self.feed {
            Some(feed) => feed.send(piece).await,
            None => false,
        }
    }

    /// Ends a body that has been sent in pieces.
    pub fn finish_body(&mut self) {
        if let Some(feed) = self.feed.take() {
            feed.finish();
        }
    }

    /// Returns whether the caller has a part of a body that no other attempt can continue.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.feed.is_some()
    }

    /// Sends the caller an error instead of a complete answer.
    ///
    /// A stream that has begun gets an error event and no end marker; the connection of a body that
    /// has begun is closed early.
    pub async fn send_error(&mut self, error: &ApiError) {
        if self.feed.take().is_some() {
            return;
        }
        if let Some(chunks) = self.chunks.take() {
            let event = format!("data: {}\n\n", error.body());
            let event = self.hold_piece(event.into_bytes()).await;
            let _ = chunks.send(Ok(event)).await;
            return;
        }
        let _ = self.send_response(error.response()).await;
    }

    /// Returns the latencies so far and whether they meet the targets.
    ///
    /// Targets are in milliseconds; 0 means no target.
    #[must_use]
    pub fn latencies(&self, first_token_ms: u32, token_gap_ms: u32, whole_ms: u32) -> Sample {
        let duration = self.arrived.elapsed();
        let time_to_first_token = self.first_token.map(|first| first - self.arrived);
        let inter_token_latency = match (self.first_token, self.last_token) {
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

/// Replaces the first occurrence of the attempt's id in a chunk by the request's id.
fn replace_id(chunk: &mut [u8], attempt: &str, request: id::Request) {
    let id = format!("{request:016x}");
    let found = chunk
        .windows(attempt.len())
        .position(|window| window == attempt.as_bytes());
    if let Some(start) = found
        && id.len() == attempt.len()
    {
        chunk[start..start + id.len()].copy_from_slice(id.as_bytes());
    }
}
