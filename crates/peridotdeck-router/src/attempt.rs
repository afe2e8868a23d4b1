//! One attempt to run a request at an endpoint.
//!
//! A response counts only on the connection that sent its request, and is rejected if it carries
//! the id of another attempt. A stream is complete only after its end marker, and an event that is
//! no part of the answer ends the attempt. A connection on which nothing arrives for too long counts
//! as dead.

mod answer;
mod chunk;
mod completion;
mod event_bound;
mod passing;
mod plain;

pub use answer::{Answer, Disconnected, FullResponse, Rejection};
pub use chunk::Flaw;
pub use completion::CompletionRequest;
pub use plain::PlainRequest;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_types::{Request, Response};
use peridotdeck_core::{event::End, id};
use peridotdeck_http::client;
use peridotdeck_policy::Endpoint;
use peridotdeck_wire::Outcome;

use crate::{dial::Dial, memory::Account};

/// Request header with the attempt's id, which the endpoint echoes in its response.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Request header with the tier of the class; endpoints serve smaller values first.
const PRIORITY_HEADER: &str = "x-priority";

/// Request header with the name of the class, for the endpoint's own counters.
const CLASS_HEADER: &str = "x-class";

/// Response header in which an endpoint confirms that it did not run the refused request.
const VERDICT_HEADER: &str = "x-verdict";

/// Longest answer in bytes that is forwarded as a whole; a longer one fails the attempt.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Parameters of one attempt.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// Id of the attempt.
    pub attempt: id::Attempt,
    /// Endpoint that runs the request.
    pub endpoint: Endpoint,
    /// Account of the memory that the endpoint's answers keep.
    pub account: Account,
    /// Name of the request's class.
    pub class: String,
    /// Tier of the request's class; smaller is more urgent.
    pub tier: u8,
    /// Longest wait for the next event of a stream; after it, the endpoint counts as dead.
    pub idle_timeout: Duration,
    /// Longest time to the response head, and then to the body, of an answer that is not streamed.
    pub response_timeout: Duration,
}

impl Parameters {
    /// Returns the attempt's id as it is sent to endpoints: 16 hexadecimal digits.
    #[must_use]
    pub fn id(&self) -> String {
        format!("{:016x}", self.attempt)
    }
}

/// Sends a request on a new connection and returns the response head.
///
/// # Errors
/// [`Outcome::Unreachable`] if the request was not sent; [`Outcome::Broken`] or
/// [`Outcome::Silent`] if it may have run.
async fn send<D: Dial>(
    dial: &D,
    params: &Parameters,
    request: impl FnOnce(SocketAddr) -> http_types::Result<Request>,
    response_timeout: Duration,
) -> Result<Response, Outcome> {
    let address: SocketAddr = params
        .endpoint
        .address
        .parse()
        .map_err(|_| Outcome::Unreachable)?;
    let mut request = request(address).map_err(|_| Outcome::Unreachable)?;
    request.insert_header(REQUEST_ID_HEADER, params.id());
    request.insert_header(CLASS_HEADER, params.class.as_str());
    request.insert_header(PRIORITY_HEADER, params.tier.to_string());
    let connected = dial.connect(&params.endpoint.place, address).await;
    let stream = connected.map_err(|_| Outcome::Unreachable)?;
    match client::send(stream, request, response_timeout).await {
        Ok(response) => Ok(response),
        Err(client::Error::Unreachable(_)) => Err(Outcome::Unreachable),
        Err(client::Error::Broken(_)) => Err(Outcome::Broken),
        Err(client::Error::TimedOut) => Err(Outcome::Silent),
    }
}

/// Returns whether a response carries the id of another attempt.
fn names_other_attempt(response: &Response, params: &Parameters) -> bool {
    response
        .header(REQUEST_ID_HEADER)
        .is_some_and(|id| id.last().as_str() != params.id())
}

/// Returns whether the endpoint confirms that it did not run the request.
fn confirms_not_run(response: &Response) -> bool {
    response
        .header(VERDICT_HEADER)
        .is_some_and(|verdict| verdict.last().as_str() == "not_run")
}

/// Returns the outcome and measurements of an attempt that ends now.
fn attempt_end(
    outcome: Outcome,
    tokens: u32,
    first_token: Option<Instant>,
    started: Instant,
) -> End {
    End {
        outcome,
        tokens,
        is_partial: false,
        time_to_first_token: first_token.map(|time| time.duration_since(started)),
        duration: started.elapsed(),
        answer: None,
    }
}
