//! The HTTP interface for callers.
//!
//! - `POST /v1/chat/completions`, `POST /v1/completions`, `GET /v1/models`
//! - any method on `/{service}/...` for plain services, with `Idempotency-Key`
//!
//! A request is read whole, under limits of size and time, before the core hears of it; so a slow
//! or broken caller costs nobody else anything.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use futures_lite::io::AsyncReadExt;
use http_types::{Method, Response, StatusCode, mime};
use peridotdeck_core::request::{Call, Claim};
use peridotdeck_http::server::Connection;
use peridotdeck_policy::{Class, Kind, Organisation, Service, Snapshot};
use peridotdeck_settings::Settings;
use serde_json::json;
use tide::Request;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::{
    api_error::Fault,
    attempt::{Answer, Model, Plain},
    dial::Dial,
    handle::Handle,
    metrics::Metrics,
    prompt::Prompt,
    request_task::{Carrier, Job},
};

/// Header by which a caller chooses a class.
pub const CLASS_HEADER: &str = "x-peridotdeck-class";

/// Header with the key of a call that may not be repeated.
const KEY: &str = "idempotency-key";

/// Longest idempotency key in bytes.
const MAX_KEY: usize = 255;

/// Headers that plain services receive.
const PASSED: [&str; 5] = [
    "accept",
    "accept-language",
    "content-type",
    KEY,
    "user-agent",
];

/// What every handler needs.
#[derive(Debug)]
pub struct Context<D> {
    /// The way to the core.
    pub handle: Handle,
    /// The way to endpoints.
    pub dial: D,
    /// Series.
    pub metrics: Arc<Metrics>,
    /// Settings of the node.
    pub settings: Settings,
}

/// Shared by all requests.
pub type State<D> = Arc<Context<D>>;

/// Adds the callers' routes.
pub fn add_routes<D: Dial>(app: &mut tide::Server<State<D>>) {
    app.at("/v1/models").get(models::<D>);
    app.at("/v1/chat/completions")
        .post(|request| complete::<D>(request, true));
    app.at("/v1/completions")
        .post(|request| complete::<D>(request, false));
    app.at("/:service").all(plain::<D>);
    app.at("/:service/*").all(plain::<D>);
}

fn answer(result: Result<Response, Fault>) -> tide::Response {
    let response = result.unwrap_or_else(|fault| {
        log::info!(
            "event=bad_request code={} status={}",
            fault.code,
            fault.status
        );
        fault.response()
    });
    tide::Response::from_res(response)
}

async fn models<D: Dial>(request: Request<State<D>>) -> tide::Result {
    Ok(answer(list_models(&request)))
}

fn list_models<D: Dial>(request: &Request<State<D>>) -> Result<Response, Fault> {
    let snapshot = snapshot(request.state())?;
    authenticate(request, &snapshot)?;
    let models = snapshot
        .services()
        .iter()
        .filter(|service| service.kind == Kind::Model);
    let data: Vec<_> = models
        .map(|model| json!({"id": model.name, "object": "model", "created": 0, "owned_by": "peridotdeck"}))
        .collect();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(json!({"object": "list", "data": data}).to_string());
    response.set_content_type(mime::JSON);
    Ok(response)
}

fn snapshot<D>(context: &Context<D>) -> Result<Arc<Snapshot>, Fault> {
    context.handle.shared.snapshot().ok_or_else(|| Fault {
        status: 503,
        kind: "server_error",
        retry_after: Some(Duration::from_secs(1)),
        ..Fault::bad(
            503,
            "unconfigured",
            "this node has no configuration yet; try again",
        )
    })
}

fn header<S>(request: &Request<S>, name: &str) -> Option<String> {
    request
        .header(name)
        .map(|values| values.last().as_str().to_owned())
}

fn authenticate<'a, S>(
    request: &Request<S>,
    snapshot: &'a Snapshot,
) -> Result<&'a Organisation, Fault> {
    let header = header(request, "authorization").unwrap_or_default();
    let key = header
        .strip_prefix("Bearer ")
        .or_else(|| header.strip_prefix("bearer "));
    let missing = || Fault::bad(401, "missing_key", "send \"Authorization: Bearer <key>\"");
    let key = key.ok_or_else(missing)?;
    snapshot
        .holder(key)
        .ok_or_else(|| Fault::bad(401, "invalid_key", "the bearer key is not known"))
}

/// Reads the body under the limits of size and time.
async fn read_body<D: Dial>(request: &mut Request<State<D>>) -> Result<Vec<u8>, Fault> {
    let settings = &request.state().settings;
    let limit = u64::from(settings.body_limit_kb) * 1_024;
    let patience = Duration::from_millis(settings.body_timeout_ms.into());
    let connection = request.ext::<Connection>().cloned();
    let mut body = Vec::new();
    let mut reader = request.take_body().take(limit + 1);
    let fault = match timeout(patience, reader.read_to_end(&mut body)).await {
        Ok(Ok(_)) if body.len() as u64 <= limit => return Ok(body),
        Ok(Ok(_)) => Fault::bad(
            413,
            "body_too_large",
            format!("the body exceeds {limit} bytes"),
        ),
        Ok(Err(cause)) => Fault::bad(400, "broken_body", cause.to_string()),
        Err(_) => Fault::bad(408, "body_timeout", "the body took too long"),
    };
    if let Some(Connection(stream)) = connection {
        // The rest of the body is of no use; the caller gets a moment to read the answer.
        task::spawn(async move {
            task::sleep(Duration::from_secs(1)).await;
            let _ = stream.shutdown(std::net::Shutdown::Both);
        });
    }
    Err(fault)
}

fn class_of<S>(request: &Request<S>, snapshot: &Snapshot, default: &str) -> Result<Class, Fault> {
    let name = header(request, CLASS_HEADER).unwrap_or_else(|| default.to_owned());
    let unknown = || {
        Fault::bad(
            400,
            "unknown_class",
            format!("class \"{name}\" is not configured"),
        )
    };
    snapshot.class(&name).cloned().ok_or_else(unknown)
}

async fn complete<D: Dial>(request: Request<State<D>>, chat: bool) -> tide::Result {
    Ok(answer(try_complete(request, chat).await))
}

async fn try_complete<D: Dial>(
    mut request: Request<State<D>>,
    chat: bool,
) -> Result<Response, Fault> {
    let snapshot = snapshot(request.state())?;
    let organisation = authenticate(&request, &snapshot)?.name.clone();
    let body = read_body(&mut request).await?;
    let prompt = Prompt::read(&body, chat)?;
    let unknown = || {
        Fault::bad(
            404,
            "model_not_found",
            format!("model \"{}\" is not configured", prompt.model),
        )
    };
    let service = snapshot
        .service(&prompt.model)
        .filter(|each| each.kind == Kind::Model);
    let service = service.ok_or_else(unknown)?;
    let class = class_of(&request, &snapshot, &service.class)?;
    let resumes = service.endpoints.iter().all(|endpoint| endpoint.resumes);
    let call = Call {
        fingerprint: fingerprint(&organisation, &body),
        organisation,
        service: service.name.clone(),
        class: class.name.clone(),
        prompt_tokens: prompt.tokens,
        max_tokens: prompt.max_tokens,
        prefix: prompt.prefix,
        idempotent: true,
        resumable: prompt.simple && resumes,
        claim: None,
    };
    let streams = prompt.stream;
    carry(
        &request,
        call,
        class,
        Job::Model(Model { prompt, chat }),
        streams,
        chat,
    )
    .await
}

fn fingerprint(organisation: &str, body: &[u8]) -> u64 {
    let mut bytes = organisation.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(body);
    xxh3_64(&bytes)
}

async fn plain<D: Dial>(request: Request<State<D>>) -> tide::Result {
    Ok(answer(try_plain(request).await))
}

async fn try_plain<D: Dial>(mut request: Request<State<D>>) -> Result<Response, Fault> {
    let snapshot = snapshot(request.state())?;
    let organisation = authenticate(&request, &snapshot)?.name.clone();
    let name = request.param("service").unwrap_or_default().to_owned();
    let unknown = || {
        Fault::bad(
            404,
            "service_not_found",
            format!("service \"{name}\" is not configured"),
        )
    };
    let service = snapshot
        .service(&name)
        .filter(|service| service.kind == Kind::Plain)
        .ok_or_else(unknown)?;
    let path = path_below(&request, &name);
    let body = read_body(&mut request).await?;
    let (class, repeatable) = rule(&request, service, &path, &snapshot)?;
    let mut call = Call {
        fingerprint: fingerprint(
            &organisation,
            format!("{} {path}", request.method()).as_bytes(),
        ) ^ xxh3_64(&body),
        organisation,
        service: name,
        class: class.name.clone(),
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: 0,
        idempotent: repeatable,
        resumable: false,
        claim: None,
    };
    if !repeatable {
        call.claim = claim(&request, &call)?;
    }
    let headers = PASSED
        .iter()
        .filter_map(|&name| Some((name.to_owned(), header(&request, name)?)));
    let headers = headers.collect();
    let job = Plain {
        method: request.method(),
        path,
        headers,
        body,
        repeatable,
    };
    carry(&request, call, class, Job::Plain(job), false, false).await
}

/// Path and query below the service's name.
fn path_below<S>(request: &Request<S>, service: &str) -> String {
    let path = request.url().path().strip_prefix('/').unwrap_or_default();
    let below = path.strip_prefix(service).unwrap_or_default();
    let below = if below.is_empty() { "/" } else { below };
    match request.url().query() {
        Some(query) => format!("{below}?{query}"),
        None => below.to_owned(),
    }
}

/// Class of a call and whether it may be repeated: by route, else by method.
fn rule<S>(
    request: &Request<S>,
    service: &Service,
    path: &str,
    snapshot: &Snapshot,
) -> Result<(Class, bool), Fault> {
    let safe = matches!(
        request.method(),
        Method::Get | Method::Head | Method::Options
    );
    let route = service.route_of(path);
    let default = route.map_or(&service.class, |route| &route.class);
    let class = class_of(request, snapshot, default)?;
    Ok((class, route.map_or(safe, |route| route.repeatable)))
}

/// The reservation of a call that may not be repeated; without a key, the router itself never
/// repeats it, but cannot recognise a caller that does.
fn claim<S>(request: &Request<S>, call: &Call) -> Result<Option<Claim>, Fault> {
    let Some(key) = header(request, KEY) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY {
        let message = format!("\"Idempotency-Key\" must have 1 to {MAX_KEY} bytes");
        return Err(Fault::bad(400, "bad_idempotency_key", message));
    }
    let scope = format!("{}\0{}\0{key}", call.organisation, call.service);
    let key = format!("{:032x}", xxh3_128(scope.as_bytes()));
    Ok(Some(Claim {
        key,
        digest: call.fingerprint,
    }))
}

/// Hands a request to the core and returns the response head once it is known.
async fn carry<D: Dial>(
    request: &Request<State<D>>,
    call: Call,
    class: Class,
    job: Job,
    streams: bool,
    chat: bool,
) -> Result<Response, Fault> {
    let context = request.state();
    let stopped = || Fault::bad(503, "leaving", "this node has stopped; try again");
    let (id, orders) = context
        .handle
        .submit(call.clone())
        .await
        .ok_or_else(stopped)?;
    let (head, response) = async_channel::bounded(1);
    let carrier = Carrier {
        request: id,
        call,
        class,
        job,
        answer: Answer::new(id, head, streams, chat),
        orders,
        connection: request.ext::<Connection>().cloned(),
        silence: Duration::from_millis(context.settings.silence_ms.into()),
        handle: context.handle.clone(),
        dial: context.dial.clone(),
        metrics: Arc::clone(&context.metrics),
    };
    task::spawn(carrier.run());
    let lost = || Fault {
        verdict: peridotdeck_core::Verdict::MayHaveRun,
        ..Fault::bad(502, "lost", "the request ended without an answer")
    };
    response.recv().await.map_err(|_| lost())
}
