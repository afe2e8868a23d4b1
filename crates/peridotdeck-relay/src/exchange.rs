//! One attempt of a request at one endpoint, up to the head of its answer.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use async_std::future::timeout;
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
    due::CacheQuery,
    flight::Flight,
};

use crate::{
    Ingress, Shared, clock,
    fetch::Source,
    ingress::Reply,
    pool::{self, Link},
};

/// Longest idle time of a connection that carries a call which may run only once.
const FRESH: Duration = Duration::from_millis(500);

/// Longest time for an endpoint's list of its memory.
const INQUIRY: Duration = Duration::from_secs(1);

/// Longest idle time of a connection that carries anything else.
const KEPT: Duration = Duration::from_secs(60);

/// The head of an answer, and the connection that its body comes on.
#[derive(Debug)]
pub struct Answer {
    /// What the head says.
    pub reply: Reply,
    /// Head and body.
    pub response: Response<Incoming>,
    /// The connection, to be kept after a whole body.
    pub link: Link,
    /// Time for which the endpoint keeps the connection.
    pub keep_alive: Option<Duration>,
}

/// Why there is no head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// How the attempt ended.
    pub end: End,
    /// What was seen.
    pub cause: String,
}

impl Failure {
    /// Names an end and what was seen.
    #[must_use]
    pub fn new(end: End, cause: &(impl ToString + ?Sized)) -> Self {
        Self {
            end,
            cause: cause.to_string(),
        }
    }
}

/// A request as it is sent, once or again.
#[derive(Debug)]
pub struct Message {
    /// Head as the caller sent it.
    pub head: request::Parts,
    /// Whole body.
    pub body: Bytes,
}

impl Message {
    fn copy(&self, headers: HeaderMap) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        // The scheme and authority of an absolute target concern the caller's connection only.
        let target = self.head.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| self.head.uri.clone(), Into::into);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        request
    }
}

/// Sends a request and waits for the head of the answer as long as the request has time.
///
/// # Errors
/// How the attempt ended, if there is no head that belongs to it.
pub async fn send<I: Ingress>(
    shared: &Arc<Shared<I>>,
    message: &Message,
    flight: &Flight,
    assignment: &Assignment,
    resume: Option<&str>,
) -> Result<Answer, Failure> {
    let mut link = open(shared, flight, assignment).await?;
    let left = flight.time_left(clock::now());
    if left.is_zero() {
        return Err(Failure::new(End::Unreachable, "no time left"));
    }
    let headers = shared
        .ingress
        .forward(&message.head, flight, assignment, left, resume);
    let answer = link.sender.send_request(message.copy(headers));
    let answer = timeout(flight.time_left(clock::now()), answer).await;
    let late = |_| Failure::new(End::TimedOut, "no answer in time");
    let response = answer.map_err(late)?.map_err(|cause| failure(&cause))?;
    let (head, body) = response.into_parts();
    let reply = shared.ingress.classify(&flight.id, &head);
    if reply == Reply::Foreign {
        let cause = format!("status {} belongs to no request of ours", head.status);
        return Err(Failure::new(End::Garbled, &cause));
    }
    let keep_alive = shared.ingress.keep_alive(&head);
    Ok(Answer {
        reply,
        response: Response::from_parts(head, body),
        link,
        keep_alive,
    })
}

/// A canceled message never left this process; anything else may have arrived.
fn failure(cause: &hyper::Error) -> Failure {
    if cause.is_canceled() {
        Failure::new(End::Unreachable, cause)
    } else if cause.is_parse() {
        Failure::new(End::Garbled, cause)
    } else {
        Failure::new(End::Broken, cause)
    }
}

async fn open<I: Ingress>(
    shared: &Arc<Shared<I>>,
    flight: &Flight,
    assignment: &Assignment,
) -> Result<Link, Failure> {
    let key = assignment.attempt.key();
    let fresh = match flight.route.kind {
        Kind::NonIdempotent => FRESH,
        Kind::Idempotent | Kind::Stream => KEPT,
    };
    if let Some(link) = shared.pool.reuse(key, fresh) {
        return Ok(link);
    }
    let dialed = dial(shared, key, assignment.address).await;
    dialed.map_err(|cause| Failure::new(End::Unreachable, &cause))
}

/// Opens a connection that casts suspicion on its endpoint if it breaks while idle.
async fn dial<I: Ingress>(
    shared: &Arc<Shared<I>>,
    key: Key,
    address: SocketAddrV4,
) -> Result<Link, pool::Error> {
    let watch = Arc::clone(shared);
    let dialed = pool::dial(address, move || watch.suspect(key)).await;
    shared.metrics.dialed(dialed.is_ok());
    dialed
}

/// Opens a connection to see whether an endpoint is there, and keeps it.
pub async fn probe<I: Ingress>(shared: &Arc<Shared<I>>, key: Key, address: SocketAddrV4) -> bool {
    match dial(shared, key, address).await {
        Ok(link) => {
            shared.pool.keep(key, link, None);
            true
        }
        Err(cause) => {
            log::info!("event=probe_failed endpoint={address} cause=\"{cause}\"");
            false
        }
    }
}

/// Asks an endpoint which prompt parts its memory holds.
pub async fn inquire<I: Ingress>(shared: &Arc<Shared<I>>, query: CacheQuery) {
    let Some(path) = shared.ingress.inventory_path() else {
        return;
    };
    let read = Source::new(query.address).get(path, INQUIRY).await;
    let listed = match read {
        Ok(body) => shared
            .ingress
            .inventory(&body)
            .map_err(|cause| cause.to_string()),
        Err(cause) => Err(cause.to_string()),
    };
    let key = query.key;
    match listed {
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
