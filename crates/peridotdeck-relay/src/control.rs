//! HTTP service of the node itself: health checks, metrics, state, and snapshots for peers.

use std::{fmt::Write as _, sync::Arc};

use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use peridotdeck_core::{
    dispatch::{
        Dispatcher, Key,
        attempt::Placement,
        dispatcher::{Explanation, Query, Unknown},
        endpoint::State,
        rate::Entry,
        registry::{Area, Position},
        speed::Pace,
    },
    id::Time,
};

use crate::{
    Ingress, Shared, clock,
    shared::detour_text,
    tunnel::{self, Purpose},
};

/// Responds to a request to one of the node's own addresses.
///
/// `ready` is the path of the load balancer's readiness check, besides `/readyz`.
pub async fn respond<I: Ingress>(
    shared: Arc<Shared<I>>,
    request: Request<Incoming>,
    ready: String,
) -> Response<Full<Bytes>> {
    if request.uri().path() == tunnel::PATH {
        let query = request.uri().query().unwrap_or_default();
        let key = parameter(query, "endpoint").and_then(|text| Key::from_str_radix(text, 16).ok());
        let purpose = match parameter(query, tunnel::VERDICT) {
            Some(_) => Purpose::Verdict,
            None => Purpose::Requests,
        };
        return tunnel::accept(&shared, request, key, purpose).await;
    }
    page(&shared, &request, &ready)
}

/// Returns one of the node's own pages.
fn page<I: Ingress>(
    shared: &Arc<Shared<I>>,
    request: &Request<Incoming>,
    ready: &str,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let query = request.uri().query().unwrap_or_default();
    if path == ready || path == "/readyz" {
        return readiness_response(shared.dispatcher().is_ready());
    }
    match path {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/metrics" => metrics_response(shared),
        "/status" => text_response(StatusCode::OK, status(shared)),
        "/explain" => explain(&shared.dispatcher(), query),
        "/fleet/policy" => snapshot_response(shared, Area::Policy, Position::default()),
        "/fleet/roster" => {
            let number = |name| parameter(query, name).and_then(|text| text.parse().ok());
            // A peer that names no position has none yet, which counts as revision 0.
            let known = Position::new(
                number("era").unwrap_or_default(),
                number("known").unwrap_or_default(),
            );
            snapshot_response(shared, Area::Roster, known)
        }
        _ => text_response(StatusCode::NOT_FOUND, "unknown path\n"),
    }
}

fn readiness_response(ready: bool) -> Response<Full<Bytes>> {
    if ready {
        text_response(StatusCode::OK, "ready\n")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

fn metrics_response<I: Ingress>(shared: &Shared<I>) -> Response<Full<Bytes>> {
    update_gauges(shared);
    match shared.metrics.render() {
        Ok(bytes) => text_response(StatusCode::OK, bytes),
        Err(cause) => {
            log::warn!("event=metrics_failed cause=\"{cause}\"");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, cause.to_string())
        }
    }
}

/// Organisations whose use is a metric: those with the most tokens.
const MAX_ORGANISATIONS: usize = 8;

/// Sets the gauges of the node's state, just before the metrics are rendered.
fn update_gauges<I: Ingress>(shared: &Shared<I>) {
    let now = clock::now();
    let dispatcher = shared.dispatcher();
    let metrics = &shared.metrics;
    metrics.set_state("endpoints", dispatcher.states().len() as u64);
    metrics.set_state("peers", dispatcher.fleet().members(now).len() as u64);
    metrics.set_state("prefixes", dispatcher.prefix_count() as u64);
    let quarantines = dispatcher.quarantines(now).count();
    metrics.set_state("quarantines", quarantines as u64);
    metrics.set_state("named_rates", dispatcher.rates().named().count() as u64);
    metrics.set_state("streams", dispatcher.streams().len() as u64);
    let (_, lost, detours) = dispatcher.path_counts();
    metrics.set_state("lost_paths", lost as u64);
    metrics.set_state("detours", detours as u64);
    let (uneven, stalled) = dispatcher.speed_counts(now);
    metrics.set_state("uneven_endpoints", uneven as u64);
    metrics.set_state("stalled_endpoints", stalled as u64);
    let competition = dispatcher.shares();
    metrics.set_state("waiting", competition.queue.len() as u64);
    metrics.set_state("kept_slots", competition.kept.into());
    metrics.set_organisations(&competition.usage.heaviest(MAX_ORGANISATIONS, now));
    let tunnels = shared.tunnels.get();
    metrics.set_state("tunnels", tunnels.into());
    metrics.set_state("unframed", shared.answers.unframed().into());
    metrics.set_state("connections", shared.connections.len() as u64);
    metrics.set_state("exchanges", shared.connections.exchanges() as u64);
    metrics.set_state("connections_closed", shared.connections.closed());
    metrics.set_state("kept_connections", shared.pool.len() as u64);
    let memory = shared.memory.usage();
    metrics.set_state("memory_used", memory.used as u64);
    metrics.set_state("memory_peak", memory.peak as u64);
    metrics.set_state("memory_limit", memory.limit as u64);
    metrics.set_state("memory_denials", memory.denials);
}

fn snapshot_response<I: Ingress>(
    shared: &Shared<I>,
    area: Area,
    known: Position,
) -> Response<Full<Bytes>> {
    let snapshot = shared
        .dispatcher()
        .registry()
        .snapshot(area, known, clock::now());
    match postcard::to_stdvec(&snapshot) {
        Ok(bytes) => text_response(StatusCode::OK, bytes),
        Err(cause) => {
            log::warn!("event=snapshot_failed area={area} cause=\"{cause}\"");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, cause.to_string())
        }
    }
}

/// Returns the value of a query parameter.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| value)
}

/// Explains what would happen to a hypothetical request: the decision, then each endpoint.
///
/// The query is `route=NAME&organisation=NAME&tokens=NUMBER`; the number is the length of the prompt.
fn explain(dispatcher: &Dispatcher, query: &str) -> Response<Full<Bytes>> {
    let tokens = parameter(query, "tokens").map_or(Ok(0), str::parse);
    let Ok(tokens) = tokens else {
        return text_response(StatusCode::BAD_REQUEST, "tokens: write a whole number\n");
    };
    let query = Query {
        route: parameter(query, "route").unwrap_or_default().to_owned(),
        organisation: parameter(query, "organisation")
            .unwrap_or_default()
            .to_owned(),
        tokens,
    };
    match dispatcher.explain(&query, clock::now()) {
        Ok(explanation) => text_response(StatusCode::OK, explanation_text(&query, &explanation)),
        Err(unknown) => text_response(StatusCode::NOT_FOUND, unknown_text(&query, unknown)),
    }
}

/// Says what the node does not know, and what to do about it.
fn unknown_text(query: &Query, unknown: Unknown) -> String {
    match unknown {
        Unknown::Config => {
            "no configuration is known yet; look for event=publisher_lost\n".to_owned()
        }
        Unknown::Route => format!(
            "route={} is not configured; /status has the version\n",
            query.route
        ),
        Unknown::Organisation => {
            format!(
                "organisation={} is not configured; leave it out for none\n",
                query.organisation
            )
        }
    }
}

fn explanation_text(query: &Query, explanation: &Explanation) -> String {
    let decision = match &explanation.placement {
        Placement::Send(assignment) => format!(
            "decision=send endpoint={} detour={} expected_ms={} score={:.0} candidates={}",
            assignment.instance,
            detour_text(assignment.attempt.detour()),
            assignment.estimate.time_to_first.as_millis(),
            assignment.estimate.score,
            assignment.candidates,
        ),
        Placement::Wait(delay) => format!(
            "decision=wait cause={} again_ms={} running={} expected_ms={}",
            delay.cause,
            delay.time.as_millis(),
            delay.running,
            delay.expected.as_millis(),
        ),
        Placement::Refuse(refusal, _) => format!(
            "decision=refuse cause={} verdict={} retry_after_ms={}",
            refusal.cause,
            refusal.verdict,
            refusal.retry_after.unwrap_or_default().as_millis(),
        ),
    };
    let mut lines = format!(
        "route={} service={} rank={} {decision}\n",
        query.route, explanation.service, explanation.rank,
    );
    for (endpoint, estimate) in &explanation.endpoints {
        match estimate {
            Ok(estimate) => push_line(
                &mut lines,
                format_args!(
                    "endpoint={endpoint} score={:.0} first_ms={} unread={}",
                    estimate.score,
                    estimate.time_to_first.as_millis(),
                    estimate.unread
                ),
            ),
            Err(cause) => push_line(
                &mut lines,
                format_args!("endpoint={endpoint} barred={cause}"),
            ),
        }
    }
    lines
}

/// Describes the node's state in lines of key=value pairs.
///
/// The first line is about the node itself. One line for each peer, each quarantine and each endpoint
/// follows.
fn status<I: Ingress>(shared: &Shared<I>) -> String {
    let dispatcher = shared.dispatcher();
    let now = clock::now();
    let registry = dispatcher.registry();
    let (endpoints, lost, detours) = dispatcher.path_counts();
    let mut lines = format!(
        "version={} policy={} roster={} ready={} closed={} endpoints={endpoints} reached={} \
         detours={detours} tunnels={}\n",
        registry.config().map_or(0, |config| config.version),
        registry.progress(Area::Policy).changed,
        registry.progress(Area::Roster).changed,
        dispatcher.is_ready(),
        registry.closed().join(","),
        endpoints - lost,
        shared.tunnels.get(),
    );
    for (node, data_centre) in dispatcher.fleet().members(now) {
        push_line(
            &mut lines,
            format_args!("peer={node} place={data_centre:08x}"),
        );
    }
    for quarantine in dispatcher.quarantines(now) {
        push_line(
            &mut lines,
            format_args!(
                "quarantine={:016x} kind={} crashes={} idle_ms={} trial_in_ms={}",
                quarantine.subject.id(),
                quarantine.subject,
                quarantine.crashes,
                quarantine.idle.as_millis(),
                quarantine.trial_in.as_millis(),
            ),
        );
    }
    for state in dispatcher.states() {
        let load = state.load();
        push_line(
            &mut lines,
            format_args!(
                "endpoint={} key={:08x} service={} software={} place={} draining={} departing={} paused_ms={} \
                 cold={} resting={} suspected={} lost={} detour={} rate={} room={} own={} running={} unread={} pace={:.2} \
                 failure_rate={:.2}{}",
                state.info.id,
                state.key,
                state.info.service,
                state.info.version,
                state.info.data_centre,
                state.info.draining,
                state.is_departing(),
                state.pause_left(now).unwrap_or_default().as_millis(),
                state.is_cold(now),
                !state.path.is_usable(),
                state.path.is_suspected(),
                state.path.is_lost(),
                detour_text(state.path.detour()),
                rate_text(dispatcher.rates().get(state.key), now),
                room_text(dispatcher.rates().get(state.key), now),
                state.own_load.running,
                load.running,
                load.unread,
                state.slowdown(),
                state.failure_rate(now),
                speed_text(dispatcher.pace(state, now), state),
            ),
        );
    }
    lines
}

/// Returns an endpoint's factors on expected times, if lasting speeds and stalls are told apart.
fn speed_text(pace: Option<Pace>, state: &State) -> String {
    let Some(pace) = pace else {
        return String::new();
    };
    format!(
        " reading={:.2} step={:.2} samples={}/{} stall_ms={:.0}",
        pace.reading,
        pace.step,
        state.speed.reading.count(),
        state.speed.step.count(),
        pace.stall_ms,
    )
}

/// Returns the rate that an endpoint names in requests per second, and its use.
///
/// The use is what this node has sent lately and, where it shares out the rate, what it has granted
/// to all nodes.
fn rate_text(entry: Option<&Entry>, now: Time) -> String {
    let named = entry.and_then(|entry| Some((entry, entry.limit.terms.rate?)));
    let Some((entry, rate)) = named else {
        return "none".to_owned();
    };
    let used = entry.allowance.used(now);
    if entry.is_owner {
        let granted = entry.ledger.used(now);
        format!("{rate} rate_used={used:.2} rate_granted={granted:.2}")
    } else {
        format!("{rate} rate_used={used:.2}")
    }
}

/// Returns the rejections that a brittle endpoint survives, and this node's part of its room.
///
/// Where this node shares out the room, the places follow that all nodes hold, and that there are.
fn room_text(entry: Option<&Entry>, now: Time) -> String {
    let brittle = entry.and_then(|entry| Some((entry, entry.limit.terms.rejections?)));
    let Some((entry, rejections)) = brittle else {
        return "any".to_owned();
    };
    let unspent = entry.places.unused(now);
    let own = format!("brittle:{rejections} places={unspent}");
    if entry.is_owner {
        let (held, capacity) = (entry.room.held(), entry.room.capacity());
        format!("{own} places_held={held} places_known={capacity:.0}")
    } else {
        own
    }
}

fn push_line(lines: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a `String` never fails.
    let _ = writeln!(lines, "{line}");
}
