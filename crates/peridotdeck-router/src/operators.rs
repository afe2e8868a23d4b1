//! The interface for operators: probes, metrics, and JSON-RPC for status, explanation and drain.
//!
//! The operators' JSON-RPC methods accept only requests from loopback, where the operators' command
//! runs. Probes and metrics accept requests from any address, because load balancers and scrapers
//! run outside this VM.

use std::{net::IpAddr, sync::Arc, time::Duration};

use http_types::{Response, StatusCode, mime};
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use peridotdeck_core::{
    Event, Node, engine, flight::Candidate, id, limit::Share, pool::Scheduler, request::Call,
};
use peridotdeck_http::server::Connection;
use serde::{Deserialize, Serialize};
use tide::Request;

use crate::{
    callers::{State, upload},
    dial::Dial,
    handle::Handle,
    memory::Account,
    peers,
};

/// Path of the operators' JSON-RPC interface.
pub const PATH: &str = "/rpc/operator";

/// State of a node, the result of `operator.status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the VM.
    pub node: id::Node,
    /// Data centre of the VM.
    pub place: String,
    /// Whether the node accepts requests.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// Revision of the configuration in force.
    pub revision: id::Revision,
    /// Highest configuration revision that was rejected; 0 for none.
    pub rejected: id::Revision,
    /// Revision of the VM list in use.
    pub roster: id::Revision,
    /// Live nodes by data centre.
    pub live: Vec<(String, Vec<id::Node>)>,
    /// Requests in flight of this node's callers.
    pub open: usize,
    /// Whether the node votes on every idempotency key of which it is a witness.
    pub witness: bool,
    /// Pools that this node schedules.
    pub pools: Vec<Pool>,
}

/// State of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the service.
    pub service: String,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// State of each endpoint of the pool.
    pub endpoints: Vec<Endpoint>,
}

/// State of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: id::Endpoint,
    /// Phase, which determines how much load the endpoint gets.
    pub phase: String,
    /// Slots in use.
    pub in_flight: u32,
    /// Slots that the endpoint has when warm.
    pub slots: u32,
}

/// Parameters of `operator.explain`: a request whose handling to explain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the service.
    pub service: String,
    /// Name of the class; empty for the service's default class.
    pub class: String,
}

/// Class, limits and pools of a request, the result of `operator.explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Class that the request would get.
    pub class: String,
    /// Tier of the class.
    pub tier: u8,
    /// Requests that the organisation has in progress at this node.
    pub open: u32,
    /// Requests that the organisation may have in progress at this node.
    pub concurrency: u32,
    /// Pools that may take the request, best first.
    pub pools: Vec<Choice>,
}

/// A pool that may take the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Data centre of the pool.
    pub place: String,
    /// Node that schedules the pool.
    pub owner: id::Node,
    /// Expected wait for a slot in milliseconds.
    pub wait_ms: u64,
    /// Assumed network delay in milliseconds.
    pub path_ms: u64,
    /// Whether the wait and the delay exceed the class's queue timeout; always `false` for bulk.
    pub late: bool,
}

/// Adds the HTTP routes for operators and peers.
pub fn add_routes<D: Dial>(app: &mut tide::Server<State<D>>) {
    app.at("/healthz").get(|_| async { Ok("ok\n") });
    app.at("/readyz").get(serve_readiness::<D>);
    app.at("/metrics").get(serve_metrics::<D>);
    app.at(PATH).post(serve_operator_rpc::<D>);
    app.at(peers::PATH).post(serve_peer_rpc::<D>);
}

async fn serve_readiness<D: Dial>(request: Request<State<D>>) -> tide::Result {
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

async fn serve_metrics<D: Dial>(request: Request<State<D>>) -> tide::Result {
    let metrics = Arc::clone(&request.state().metrics);
    let usage = request.state().budget.usage();
    let text = request
        .state()
        .handle
        .inspect(move |node, now| metrics.render(node, usage, now))
        .await;
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text.unwrap_or_default());
    response.insert_header("content-type", "text/plain; version=0.0.4");
    Ok(tide::Response::from_res(response))
}

fn remote_ip<S>(request: &Request<S>) -> Option<IpAddr> {
    let Connection(stream) = request.ext::<Connection>()?;
    stream.peer_addr().ok().map(|address| address.ip())
}

fn json_response(text: String) -> tide::Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.set_content_type(mime::JSON);
    tide::Response::from_res(response)
}

async fn serve_peer_rpc<D: Dial>(mut request: Request<State<D>>) -> tide::Result {
    /// Largest message of a peer in bytes; it holds the whole configuration of a large fleet.
    const MAX_BODY_BYTES: usize = 16 << 20;
    let Some(from) = remote_ip(&request) else {
        return Ok(tide::Response::new(403));
    };
    if request.len().is_none_or(|length| length > MAX_BODY_BYTES) {
        return Ok(tide::Response::new(413));
    }
    let account = Account::messages(&request.state().budget);
    let (text, _held) = match upload::read(&mut request, MAX_BODY_BYTES, &account).await {
        Ok(read) => read,
        Err(error) => return Ok(tide::Response::new(error.status)),
    };
    let state = request.state();
    Ok(json_response(
        peers::answer_rpc(&text, from, &state.handle, &state.metrics).await,
    ))
}

async fn serve_operator_rpc<D: Dial>(mut request: Request<State<D>>) -> tide::Result {
    /// Largest request of an operator in bytes.
    const MAX_BODY_BYTES: usize = 64 * 1_024;
    if !remote_ip(&request).is_some_and(|from| from.is_loopback()) {
        return Ok(tide::Response::new(403));
    }
    if request.len().is_none_or(|length| length > MAX_BODY_BYTES) {
        return Ok(tide::Response::new(413));
    }
    let account = Account::messages(&request.state().budget);
    let (text, _held) = match upload::read(&mut request, MAX_BODY_BYTES, &account).await {
        Ok(read) => read,
        Err(error) => return Ok(tide::Response::new(error.status)),
    };
    let text = String::from_utf8_lossy(&text);
    let module = rpc_module(request.state().handle.clone());
    let module = module.map_err(|cause| tide::Error::from_str(500, cause.to_string()))?;
    let response = module.raw_json_request(&text, 1).await;
    Ok(json_response(
        response
            .map(|(response, _)| response.get().to_owned())
            .unwrap_or_default(),
    ))
}

fn rpc_module(handle: Handle) -> Result<RpcModule<Handle>, jsonrpsee_core::RegisterMethodError> {
    let stopped = || ErrorObjectOwned::owned::<()>(-32_000, "the node has stopped", None);
    let mut module = RpcModule::new(handle);
    module.register_async_method("operator.status", move |_, handle, _| async move {
        handle
            .inspect(|node, _| describe_node(node))
            .await
            .ok_or_else(stopped)
    })?;
    module.register_async_method("operator.explain", move |params, handle, _| async move {
        let query: Query = params.one()?;
        let inspection = move |node: &Node, now| explain(node, &query, now);
        handle
            .inspect(inspection)
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

fn describe_node(node: &Node) -> Status {
    let view = node.view();
    let mut data_centres: Vec<String> = view
        .members()
        .iter()
        .map(|member| member.place.clone())
        .collect();
    data_centres.push(view.data_centre().to_owned());
    data_centres.sort_unstable();
    data_centres.dedup();
    Status {
        node: view.local_node(),
        place: view.data_centre().to_owned(),
        ready: node.is_ready(),
        leaving: view.is_leaving(),
        revision: node.config().revision(),
        rejected: node.config().rejected_revision(),
        roster: view.vm_list_revision(),
        live: data_centres
            .into_iter()
            .map(|name| (name.clone(), view.live_nodes(&name).to_vec()))
            .collect(),
        open: node.request_table().flights().len(),
        witness: node.witness().is_ready(),
        pools: node
            .pools()
            .schedulers()
            .iter()
            .map(describe_pool)
            .collect(),
    }
}

fn describe_pool(scheduler: &Scheduler) -> Pool {
    Pool {
        service: scheduler.pool().service.clone(),
        waiting: scheduler.waiting().len(),
        endpoints: scheduler.engines().iter().map(describe_endpoint).collect(),
    }
}

fn describe_endpoint(state: &engine::State) -> Endpoint {
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
    let shares = node.request_table().shares();
    let concurrency = shares.map_or_else(
        || Share::of(organisation, node.view().live_count()).concurrency,
        |shares| {
            let share = shares.share(&organisation.name, now);
            (share * f64::from(organisation.concurrency)) as u32
        },
    );
    Ok(Explanation {
        class: class.name.clone(),
        tier: class.tier,
        open: node.request_table().open_requests(&organisation.name),
        concurrency,
        pools: node
            .candidates(&call, now)
            .into_iter()
            .map(|candidate| describe_choice(snapshot, &candidate))
            .collect(),
    })
}

fn describe_choice(snapshot: &peridotdeck_policy::Snapshot, candidate: &Candidate) -> Choice {
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
