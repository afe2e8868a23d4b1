//! Exchanges with an endpoint: requests up to the answer's head, probes, and cache lists.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use async_io::Timer;
use async_std::future::timeout;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, Version,
    body::{Bytes, Incoming},
    http::request,
};
use peridotdeck_core::dispatch::{
    Key,
    attempt::{Assignment, End},
    config::Kind,
    detour::Search,
    due::{CacheQuery, Probe},
    flight::Flight,
    region::Clearance,
};

use crate::{
    Ingress, Shared,
    answer::{self, Failure, Framing, Origin},
    clock, dial,
    fetch::Client,
    ingress::Reply,
    liveness, memory,
    pool::{Connection, Pool},
    tunnel::Purpose,
};

/// Statuses that a final answer may have.
///
/// The HTTP library takes any three digits from 100. No request asks for another protocol, so 101 is
/// none of them.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Longest idle time of a connection that is reused for a request which must not run twice.
///
/// The limit is short because a request on a dead connection may have run and cannot be retried.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(500);

/// Longest time to fetch the list of prompt prefixes that an endpoint has cached.
const CACHE_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to fetch what an endpoint has evicted, for which its list waits.
const CACHE_CHANGES_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest idle time of a connection that is reused for a request which may run again.
///
/// The pool's own limits are shorter.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_secs(60);

/// The head of an answer, and the channel of its body.
#[derive(Debug)]
pub struct Answer {
    /// Meaning of the head for the request.
    pub reply: Reply,
    /// Head, and the body that is still to be read.
    pub response: Response<Incoming>,
    /// The connection on which the body arrives.
    pub channel: Channel,
}

/// The connection on which an answer arrives, and what the answer's head says of it.
#[derive(Debug)]
pub struct Channel {
    /// The connection, which may be kept after a complete body.
    pub connection: Connection,
    /// Idle timeout of the connection that the endpoint announced.
    pub keep_alive: Option<Duration>,
    /// How the body shows where it ends.
    pub framing: Framing,
    /// Whether the answer carries the id of its request.
    pub names_request: bool,
    /// The endpoint, and when its answer began.
    pub origin: Origin,
}

impl Channel {
    /// Checks that a body which was read to its end is complete.
    ///
    /// # Errors
    /// If the body has no framing, and nothing shows that its endpoint lives on; or an unknown framing.
    pub async fn check_end<I: Ingress>(
        &self,
        shared: &Arc<Shared<I>>,
        flight: &Flight,
    ) -> Result<(), Failure> {
        if self.framing.shows_end() {
            return Ok(());
        }
        if self.framing == Framing::Unknown {
            let cause = "the answer's encoding shows no end";
            return Err(Failure::new(End::Garbled, cause));
        }
        let path = self.connection.path;
        answer::check_end(shared, &self.origin, path, flight).await
    }

    /// Keeps the connection for later requests, after a complete answer.
    ///
    /// A second copy of an answer may arrive late, in place of a later request's answer. Its id tells
    /// the two apart; a connection whose answer has none is closed. See
    /// `docs/design/PLATFORM.md`.
    pub fn keep(self, pool: &Pool, key: Key) {
        if self.names_request {
            pool.keep(key, self.connection, self.keep_alive);
        }
    }
}

/// A complete request of a caller, from which every attempt is built.
#[derive(Debug)]
pub struct Message {
    /// Head, as received from the caller.
    pub head: request::Parts,
    /// Complete body.
    pub body: Bytes,
}

impl Message {
    /// Returns a copy of the request with other headers, as it is sent to an endpoint.
    ///
    /// Its data may leave this node only with a clearance.
    fn to_request(&self, headers: HeaderMap, _: &Clearance) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        // The scheme and authority of an absolute target apply only to the caller's connection.
        let target = self.head.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| self.head.uri.clone(), Into::into);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        request
    }
}

/// Sends a request to its endpoint and waits for the answer's head until the deadline.
///
/// `resume` is the id of the last event that the caller received, if a stream is resumed.
///
/// # Errors
/// If the regions in force forbid the endpoint, or no head arrives, or one of another request or none.
pub async fn send<I: Ingress>(
    shared: &Arc<Shared<I>>,
    message: &Message,
    flight: &Flight,
    assignment: &Assignment,
    resume: Option<&str>,
) -> Result<Answer, Failure> {
    let (mut connection, is_new) = reuse_or_dial(shared, flight, assignment).await?;
    if assignment.confirm {
        liveness::confirm(&shared.ingress, &mut connection, assignment).await?;
    }
    let left = flight.time_left(clock::now());
    if left.is_zero() {
        return Err(Failure::new(End::Unsent, "no time left to send"));
    }
    let clearance = clear(shared, flight, assignment)?;
    let headers = shared
        .ingress
        .forward_headers(&message.head, flight, assignment, left, resume);
    let answer = connection.send(message.to_request(headers, &clearance));
    let answer = timeout(flight.time_left(clock::now()), answer).await;
    let late = |_| Failure::new(End::TimedOut, "no answer before the deadline");
    let answer = answer.map_err(late)?;
    let failure = |cause| to_failure(&cause, is_new, connection.is_flooded());
    let response = answer.map_err(failure)?;
    let (head, body) = response.into_parts();
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        let cause = format!("no final answer has status {}", head.status.as_u16());
        return Err(Failure::new(End::Garbled, &cause));
    }
    let reply = shared.ingress.classify(&flight.id, &head);
    if reply == Reply::Foreign {
        let cause = format!("answer with status {} is not for this request", head.status);
        return Err(Failure::new(End::Garbled, &cause));
    }
    if reply != Reply::Misdirected {
        let notice = shared.ingress.notice(&head);
        shared.note_endpoint(&assignment.attempt, &flight.id, notice);
    }
    let channel = Channel {
        connection,
        keep_alive: shared.ingress.keep_alive(&head),
        framing: Framing::of(&head, &body),
        names_request: shared.ingress.names_request(&flight.id, &head),
        origin: Origin {
            key: assignment.attempt.key(),
            address: assignment.address,
            instance: assignment.instance.clone(),
            answered: clock::now(),
        },
    };
    if !channel.names_request {
        shared.metrics.count_unnamed_answer();
    }
    Ok(Answer {
        reply,
        response: Response::from_parts(head, body),
        channel,
    })
}

/// Checks that the regions in force allow a request where it was assigned to, just before it is written.
fn clear<I: Ingress>(
    shared: &Arc<Shared<I>>,
    flight: &Flight,
    assignment: &Assignment,
) -> Result<Clearance, Failure> {
    let dispatcher = shared.dispatcher();
    let denial = match dispatcher.clear(flight, assignment) {
        Ok(clearance) => return Ok(clearance),
        Err(denial) => denial,
    };
    let allowed = dispatcher.current_regions(flight).into_owned();
    let version = dispatcher.registry().version();
    drop(dispatcher);
    shared.metrics.count_region_denial();
    log::info!(
        "event=region_forbidden id={} endpoint={} allowed={allowed} admitted={} version={version} \
         attempt={} ms={} cause=\"{denial}\"",
        flight.id,
        assignment.instance,
        flight.version,
        flight.tried.len(),
        clock::now().saturating_sub(flight.arrived).as_millis(),
    );
    Err(Failure::new(End::Forbidden, &denial))
}

/// Returns the failure that an error of hyper stands for.
///
/// A cancelled request never left this process; any other one may have reached the endpoint. If the
/// connection is new, the endpoint takes no requests: it wrote or closed before it was asked. A flooded
/// connection got more bytes than the head of an answer has.
fn to_failure(cause: &hyper::Error, is_new: bool, is_flooded: bool) -> Failure {
    if cause.is_canceled() && is_new {
        Failure::new(End::Rejected, cause)
    } else if cause.is_canceled() {
        Failure::new(End::Unsent, cause)
    } else if is_flooded {
        Failure::new(End::Garbled, "head without end")
    } else if cause.is_parse() {
        Failure::new(End::Garbled, cause)
    } else {
        Failure::new(End::Broken, cause)
    }
}

/// Returns an idle connection to the assigned endpoint, or opens a new one; and whether it is new.
async fn reuse_or_dial<I: Ingress>(
    shared: &Arc<Shared<I>>,
    flight: &Flight,
    assignment: &Assignment,
) -> Result<(Connection, bool), Failure> {
    let key = assignment.attempt.key();
    let max_idle = match flight.route.kind {
        Kind::NonIdempotent => MAX_IDLE_NON_IDEMPOTENT,
        Kind::Idempotent | Kind::Stream => MAX_IDLE_REPEATABLE,
    };
    let detour = assignment.attempt.detour();
    // The id does not tell the answers to two attempts of one request apart. A kept connection may have ended.
    let may_reuse = !flight.returns_to(key) && !assignment.confirm;
    let kept = may_reuse.then(|| shared.pool.reuse(key, assignment.address, detour, max_idle));
    if let Some(connection) = kept.flatten() {
        return Ok((connection, false));
    }
    let dialed = dial::dial(shared, key, assignment.address, detour, Purpose::Requests).await;
    let connection = dialed.map_err(|cause| Failure::new(End::Unreachable, &cause))?;
    Ok((connection, true))
}

/// Probes this node's own path to an endpoint; a connection that opens is kept for later requests.
pub async fn probe<I: Ingress>(shared: &Arc<Shared<I>>, probe: Probe) {
    let Probe { key, address } = probe;
    let dialed = dial::directly(shared, key, address).await;
    if let Err(cause) = &dialed {
        log::info!("event=probe_failed endpoint={address} cause=\"{cause}\"");
    }
    let is_regained = shared
        .dispatcher()
        .record_probe(key, dialed.is_ok(), clock::now());
    if is_regained {
        // Kept connections lead through a peer.
        shared.pool.close(key);
    }
    if let Ok(connection) = dialed {
        shared.pool.keep(key, connection, None);
    }
}

/// Searches for a peer that reaches an endpoint, and keeps the connection through it.
///
/// The peers are asked one shortly after the other, as some may have lost their paths unnoticed.
pub async fn search<I: Ingress>(shared: &Arc<Shared<I>>, search: Search) {
    /// Time after which the next peer is asked too.
    const STAGGER: Duration = Duration::from_millis(150);
    let key = search.key;
    let mut asked: FuturesUnordered<_> = search
        .peers
        .iter()
        .enumerate()
        .map(|(index, &peer)| async move {
            Timer::after(STAGGER * index as u32).await;
            (
                peer,
                dial::through(shared, key, peer, Purpose::Requests).await,
            )
        })
        .collect();
    let mut found = None;
    while let Some((peer, dialed)) = asked.next().await {
        match dialed {
            Ok(connection) => {
                found = Some((peer, connection));
                break;
            }
            Err(cause) => {
                log::info!(
                    "event=detour_failed endpoint_key={key:08x} peer={peer} cause=\"{cause}\""
                );
            }
        }
    }
    let peer = found.as_ref().map(|(peer, _)| *peer);
    let is_changed = shared.dispatcher().record_search(key, peer, clock::now());
    if is_changed {
        // Kept connections use the lost path, or another peer.
        shared.pool.close(key);
    }
    if let Some((_, connection)) = found {
        shared.pool.keep(key, connection, None);
    }
}

/// Fetches the prompt prefixes that an endpoint has evicted lately, and records them.
///
/// Endpoints need not report them; their lists count all the same.
async fn fetch_evictions<I: Ingress>(shared: &Shared<I>, query: CacheQuery, client: &mut Client) {
    let Some(path) = shared.ingress.cache_changes_path() else {
        return;
    };
    let read = client.get(path, CACHE_CHANGES_TIMEOUT).await;
    let evicted = read.map_err(|cause| cause.to_string());
    let evicted = evicted.and_then(|response| {
        let evicted = shared.ingress.decode_evicted(response.body());
        evicted.map_err(|cause| cause.to_string())
    });
    let key = query.key;
    match evicted {
        Ok(parts) => {
            let count = parts.len();
            log::info!("event=evictions_reported endpoint_key={key:08x} parts={count}");
            shared
                .dispatcher()
                .record_evicted(key, &parts, clock::now());
        }
        Err(cause) => {
            log::info!("event=evictions_unreported endpoint_key={key:08x} cause=\"{cause}\"");
        }
    }
}

/// Fetches the list of prompt prefixes that an endpoint has cached, and records it.
pub async fn fetch_cache_list<I: Ingress>(shared: &Arc<Shared<I>>, query: CacheQuery) {
    let Some(path) = shared.ingress.cache_list_path() else {
        return;
    };
    let holder = memory::of_endpoint(query.key);
    let mut client = Client::new(query.address, shared.memory.clone(), holder);
    if shared.dispatcher().needs_evictions(query.key, clock::now()) {
        fetch_evictions(shared, query, &mut client).await;
    }
    let read = client.get(path, CACHE_LIST_TIMEOUT).await;
    let list = match read {
        Ok(response) => shared
            .ingress
            .decode_cache_list(response.body())
            .map_err(|cause| cause.to_string()),
        Err(cause) => Err(cause.to_string()),
    };
    let key = query.key;
    match list {
        Ok(parts) => {
            log::info!(
                "event=memory_listed endpoint_key={key:08x} parts={}",
                parts.len()
            );
            let mut dispatcher = shared.dispatcher();
            dispatcher.record_cached(key, &parts, clock::now());
        }
        Err(cause) => {
            log::info!("event=memory_unlisted endpoint_key={key:08x} cause=\"{cause}\"");
        }
    }
}
