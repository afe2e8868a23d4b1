//! Callers' requests, read within limits and answered.

use std::{error::Error, sync::Arc};

use async_std::future::timeout;
use http_body_util::{BodyExt, Either, Full};
use hyper::{
    HeaderMap, Request, Response,
    body::{Body, Bytes, Incoming},
    header::{self, HeaderValue},
    http::request,
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
use xxhash_rust::xxh3::Xxh3;

use crate::{
    Ingress, Shared, clock,
    exchange::Message,
    journey::{Journey, Outcome},
    stream::Cut,
};

/// Why a body is cut; the library that joins two kinds of bodies boxes their errors.
type Fault = Box<dyn Error + Send + Sync>;

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Removes what concerns one connection only, and the framing, which is made anew.
pub fn strip_connection(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::TRANSFER_ENCODING);
    headers.remove(header::CONTENT_LENGTH);
}

/// Answers one request.
pub async fn serve<I: Ingress>(
    shared: Arc<Shared<I>>,
    request: Request<Incoming>,
) -> Response<impl Body<Data = Bytes, Error = Fault> + Send + 'static> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let limits = limits(&shared);
    let decoded = shared.ingress.decode(&head);
    let id = decoded.as_ref().ok().map(|ask| ask.id.clone());
    let admitted = match read(body, &limits).await {
        Ok(body) => admit(&shared, &head, &body, decoded, arrived).map(|flight| (flight, body)),
        Err(cause) => Err(Refusal::not_run(cause, None)),
    };
    let mut response = match admitted {
        Ok((flight, body)) => {
            let message = Message { head, body };
            let journey = Journey::new(Arc::clone(&shared), message, flight);
            match Box::pin(journey.run()).await {
                Outcome::Whole(response) => pass_on(response),
                Outcome::Stream(mut head, relay) => {
                    strip_connection(&mut head.headers);
                    Response::from_parts(head, Either::Right(relay.into_body()))
                }
                Outcome::Refused(refusal) => refuse(&shared, id.as_deref(), &refusal),
            }
        }
        Err(refusal) => {
            log_refused(&shared, id.as_deref(), &refusal, arrived);
            refuse(&shared, id.as_deref(), &refusal)
        }
    };
    if shared.dispatcher().fleet().is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the limits in force.
pub fn limits<I: Ingress>(shared: &Shared<I>) -> Limits {
    let dispatcher = shared.dispatcher();
    let config = dispatcher.registry().config();
    config.map(|config| config.limits).unwrap_or_default()
}

fn admit<I: Ingress>(
    shared: &Shared<I>,
    head: &request::Parts,
    body: &Bytes,
    decoded: Result<DecodedRequest, Cause>,
    arrived: Time,
) -> Result<Flight, Refusal> {
    let ask = decoded.map_err(|cause| Refusal::not_run(cause, None))?;
    let fingerprint = fingerprint(head, ask.key.as_deref(), body);
    shared.dispatcher().admit(ask, fingerprint, arrived)
}

/// Digests what makes a request the same when it comes again.
fn fingerprint(head: &request::Parts, key: Option<&str>, body: &Bytes) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(head.method.as_str().as_bytes());
    digest.update(head.uri.to_string().as_bytes());
    digest.update(key.unwrap_or_default().as_bytes());
    digest.update(body);
    digest.digest()
}

/// Reads a whole body within the limits.
async fn read(mut body: Incoming, limits: &Limits) -> Result<Bytes, Cause> {
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        return Err(Cause::TooLarge);
    }
    let mut parts: Vec<u8> = Vec::new();
    loop {
        if body.is_end_stream() {
            return Ok(parts.into());
        }
        let frame = timeout(limits.head_time, body.frame()).await;
        let frame = frame.map_err(|_| Cause::SlowBody)?;
        let data = match frame {
            None => return Ok(parts.into()),
            Some(Err(cause)) => {
                log::debug!("event=body_unreadable cause=\"{cause}\"");
                return Err(Cause::SlowBody);
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if parts.len() + data.len() > limits.body_bytes {
            return Err(Cause::TooLarge);
        }
        if parts.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        parts.extend_from_slice(&data);
    }
}

fn pass_on<B>(response: Response<Bytes>) -> Response<Either<Full<Bytes>, B>>
where
    B: Body<Data = Bytes, Error = Cut>,
{
    let (mut head, body) = response.into_parts();
    strip_connection(&mut head.headers);
    Response::from_parts(head, Either::Left(Full::new(body)))
}

fn refuse<I: Ingress, B>(
    shared: &Shared<I>,
    id: Option<&str>,
    refusal: &Refusal,
) -> Response<Either<Full<Bytes>, B>>
where
    B: Body<Data = Bytes, Error = Cut>,
{
    let (status, headers) = shared.ingress.refuse(id, refusal);
    let text = format!("{}: {}\n", refusal.cause, refusal.verdict);
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn log_refused<I: Ingress>(shared: &Shared<I>, id: Option<&str>, refusal: &Refusal, arrived: Time) {
    shared.metrics.ended("", "refused");
    let dispatcher = shared.dispatcher();
    let registry = dispatcher.registry();
    let version = registry.config().map_or(0, |each| each.version);
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
