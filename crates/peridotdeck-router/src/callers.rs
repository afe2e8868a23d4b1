//! The HTTP interface for callers.
//!
//! - `POST /v1/chat/completions`, `POST /v1/completions`, `GET /v1/models`
//! - any method on `/{service}/...` for plain services, with `Idempotency-Key`
//!
//! A request is read completely, within limits of size and time, before it is submitted to the
//! core; so a slow or broken caller does not affect other requests.

pub mod upload;

use std::{sync::Arc, time::Duration};

use async_std::task;
use http_types::{Method, Response, StatusCode, mime};
use peridotdeck_core::request::{Call, Claim};
use peridotdeck_http::server::Connection;
use peridotdeck_io::budget::{Budget, Reservation};
use peridotdeck_policy::{Class, Kind, Organisation, Service, Snapshot};
use peridotdeck_settings::Settings;
use serde_json::json;
use tide::Request;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_128};

use crate::{
    api_error::ApiError,
    attempt::{Answer, CompletionRequest, PlainRequest},
    dial::Dial,
    handle::Handle,
    memory::Account,
    metrics::Metrics,
    prompt::Prompt,
    request_task::{EndpointRequest, RequestTask},
};

/// Request header with the name of the class that the caller chooses.
pub const CLASS_HEADER: &str = "x-peridotdeck-class";

/// Request header with the idempotency key of a request that must not run twice.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key in bytes that callers may send.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Request headers that are forwarded to plain services.
const FORWARDED_HEADERS: [&str; 5] = [
    "accept",
    "accept-language",
    "content-type",
    IDEMPOTENCY_KEY_HEADER,
    "user-agent",
];

/// State that the HTTP handlers share.
#[derive(Debug)]
pub struct Context<D> {
    /// Submits requests and events to the core.
    pub handle: Handle,
    /// Opens connections to endpoints.
    pub dial: D,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
    /// Settings of this node.
    pub settings: Settings,
    /// Bytes that bodies may take together.
    pub budget: Budget,
}

impl<D> Context<D> {
    /// Returns the largest body of a request in bytes.
    fn body_limit(&self) -> usize {
        self.settings.body_limit_kb as usize * 1_024
    }
}

/// The shared state as `tide` hands it to each handler.
pub type State<D> = Arc<Context<D>>;

/// Adds the HTTP routes for callers.
pub fn add_routes<D: Dial>(app: &mut tide::Server<State<D>>) {
    app.at("/v1/models").get(models::<D>);
    app.at("/v1/chat/completions")
        .post(|request| completion::<D>(request, true));
    app.at("/v1/completions")
        .post(|request| completion::<D>(request, false));
    app.at("/:service").all(plain::<D>);
    app.at("/:service/*").all(plain::<D>);
}

fn tide_response(result: Result<Response, ApiError>) -> tide::Response {
    let response = result.unwrap_or_else(|error| {
        log::info!(
            "event=bad_request code={} status={}",
            error.code,
            error.status
        );
        error.response()
    });
    tide::Response::from_res(response)
}

async fn models<D: Dial>(request: Request<State<D>>) -> tide::Result {
    Ok(tide_response(list_models(&request)))
}

fn list_models<D: Dial>(request: &Request<State<D>>) -> Result<Response, ApiError> {
    let snapshot = current_snapshot(request.state())?;
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

fn current_snapshot<D>(context: &Context<D>) -> Result<Arc<Snapshot>, ApiError> {
    context.handle.shared.snapshot().ok_or_else(|| ApiError {
        status: 503,
        kind: "server_error",
        retry_after: Some(Duration::from_secs(1)),
        ..ApiError::new(
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
) -> Result<&'a Organisation, ApiError> {
    let header = header(request, "authorization").unwrap_or_default();
    let key = header
        .strip_prefix("Bearer ")
        .or_else(|| header.strip_prefix("bearer "));
    let missing = || ApiError::new(401, "missing_key", "send \"Authorization: Bearer <key>\"");
    let key = key.ok_or_else(missing)?;
    snapshot
        .holder(key)
        .ok_or_else(|| ApiError::new(401, "invalid_key", "the bearer key is not known"))
}

fn requested_class<S>(
    request: &Request<S>,
    snapshot: &Snapshot,
    default: &str,
) -> Result<Class, ApiError> {
    let name = header(request, CLASS_HEADER).unwrap_or_else(|| default.to_owned());
    let unknown = || {
        ApiError::new(
            400,
            "unknown_class",
            format!("class \"{name}\" is not configured"),
        )
    };
    snapshot.class(&name).cloned().ok_or_else(unknown)
}

async fn completion<D: Dial>(request: Request<State<D>>, chat: bool) -> tide::Result {
    Ok(tide_response(try_completion(request, chat).await))
}

async fn try_completion<D: Dial>(
    mut request: Request<State<D>>,
    chat: bool,
) -> Result<Response, ApiError> {
    let snapshot = current_snapshot(request.state())?;
    let organisation = authenticate(&request, &snapshot)?.name.clone();
    let account = Account::organisation(&request.state().budget, &organisation);
    let limit = request.state().body_limit();
    let (body, mut held) = upload::read(&mut request, limit, &account).await?;
    upload::cover(&mut held, &account, Prompt::parsed_bytes(&body))?;
    let prompt = Prompt::parse(&body, chat)?;
    held.shrink_to(Prompt::kept_bytes(&body));
    let fingerprint = fingerprint(&organisation, &body);
    drop(body);
    let unknown = || {
        ApiError::new(
            404,
            "model_not_found",
            format!("model \"{}\" is not configured", prompt.model),
        )
    };
    let service = snapshot
        .service(&prompt.model)
        .filter(|service| service.kind == Kind::Model);
    let service = service.ok_or_else(unknown)?;
    let class = requested_class(&request, &snapshot, &service.class)?;
    let resumes = service.endpoints.iter().all(|endpoint| endpoint.resumes);
    let call = Call {
        fingerprint,
        organisation,
        service: service.name.clone(),
        class: class.name.clone(),
        prompt_tokens: prompt.tokens,
        max_tokens: prompt.max_tokens,
        prefix: prompt.prefix,
        idempotent: true,
        resumable: prompt.text_only && resumes,
        claim: None,
    };
    let streams = prompt.stream;
    run_request(
        &request,
        call,
        class,
        (
            EndpointRequest::Completion(CompletionRequest { prompt, chat }),
            held,
        ),
        streams,
        chat,
    )
    .await
}

fn fingerprint(organisation: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(organisation.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest()
}

async fn plain<D: Dial>(request: Request<State<D>>) -> tide::Result {
    Ok(tide_response(try_plain(request).await))
}

async fn try_plain<D: Dial>(mut request: Request<State<D>>) -> Result<Response, ApiError> {
    let snapshot = current_snapshot(request.state())?;
    let organisation = authenticate(&request, &snapshot)?.name.clone();
    let name = request.param("service").unwrap_or_default().to_owned();
    let unknown = || {
        ApiError::new(
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
    let account = Account::organisation(&request.state().budget, &organisation);
    let limit = request.state().body_limit();
    let (body, mut held) = upload::read(&mut request, limit, &account).await?;
    held.shrink_to(body.len());
    let (class, idempotent) = class_and_idempotency(&request, service, &path, &snapshot)?;
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
        idempotent,
        resumable: false,
        claim: None,
    };
    if !idempotent {
        call.claim = read_claim(&request, &call)?;
    }
    let headers = FORWARDED_HEADERS
        .iter()
        .filter_map(|&name| Some((name.to_owned(), header(&request, name)?)));
    let headers = headers.collect();
    let endpoint_request = PlainRequest {
        method: request.method(),
        path,
        headers,
        body: body.into(),
        idempotent,
    };
    run_request(
        &request,
        call,
        class,
        (EndpointRequest::Plain(endpoint_request), held),
        false,
        false,
    )
    .await
}

/// Returns the path and query after the service's name.
fn path_below<S>(request: &Request<S>, service: &str) -> String {
    let path = request.url().path().strip_prefix('/').unwrap_or_default();
    let below = path.strip_prefix(service).unwrap_or_default();
    let below = if below.is_empty() { "/" } else { below };
    match request.url().query() {
        Some(query) => format!("{below}?{query}"),
        None => below.to_owned(),
    }
}

/// Returns the class of a request and whether it is idempotent.
///
/// The route decides; without a route, the service's default class and the HTTP method do.
fn class_and_idempotency<S>(
    request: &Request<S>,
    service: &Service,
    path: &str,
    snapshot: &Snapshot,
) -> Result<(Class, bool), ApiError> {
    let safe_method = matches!(
        request.method(),
        Method::Get | Method::Head | Method::Options
    );
    let route = service.route_of(path);
    let default = route.map_or(&service.class, |route| &route.class);
    let class = requested_class(request, snapshot, default)?;
    Ok((class, route.map_or(safe_method, |route| route.repeatable)))
}

/// Returns the claim on the idempotency key of a request that must not run twice.
///
/// Without a key, the router never repeats the request itself, but cannot detect that the caller
/// repeats it.
fn read_claim<S>(request: &Request<S>, call: &Call) -> Result<Option<Claim>, ApiError> {
    let Some(key) = header(request, IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let message =
            format!("\"Idempotency-Key\" must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(ApiError::new(400, "bad_idempotency_key", message));
    }
    let scope = format!("{}\0{}\0{key}", call.organisation, call.service);
    let key = format!("{:032x}", xxh3_128(scope.as_bytes()));
    Ok(Some(Claim {
        key,
        digest: call.fingerprint,
    }))
}

/// Submits a request to the core and returns the response once its head is known.
async fn run_request<D: Dial>(
    request: &Request<State<D>>,
    call: Call,
    class: Class,
    (endpoint_request, held): (EndpointRequest, Reservation),
    streams: bool,
    chat: bool,
) -> Result<Response, ApiError> {
    let context = request.state();
    let stopped = || ApiError::new(503, "leaving", "this node has stopped; try again");
    let (id, commands) = context
        .handle
        .submit(call.clone())
        .await
        .ok_or_else(stopped)?;
    let (response_sender, response) = async_channel::bounded(1);
    let request_task = RequestTask {
        request: id,
        call,
        class,
        endpoint_request,
        held,
        budget: context.budget.clone(),
        answer: Answer::new(id, response_sender, streams, chat),
        commands,
        connection: request.ext::<Connection>().cloned(),
        idle_timeout: Duration::from_millis(context.settings.silence_ms.into()),
        handle: context.handle.clone(),
        dial: context.dial.clone(),
        metrics: Arc::clone(&context.metrics),
    };
    task::spawn(request_task.run());
    let lost = || ApiError {
        verdict: peridotdeck_core::Verdict::MayHaveRun,
        ..ApiError::new(502, "lost", "the request ended without an answer")
    };
    response.recv().await.map_err(|_| lost())
}
