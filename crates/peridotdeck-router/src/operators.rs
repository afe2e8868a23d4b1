//! The interface for operators: probes, metrics, and JSON-RPC for status, explanation and drain.
//!
//! The JSON-RPC methods answer only on loopback, where the operators' command runs; probes and
//! metrics answer everyone, because balancers and scrapers stand elsewhere.

use std::{net::IpAddr, sync::Arc, time::Duration};

use http_types::{Response, StatusCode, mime};
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use peridotdeck_core::{
    Event, Node, engine, flight::Candidate, id, pool::Scheduler, request::Call,
};
use peridotdeck_http::server::Connection;
use serde::{Deserialize, Serialize};
use tide::Request;

use crate::{callers::State, dial::Dial, handle::Handle, peers};

/// Path of the operators' JSON-RPC interface.
pub const PATH: &str = "/rpc/operator";

/// State of a node as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the VM.
    pub node: id::Node,
    /// Data centre.
    pub place: String,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Configuration revision in force.
    pub revision: id::Revision,
    /// Highest revision that was refused; 0 for none.
    pub rejected: id::Revision,
    /// Index of the VM list.
    pub roster: id::Revision,
    /// Live nodes by data centre.
    pub live: Vec<(String, Vec<id::Node>)>,
    /// Requests of this node's callers.
    pub open: usize,
    /// Whether it votes on every idempotency key that it witnesses.
    pub witness: bool,
    /// Pools that this node schedules.
    pub pools: Vec<Pool>,
}

/// State of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the service.
    pub service: String,
    /// Waiting requests.
    pub waiting: usize,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// State of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Number.
    pub id: id::Endpoint,
    /// How much it is trusted with.
    pub phase: String,
    /// Slots in use.
    pub in_flight: u32,
    /// Slots when warm.
    pub slots: u32,
}

/// A request to explain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Name of the customer.
    pub organisation: String,
    /// Name of the service.
    pub service: String,
    /// Name of the class; empty for the service's own.
    pub class: String,
}

/// How a request would be classed, limited and placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Class that it would get.
    pub class: String,
    /// Its tier.
    pub tier: u8,
    /// Requests that the customer has in progress at this node.
    pub open: u32,
    /// Requests that the customer may have in progress at this node.
    pub concurrency: u32,
    /// Pools in the order of preference.
    pub pools: Vec<Choice>,
}

/// A pool that may take the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Data centre.
    pub place: String,
    /// Node that schedules it.
    pub owner: id::Node,
    /// Expected wait in milliseconds.
    pub wait_ms: u64,
    /// Delay of the path in milliseconds.
    pub path_ms: u64,
    /// Whether the class's promise would be missed there.
    pub late: bool,
}

/// Adds the operators' and peers' routes.
pub fn add_routes<D: Dial>(app: &mut tide::Server<State<D>>) {
    app.at("/healthz").get(|_| async { Ok("ok\n") });
    app.at("/readyz").get(ready::<D>);
    app.at("/metrics").get(metrics::<D>);
    app.at(PATH).post(operate::<D>);
    app.at(peers::PATH).post(deliver::<D>);
}

async fn ready<D: Dial>(request: Request<State<D>>) -> tide::Result {
    let ready = request
        .state()
        .handle
        .inspect(|node, _| node.is_ready())
        .await;
    let (status, text) = if ready == Some(true) {
        (200, "ready\n")
    } else {
        (503, "not ready\n")
    };
    Ok(tide::Response::builder(status).body(text).build())
}

async fn metrics<D: Dial>(request: Request<State<D>>) -> tide::Result {
    let metrics = Arc::clone(&request.state().metrics);
    let text = request
        .state()
        .handle
        .inspect(move |node, _| metrics.render(node))
        .await;
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text.unwrap_or_default());
    response.insert_header("content-type", "text/plain; version=0.0.4");
    Ok(tide::Response::from_res(response))
}

fn caller<S>(request: &Request<S>) -> Option<IpAddr> {
    let Connection(stream) = request.ext::<Connection>()?;
    stream.peer_addr().ok().map(|address| address.ip())
}

fn json(text: String) -> tide::Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.set_content_type(mime::JSON);
    tide::Response::from_res(response)
}

async fn deliver<D: Dial>(mut request: Request<State<D>>) -> tide::Result {
    /// Largest message of a peer in bytes: the whole configuration of a large fleet.
    const LIMIT: usize = 16 << 20;
    let Some(from) = caller(&request) else {
        return Ok(tide::Response::new(403));
    };
    if request.len().is_none_or(|length| length > LIMIT) {
        return Ok(tide::Response::new(413));
    }
    let text = request.body_bytes().await?;
    let state = request.state();
    Ok(json(
        peers::answer(&text, from, &state.handle, &state.metrics).await,
    ))
}

async fn operate<D: Dial>(mut request: Request<State<D>>) -> tide::Result {
    /// Largest call of an operator in bytes.
    const LIMIT: usize = 64 * 1_024;
    if !caller(&request).is_some_and(|from| from.is_loopback()) {
        return Ok(tide::Response::new(403));
    }
    if request.len().is_none_or(|length| length > LIMIT) {
        return Ok(tide::Response::new(413));
    }
    let text = request.body_string().await?;
    let module = module(request.state().handle.clone());
    let module = module.map_err(|cause| tide::Error::from_str(500, cause.to_string()))?;
    let answer = module.raw_json_request(&text, 1).await;
    Ok(json(
        answer
            .map(|(answer, _)| answer.get().to_owned())
            .unwrap_or_default(),
    ))
}

fn module(handle: Handle) -> Result<RpcModule<Handle>, jsonrpsee_core::RegisterMethodError> {
    let stopped = || ErrorObjectOwned::owned::<()>(-32_000, "the node has stopped", None);
    let mut module = RpcModule::new(handle);
    module.register_async_method("operator.status", move |_, handle, _| async move {
        handle
            .inspect(|node, _| status(node))
            .await
            .ok_or_else(stopped)
    })?;
    module.register_async_method("operator.explain", move |params, handle, _| async move {
        let query: Query = params.one()?;
        let look = move |node: &Node, now| explain(node, &query, now);
        handle
            .inspect(look)
            .await
            .ok_or_else(stopped)?
            .map_err(|cause| ErrorObjectOwned::owned::<()>(-32_602, cause, None))
    })?;
    module.register_async_method("operator.drain", move |_, handle, _| async move {
        handle.send(Event::Drain).await;
        true
    })?;
    Ok(module)
}

fn status(node: &Node) -> Status {
    let view = node.view();
    let mut places: Vec<String> = view
        .members()
        .iter()
        .map(|member| member.place.clone())
        .collect();
    places.push(view.data_centre().to_owned());
    places.sort_unstable();
    places.dedup();
    Status {
        node: view.local_node(),
        place: view.data_centre().to_owned(),
        ready: node.is_ready(),
        leaving: view.is_leaving(),
        revision: node.config().revision(),
        rejected: node.config().rejected_revision(),
        roster: view.vm_list_revision(),
        live: places
            .into_iter()
            .map(|place| (place.clone(), view.live_nodes(&place).to_vec()))
            .collect(),
        open: node.request_table().flights().len(),
        witness: node.witness().is_ready(),
        pools: node.pools().schedulers().iter().map(pool).collect(),
    }
}

fn pool(scheduler: &Scheduler) -> Pool {
    Pool {
        service: scheduler.pool().service.clone(),
        waiting: scheduler.waiting().len(),
        endpoints: scheduler.engines().iter().map(endpoint).collect(),
    }
}

fn endpoint(state: &engine::State) -> Endpoint {
    Endpoint {
        id: state.id(),
        phase: state.phase().to_string(),
        in_flight: state.in_flight(),
        slots: state.slots(),
    }
}

fn explain(node: &Node, query: &Query, now: Duration) -> Result<Explanation, String> {
    let snapshot = node.snapshot().ok_or("the node has no configuration yet")?;
    let unknown = |kind: &str, name: &str| format!("unknown {kind} \"{name}\"");
    let service = snapshot
        .service(&query.service)
        .ok_or_else(|| unknown("service", &query.service))?;
    let name = if query.class.is_empty() {
        &service.class
    } else {
        &query.class
    };
    let class = snapshot.class(name).ok_or_else(|| unknown("class", name))?;
    let organisation = snapshot
        .organisation(&query.organisation)
        .ok_or_else(|| unknown("organisation", &query.organisation))?;
    let call = Call {
        organisation: organisation.name.clone(),
        service: service.name.clone(),
        class: class.name.clone(),
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: 0,
        fingerprint: 0,
        idempotent: true,
        resumable: true,
        claim: None,
    };
    let share = peridotdeck_core::limit::Share::of(organisation, node.view().live_count());
    Ok(Explanation {
        class: class.name.clone(),
        tier: class.tier,
        open: node.request_table().open_requests(&organisation.name),
        concurrency: share.concurrency,
        pools: node
            .candidates(&call, now)
            .into_iter()
            .map(|each| choice(snapshot, &each))
            .collect(),
    })
}

fn choice(snapshot: &peridotdeck_policy::Snapshot, candidate: &Candidate) -> Choice {
    Choice {
        place: snapshot
            .pool(candidate.pool)
            .map_or_else(String::new, |pool| pool.place.clone()),
        owner: candidate.owner,
        wait_ms: candidate.wait_ms,
        path_ms: candidate.path_ms,
        late: candidate.exceeds_timeout,
    }
}
