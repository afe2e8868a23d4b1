//! One caller: sends a request, reads the whole answer, and judges it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_sse::Event;
use async_std::future::timeout;
use futures_lite::StreamExt;
use http_types::{Method, Request, Response, mime};
use peridotdeck_fake::text;
use peridotdeck_http::client;
use peridotdeck_io::Ending;
use peridotdeck_router::callers::CLASS_HEADER;
use serde_json::{Value, json};

use crate::{
    arrivals::Arrival,
    experiment::{Experiment, Load},
    stage,
};

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole right answer.
    Finished,
    /// A refusal with its verdict.
    Refused(String),
    /// The connection ended without answer or verdict.
    Lost,
    /// An answer that belongs to another request, or is mixed or cut.
    Crossed,
}

/// A request's end and latencies.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// What became of it.
    pub end: End,
    /// From sending to the first token.
    pub first: Option<Duration>,
    /// Mean gap between tokens.
    pub gap: Option<Duration>,
    /// From sending to the end.
    pub whole: Duration,
    /// Tokens received.
    pub tokens: u32,
}

struct Reading {
    text: String,
    tokens: u32,
    first: Option<Instant>,
    last: Option<Instant>,
    verdict: Option<String>,
    complete: bool,
}

/// Sends one request and reads its answer.
pub async fn send(
    experiment: &Experiment,
    arrival: &Arrival,
    address: SocketAddr,
    patience: Duration,
) -> Outcome {
    let started = Instant::now();
    let work = Box::pin(exchange(experiment, arrival, address, patience));
    let (end, reading) = match timeout(patience, work).await {
        Ok(Ok(done)) => done,
        Ok(Err(_)) | Err(_) => (End::Lost, Reading::new()),
    };
    let since = |time: Instant| time.duration_since(started);
    let gap = match (reading.first, reading.last) {
        (Some(first), Some(last)) if reading.tokens > 1 => {
            Some((last - first) / (reading.tokens - 1))
        }
        _ => None,
    };
    Outcome {
        end,
        first: reading.first.map(since),
        gap,
        whole: started.elapsed(),
        tokens: reading.tokens,
    }
}

async fn exchange(
    experiment: &Experiment,
    arrival: &Arrival,
    address: SocketAddr,
    patience: Duration,
) -> http_types::Result<(End, Reading)> {
    let load = &experiment.loads[arrival.load];
    let organisation = &experiment.organisations[arrival.organisation].name;
    let request = build(load, arrival, organisation, address)?;
    let response = client::request(address, request, patience).await;
    let mut response =
        response.map_err(|cause| http_types::Error::from_str(502, cause.to_string()))?;
    if !response.status().is_success() {
        let body: Value = response.body_json().await?;
        let verdict = body["error"]["verdict"]
            .as_str()
            .unwrap_or("none")
            .to_owned();
        return Ok((End::Refused(verdict), Reading::new()));
    }
    if load.path.is_empty() {
        return read_model(load, arrival, response).await;
    }
    read_plain(arrival, response).await
}

fn build(
    load: &Load,
    arrival: &Arrival,
    organisation: &str,
    address: SocketAddr,
) -> http_types::Result<Request> {
    let is_model = load.path.is_empty();
    let path = if is_model {
        "/v1/chat/completions".to_owned()
    } else {
        format!("/{}{}", load.service, load.path)
    };
    let method = if is_model || load.once {
        Method::Post
    } else {
        Method::Get
    };
    let mut request = Request::new(method, client::url(address, &path)?);
    request.insert_header(
        "authorization",
        format!("Bearer {}", stage::key(organisation)),
    );
    request.insert_header(CLASS_HEADER, load.class.as_str());
    if let Some(key) = &arrival.key {
        request.insert_header("idempotency-key", key.as_str());
    }
    if is_model {
        let messages = json!([{"role": "user", "content": arrival.prompt}]);
        request.set_body(
            json!({"model": load.service, "messages": messages, "stream": load.stream}).to_string(),
        );
        request.set_content_type(mime::JSON);
    } else if load.once {
        request.set_body(json!({"call": arrival.prompt}).to_string());
        request.set_content_type(mime::JSON);
    }
    Ok(request)
}

impl Reading {
    fn new() -> Self {
        Self {
            text: String::new(),
            tokens: 0,
            first: None,
            last: None,
            verdict: None,
            complete: false,
        }
    }

    fn chunk(&mut self, data: &[u8]) {
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            return;
        };
        if let Some(verdict) = value["error"]["verdict"].as_str() {
            self.verdict = Some(verdict.to_owned());
            return;
        }
        self.text.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        self.tokens += 1;
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

async fn read_model(
    load: &Load,
    arrival: &Arrival,
    mut response: Response,
) -> http_types::Result<(End, Reading)> {
    let mut reading = Reading::new();
    if load.stream {
        let mut events = async_sse::decode(Ending::new(response.take_body()));
        while let Some(Ok(event)) = events.next().await {
            let Event::Message(message) = event else {
                continue;
            };
            if message.data() == b"[DONE]" {
                reading.complete = true;
                break;
            }
            reading.chunk(message.data());
        }
    } else {
        let body: Value = response.body_json().await?;
        let content = body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        reading.text.push_str(content);
        reading.tokens = body["usage"]["completion_tokens"].as_u64().unwrap_or(0) as u32;
        reading.complete = true;
    }
    let expected = text::answer(&arrival.prompt, 0);
    let end = match &reading.verdict {
        Some(verdict) => End::Refused(verdict.clone()),
        None if reading.complete && reading.text == expected => End::Finished,
        // What came so far is right but the end is missing: the connection broke.
        None if !reading.complete && expected.starts_with(&reading.text) => End::Lost,
        None => End::Crossed,
    };
    Ok((end, reading))
}

async fn read_plain(
    arrival: &Arrival,
    mut response: Response,
) -> http_types::Result<(End, Reading)> {
    let body: Value = response.body_json().await?;
    let right = body["key"].as_str() == arrival.key.as_deref();
    let end = if right { End::Finished } else { End::Crossed };
    Ok((
        end,
        Reading {
            first: Some(Instant::now()),
            ..Reading::new()
        },
    ))
}
