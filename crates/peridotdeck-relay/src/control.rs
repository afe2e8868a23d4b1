//! Questions about this node: readiness, state, figures, and what peers fetch.

use std::{fmt::Write as _, sync::Arc};

use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use peridotdeck_core::dispatch::{Dispatcher, registry::Area};

use crate::{Ingress, Shared, clock};

/// Answers one question. `ready` is the path at which the balancer asks.
#[must_use]
pub fn answer<I: Ingress>(
    shared: &Arc<Shared<I>>,
    request: &Request<Incoming>,
    ready: &str,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let query = request.uri().query().unwrap_or_default();
    if path == ready || path == "/readyz" {
        return readiness(shared.dispatcher().is_ready());
    }
    match path {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/metrics" => metrics(shared),
        "/status" => text(StatusCode::OK, status(&shared.dispatcher())),
        "/explain" => explain(&shared.dispatcher(), query),
        "/fleet/policy" => snapshot(shared, Area::Policy, 0),
        "/fleet/roster" => {
            let known = field(query, "known").and_then(|known| known.parse().ok());
            // Who names no revision knows nothing.
            snapshot(shared, Area::Roster, known.unwrap_or(0))
        }
        _ => text(StatusCode::NOT_FOUND, "unknown path\n"),
    }
}

fn readiness(ready: bool) -> Response<Full<Bytes>> {
    if ready {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

fn metrics<I: Ingress>(shared: &Shared<I>) -> Response<Full<Bytes>> {
    show_state(shared);
    match shared.metrics.render() {
        Ok(bytes) => text(StatusCode::OK, bytes),
        Err(cause) => {
            log::warn!("event=metrics_failed cause=\"{cause}\"");
            text(StatusCode::INTERNAL_SERVER_ERROR, cause.to_string())
        }
    }
}

fn show_state<I: Ingress>(shared: &Shared<I>) {
    let now = clock::now();
    let dispatcher = shared.dispatcher();
    let metrics = &shared.metrics;
    metrics.show("endpoints", dispatcher.states().len() as u64);
    metrics.show("peers", dispatcher.fleet().members(now).len() as u64);
    metrics.show("prefixes", dispatcher.prefix_count() as u64);
    metrics.show("kept_connections", shared.pool.len() as u64);
}

fn snapshot<I: Ingress>(shared: &Shared<I>, area: Area, known: u64) -> Response<Full<Bytes>> {
    let snapshot = shared
        .dispatcher()
        .registry()
        .snapshot(area, known, clock::now());
    match postcard::to_stdvec(&snapshot) {
        Ok(bytes) => text(StatusCode::OK, bytes),
        Err(cause) => {
            log::warn!("event=snapshot_failed area={area} cause=\"{cause}\"");
            text(StatusCode::INTERNAL_SERVER_ERROR, cause.to_string())
        }
    }
}

/// Returns the value of a query's field.
fn field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let found = fields.find(|(each, _)| *each == name);
    found.map(|(_, value)| value)
}

/// Lists what each endpoint would do for a request, by `route=NAME&tokens=NUMBER`.
fn explain(dispatcher: &Dispatcher, query: &str) -> Response<Full<Bytes>> {
    let route = field(query, "route").unwrap_or_default();
    let tokens = field(query, "tokens").map_or(Ok(0), str::parse);
    let Ok(tokens) = tokens else {
        return text(StatusCode::BAD_REQUEST, "tokens: write a whole number\n");
    };
    let Some(endpoints) = dispatcher.explain(route, tokens, clock::now()) else {
        return text(
            StatusCode::NOT_FOUND,
            format!("route={route} is not configured\n"),
        );
    };
    let mut lines = String::new();
    for (endpoint, estimate) in endpoints {
        match estimate {
            Ok(estimate) => line(
                &mut lines,
                format_args!(
                    "endpoint={endpoint} score={:.0} first_ms={} unread={}",
                    estimate.score,
                    estimate.time_to_first.as_millis(),
                    estimate.unread
                ),
            ),
            Err(bar) => line(&mut lines, format_args!("endpoint={endpoint} barred={bar}")),
        }
    }
    text(StatusCode::OK, lines)
}

/// Lists what the node knows, one line of key=value pairs a thing.
fn status(dispatcher: &Dispatcher) -> String {
    let now = clock::now();
    let registry = dispatcher.registry();
    let mut lines = format!(
        "version={} policy={} roster={} ready={} closed={}\n",
        registry.config().map_or(0, |config| config.version),
        registry.revision(Area::Policy).changed,
        registry.revision(Area::Roster).changed,
        dispatcher.is_ready(),
        registry.closed().join(","),
    );
    for (node, place) in dispatcher.fleet().members(now) {
        line(&mut lines, format_args!("peer={node} place={place:08x}"));
    }
    for state in dispatcher.states() {
        let load = state.load();
        line(
            &mut lines,
            format_args!(
                "endpoint={} key={:08x} service={} place={} draining={} cold={} resting={} \
                 suspected={} own={} running={} unread={} pace={:.2} failure_rate={:.2}",
                state.info.id,
                state.key,
                state.info.service,
                state.info.data_centre,
                state.info.draining,
                state.is_cold(now),
                state.is_in_backoff(),
                state.is_suspected(),
                state.own_load.running,
                load.running,
                load.unread,
                state.slowdown(),
                state.failure_rate(now),
            ),
        );
    }
    lines
}

fn line(lines: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(lines, "{line}");
}
