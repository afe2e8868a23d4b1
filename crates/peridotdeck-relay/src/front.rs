//! The callers' side: reads requests within limits and answers them.

use std::{error::Error, sync::Arc, time::Duration};

use async_io::Timer;
use async_std::future::timeout;
use http_body_util::{BodyExt, Either, Full};
use hyper::{
    HeaderMap, Request, Response, Version,
    body::{Body, Bytes, Incoming},
    header::{self, HeaderValue},
    http::{request, response},
};
use peridotdeck_core::{
    dispatch::{
        config::Limits,
        flight::{DecodedRequest, Flight},
        refusal::{Cause, Refusal},
        registry::Area,
    },
    id::Time,
};
use peridotdeck_io::{
    budget::{Buffer, Denied, Holder, PACE_BYTES, PACE_WINDOW},
    connections::Exchange,
};
use quick_error::quick_error;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    Ingress, Shared, clock,
    exchange::Message,
    forwarding::{Forwarding, Outcome},
    memory,
    server::{self, Activity},
};

/// Longest time for which a complete request waits until it can be counted.
const MAX_CLAIM_TIME: Duration = Duration::from_secs(1);

/// Time between two attempts to count a request.
const CLAIM_INTERVAL: Duration = Duration::from_millis(25);

/// Error of a response body; [`Either`] boxes the errors of the two bodies that it joins.
type BodyError = Box<dyn Error + Send + Sync>;

/// Body of a response: held in memory, or relayed.
type ResponseBody<B> = Either<Full<Bytes>, B>;

/// Names of headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Removes the headers that apply to one connection only, and those of the body's framing.
///
/// hyper sets the framing headers anew for the next connection.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::TRANSFER_ENCODING);
    headers.remove(header::CONTENT_LENGTH);
}

/// Answers one request of a caller.
pub async fn serve<I: Ingress>(
    shared: Arc<Shared<I>>,
    request: Request<Incoming>,
) -> Response<impl Body<Data = Bytes, Error = BodyError> + Send + 'static> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let limits = limits(&shared);
    let decoded = shared.ingress.decode(&head);
    let id = decoded.as_ref().ok().map(|request| request.id.clone());
    let received = {
        let _counted = shared.unread_requests.begin();
        let buffer = Buffer::new(shared.memory.reservation(holder(&shared, &decoded)));
        match read_body(body, buffer, &limits).await {
            Ok(body) => claim(&shared, &head).await.map(|exchange| (body, exchange)),
            Err(unread) => Err(unread),
        }
    };
    // The next pipelined request of a refused one would ask for room at once, so the connection closes.
    let is_full = matches!(received, Err(Unread::Full));
    let admitted = match received {
        Ok((body, exchange)) => {
            admit(&shared, &head, &body, decoded, arrived).map(|flight| (flight, body, exchange))
        }
        Err(Unread::Refused(cause)) => Err(Refusal::not_run(cause, None)),
        Err(Unread::Denied(_) | Unread::Full) => {
            let max_wait = decoded.ok().and_then(|request| request.max_wait);
            Err(shared.dispatcher().refuse_body(max_wait))
        }
    };
    let mut response = match admitted {
        Ok((flight, body, exchange)) => {
            let message = Message { head, body };
            let forwarding = Forwarding::new(Arc::clone(&shared), message, flight, exchange);
            match Box::pin(forwarding.run()).await {
                Outcome::Whole(response) => {
                    let (head, body) = response.into_parts();
                    forwarded_response(head, Either::Left(Full::new(body)))
                }
                Outcome::Large(head, relay) => {
                    forwarded_response(head, Either::Right(Either::Left(relay.into_body())))
                }
                Outcome::Stream(head, relay) => {
                    forwarded_response(head, Either::Right(Either::Right(relay.into_body())))
                }
                Outcome::Refused(refusal) => refusal_response(&shared, id.as_deref(), &refusal),
            }
        }
        Err(refusal) => {
            log_refused(&shared, id.as_deref(), &refusal, arrived);
            refusal_response(&shared, id.as_deref(), &refusal)
        }
    };
    if let Some(id) = id {
        response.extensions_mut().insert(server::Label(id));
    }
    if is_full || shared.dispatcher().fleet().is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the limits of the adopted configuration, or the defaults without one.
pub fn limits<I: Ingress>(shared: &Shared<I>) -> Limits {
    let dispatcher = shared.dispatcher();
    let config = dispatcher.registry().config();
    config.map(|config| config.limits).unwrap_or_default()
}

/// Returns the holder of a request's body, which is read before the request is admitted.
fn holder<I: Ingress>(shared: &Shared<I>, decoded: &Result<DecodedRequest, Cause>) -> Holder {
    let Ok(request) = decoded else {
        return memory::UNIDENTIFIED;
    };
    match shared.dispatcher().identify(request) {
        Ok((_, organisation)) => memory::of_request(organisation.as_deref()),
        Err(_) => memory::UNIDENTIFIED,
    }
}

fn admit<I: Ingress>(
    shared: &Shared<I>,
    head: &request::Parts,
    body: &Bytes,
    decoded: Result<DecodedRequest, Cause>,
    arrived: Time,
) -> Result<Flight, Refusal> {
    let request = decoded.map_err(|cause| Refusal::not_run(cause, None))?;
    let fingerprint = fingerprint(head, request.key.as_deref(), body);
    shared.dispatcher().admit(request, fingerprint, arrived)
}

/// Returns a digest that is equal for repetitions of the same request of one caller.
fn fingerprint(head: &request::Parts, key: Option<&str>, body: &Bytes) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(head.method.as_str().as_bytes());
    digest.update(head.uri.to_string().as_bytes());
    digest.update(key.unwrap_or_default().as_bytes());
    digest.update(body);
    digest.digest()
}

quick_error! {
    /// Why a request's body was not read.
    #[derive(Debug)]
    enum Unread {
        /// It is too large, or did not come in time.
        Refused(cause: Cause) {
            display("{cause}")
            from()
        }
        /// It was read, and the node has no room left for one more in progress.
        Full {
            display("too many requests are in progress")
        }
        /// The node has no memory left for it.
        Denied(cause: Denied) {
            display("{cause}")
            from()
        }
    }
}

/// Reads a complete body within the limits of size and time.
///
/// One that comes slowly is given up if its organisation gets no memory for others.
async fn read_body(
    mut body: Incoming,
    mut buffer: Buffer,
    limits: &Limits,
) -> Result<Bytes, Unread> {
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        return Err(Cause::TooLarge.into());
    }
    let mut last = clock::now();
    let mut window = (last, 0);
    while !body.is_end_stream() {
        let (now, length) = (clock::now(), buffer.as_ref().len());
        if now >= window.0 + PACE_WINDOW {
            if length < window.1 + PACE_BYTES && buffer.is_contended() {
                return Err(Denied::Share.into());
            }
            window = (now, length);
        }
        let left = (last + limits.head_time).saturating_sub(now);
        if left.is_zero() {
            return Err(Cause::SlowBody.into());
        }
        let wait = left.min((window.0 + PACE_WINDOW).saturating_sub(now));
        let Ok(frame) = timeout(wait, body.frame()).await else {
            continue;
        };
        last = clock::now();
        let data = match frame {
            None => break,
            Some(Err(cause)) => {
                log::debug!("event=body_unreadable cause=\"{cause}\"");
                return Err(Cause::SlowBody.into());
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if length + data.len() > limits.body_bytes {
            return Err(Cause::TooLarge.into());
        }
        buffer.extend(&data)?;
    }
    Ok(Bytes::from_owner(buffer))
}

/// Notes that a request is complete, and counts it among those in progress.
///
/// Without room, it waits for other requests to end, or for callers to count as not reading.
async fn claim<I: Ingress>(
    shared: &Shared<I>,
    head: &request::Parts,
) -> Result<Option<Exchange<Activity>>, Unread> {
    let Some(receipt) = head.extensions.get::<server::Receipt>() else {
        return Ok(None);
    };
    receipt.complete();
    let until = clock::now() + MAX_CLAIM_TIME;
    loop {
        let exchange = receipt.claim(&shared.connections);
        if exchange.is_some() {
            return Ok(exchange);
        }
        if clock::now() >= until {
            return Err(Unread::Full);
        }
        Timer::after(CLAIM_INTERVAL).await;
    }
}

/// Returns a response with an endpoint's head, and the framing of the caller's own connection.
fn forwarded_response<B>(mut head: response::Parts, body: B) -> Response<B> {
    remove_connection_headers(&mut head.headers);
    // hyper frames a body of unknown length in chunks for this version only.
    head.version = Version::HTTP_11;
    Response::from_parts(head, body)
}

/// Returns the response that announces a refusal to the caller.
fn refusal_response<I: Ingress, B>(
    shared: &Shared<I>,
    id: Option<&str>,
    refusal: &Refusal,
) -> Response<ResponseBody<B>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let (status, headers) = shared.ingress.refusal_head(id, refusal);
    let text = format!("{}: {}\n", refusal.cause, refusal.verdict);
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Logs and counts a request that was refused before it was admitted.
fn log_refused<I: Ingress>(shared: &Shared<I>, id: Option<&str>, refusal: &Refusal, arrived: Time) {
    shared.metrics.count_request("", "refused");
    let dispatcher = shared.dispatcher();
    let registry = dispatcher.registry();
    let version = registry.config().map_or(0, |config| config.version);
    let age = registry.age(Area::Policy, clock::now()).as_millis();
    drop(dispatcher);
    log::info!(
        "event=request_refused id={} version={version} policy_age_ms={age} cause={} verdict={} \
         ms={}",
        id.unwrap_or("-"),
        refusal.cause,
        refusal.verdict,
        clock::now().saturating_sub(arrived).as_millis(),
    );
}
