//! The HTTP interface of an engine.

use std::{io, sync::Arc};

use async_std::task;
use peridotdeck_http::{
    body,
    server::{Connection, run_until_closed},
};
use serde::Deserialize;
use serde_json::{Value, json};
use tide::{Request, Response, StatusCode};

use super::{
    seat::Seat,
    state::{Fault, State},
};
use crate::{json, text};

/// Header with the attempt's id, which the answer echoes.
const ID: &str = "x-request-id";
/// Header with the class, for the counts.
const CLASS: &str = "x-class";
/// Header with the urgency; smaller is served first.
const PRIORITY: &str = "x-priority";

/// The parts of a completion request that the stand-in understands.
#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: u32,
    /// Tokens that the caller has already; generation goes on after them.
    #[serde(default)]
    resume_from: u32,
}

impl Completion {
    fn text(&self) -> String {
        let contents = self
            .messages
            .iter()
            .filter_map(|message| message["content"].as_str());
        let all: Vec<&str> = contents.chain([self.prompt.as_str()]).collect();
        all.join("\n").trim_end().to_owned()
    }
}

/// Builds the application.
pub fn app(state: Arc<State>) -> tide::Server<Arc<State>> {
    let mut app = tide::with_state(state);
    app.at("/v1/chat/completions")
        .post(|request| complete(request, true));
    app.at("/v1/completions")
        .post(|request| complete(request, false));
    app.at("/v1/models").get(models);
    app.at("/load").get(load);
    app.at("/cache-events").get(cache_events);
    app.at("/orders").post(order);
    app.at("/kv/:prefix").get(export).post(import);
    app.at("/fault").post(fault);
    app
}

async fn complete(mut request: Request<Arc<State>>, chat: bool) -> tide::Result {
    let body: Completion = match request.body_json().await {
        Ok(body) => body,
        Err(cause) => return Ok(json(400, &json!({"error": {"message": cause.to_string()}}))),
    };
    let header = |name: &str| {
        request
            .header(name)
            .map(|values| values.last().as_str().to_owned())
    };
    let id = header(ID).unwrap_or_default();
    let priority = header(PRIORITY)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let class = header(CLASS).unwrap_or_default();
    let state = Arc::clone(request.state());
    let connection = request.ext::<Connection>().cloned();
    let work = run(state, id, (priority, class), body, chat);
    match connection {
        // A caller that goes away while its request waits must not keep a place.
        Some(connection) => run_until_closed(&connection, work)
            .await
            .unwrap_or_else(died),
        None => work.await,
    }
}

fn died() -> tide::Result {
    Err(tide::Error::from_str(
        StatusCode::InternalServerError,
        "the engine died",
    ))
}

async fn run(
    state: Arc<State>,
    id: String,
    (priority, class): (u8, String),
    mut body: Completion,
    chat: bool,
) -> tide::Result {
    let prompt = body.text();
    let Some(seat) = state.enter(priority, &class).await else {
        return Ok(broken());
    };
    if !seat.prefill(&prompt, body.resume_from).await {
        return Ok(broken());
    }
    if prompt.contains(text::DEADLY) {
        Arc::clone(&state).crash();
        return Ok(broken());
    }
    if body.resume_from > 0
        && let Some(status) = state.take_denial()
    {
        return Ok(json(
            status,
            &json!({"error": {"message": "cannot continue"}}),
        ));
    }
    if body.resume_from > 0 {
        body.resume_from = body.resume_from.saturating_add_signed(state.take_shift());
    }
    let (id, prompt) = if state.take_cross() {
        (
            "crossed".to_owned(),
            "another caller's prompt about 5".to_owned(),
        )
    } else {
        (id, prompt)
    };
    if body.stream {
        return Ok(stream(seat, &id, prompt, &body, chat));
    }
    whole(seat, &id, &prompt, &body, chat).await
}

/// A response whose body fails at once, as when the process dies.
fn broken() -> Response {
    let (feed, body) = body::channel::<Vec<u8>>();
    let _ = feed.try_send(Err(io::Error::other("the engine died")));
    Response::builder(StatusCode::Ok).body(body).build()
}

async fn whole(seat: Seat, id: &str, prompt: &str, body: &Completion, chat: bool) -> tide::Result {
    let total = text::tokens(prompt, body.max_tokens);
    let mut content = String::new();
    for index in body.resume_from..total {
        if !seat.step().await {
            return Ok(broken());
        }
        content.push_str(&text::token(prompt, index));
    }
    seat.finish();
    let mut choice = json!({"index": 0, "finish_reason": "stop"});
    if chat {
        choice["message"] = json!({"role": "assistant", "content": content});
    } else {
        choice["text"] = json!(content);
    }
    let usage = usage(prompt, total);
    let value =
        json!({"id": id, "object": object(chat, false), "choices": [choice], "usage": usage});
    let mut response = json(200, &value);
    response.insert_header(ID, id);
    Ok(response)
}

fn object(chat: bool, chunk: bool) -> &'static str {
    match (chat, chunk) {
        (true, true) => "chat.completion.chunk",
        (true, false) => "chat.completion",
        (false, _) => "text_completion",
    }
}

fn usage(prompt: &str, tokens: u32) -> Value {
    let prompt_tokens = (prompt.len() / text::BYTES_PER_TOKEN) as u32;
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens
    })
}

fn stream(seat: Seat, id: &str, prompt: String, completion: &Completion, chat: bool) -> Response {
    let (feed, chunks) = body::channel::<Vec<u8>>();
    let (start, max) = (completion.resume_from, completion.max_tokens);
    let owned = id.to_owned();
    task::spawn(async move {
        let total = text::tokens(&prompt, max);
        for index in start..total {
            if !seat.step().await {
                let _ = feed.send(Err(io::Error::other("the engine died"))).await;
                return;
            }
            let last = index + 1 == total;
            let chunk = chunk(&owned, &text::token(&prompt, index), last, chat);
            let event = format!("id: {}\ndata: {chunk}\n\n", index + 1);
            if feed.send(Ok(event.into_bytes())).await.is_err() {
                return;
            }
        }
        let _ = feed.send(Ok(b"data: [DONE]\n\n".to_vec())).await;
        seat.finish();
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(chunks);
    response.insert_header("content-type", "text/event-stream");
    response.insert_header(ID, id);
    response
}

fn chunk(id: &str, token: &str, last: bool, chat: bool) -> Value {
    let reason = if last { json!("stop") } else { Value::Null };
    let mut choice = json!({"index": 0, "finish_reason": reason});
    if chat {
        choice["delta"] = json!({"content": token});
    } else {
        choice["text"] = json!(token);
    }
    json!({"id": id, "object": object(chat, true), "choices": [choice]})
}

async fn models(request: Request<Arc<State>>) -> tide::Result {
    let model = &request.state().setting.model;
    Ok(json(
        200,
        &json!({"object": "list", "data": [{"id": model, "object": "model"}]}),
    ))
}

async fn load(request: Request<Arc<State>>) -> tide::Result {
    Ok(json(200, &serde_json::to_value(request.state().report())?))
}

async fn cache_events(request: Request<Arc<State>>) -> tide::Result {
    #[derive(Deserialize)]
    struct After {
        #[serde(default)]
        after: u64,
    }
    let after: After = request.query()?;
    Ok(json(
        200,
        &serde_json::to_value(request.state().events(after.after))?,
    ))
}

async fn order(mut request: Request<Arc<State>>) -> tide::Result {
    #[derive(Deserialize)]
    struct Order {
        fence: u64,
    }
    let order: Order = request.body_json().await?;
    if request.state().order(order.fence) {
        return Ok(json(200, &json!({"accepted": true})));
    }
    Ok(json(
        409,
        &json!({"error": {"message": "the fencing number is old"}}),
    ))
}

fn prefix(request: &Request<Arc<State>>) -> tide::Result<u64> {
    Ok(request.param("prefix")?.parse()?)
}

async fn export(request: Request<Arc<State>>) -> tide::Result {
    let held = request.state().holds(prefix(&request)?);
    let status = if held {
        StatusCode::Ok
    } else {
        StatusCode::NotFound
    };
    Ok(Response::new(status))
}

async fn import(request: Request<Arc<State>>) -> tide::Result {
    request.state().import(prefix(&request)?);
    Ok(Response::new(StatusCode::Ok))
}

async fn fault(mut request: Request<Arc<State>>) -> tide::Result {
    let fault: Fault = request.body_json().await?;
    Arc::clone(request.state()).inject(fault);
    Ok(Response::new(StatusCode::Ok))
}
