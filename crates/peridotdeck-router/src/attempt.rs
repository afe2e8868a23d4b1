//! One try of a request at an endpoint.
//!
//! An answer counts only if it echoes the attempt's id on the connection that sent the request, and
//! a stream is whole only with its end marker. Silence counts as a dead connection.

mod answer;
mod completion;
mod plain;

pub use answer::{Answer, Gone, Whole};
pub use completion::Model;
pub use plain::Plain;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_types::{Request, Response};
use peridotdeck_core::{event::End, id};
use peridotdeck_http::client;
use peridotdeck_policy::Endpoint;
use peridotdeck_wire::Outcome;

use crate::dial::Dial;

/// Header with the attempt's id, which the answer echoes.
const ID: &str = "x-request-id";

/// Header with the urgency of the class; smaller is served first.
const PRIORITY: &str = "x-priority";

/// Header with the name of the class, for the endpoint's own counts.
const CLASS: &str = "x-class";

/// Header by which an endpoint vouches that it did not run what it refuses.
const VERDICT: &str = "x-verdict";

/// What every attempt needs.
#[derive(Clone, Debug)]
pub struct Target {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Where it runs.
    pub endpoint: Endpoint,
    /// Name of its class.
    pub class: String,
    /// Urgency of its class.
    pub tier: u8,
    /// Longest silence of the endpoint.
    pub silence: Duration,
    /// Longest time to the response head of an answer that comes whole.
    pub patience: Duration,
}

impl Target {
    /// Returns the attempt's id as endpoints see it.
    #[must_use]
    pub fn id(&self) -> String {
        format!("{:016x}", self.attempt)
    }
}

/// Opens a connection and sends a request; tells how it failed and whether it may have run.
async fn send<D: Dial>(
    dial: &D,
    target: &Target,
    request: impl FnOnce(SocketAddr) -> http_types::Result<Request>,
    patience: Duration,
) -> Result<Response, Outcome> {
    let address: SocketAddr = target
        .endpoint
        .address
        .parse()
        .map_err(|_| Outcome::Unreachable)?;
    let mut request = request(address).map_err(|_| Outcome::Unreachable)?;
    request.insert_header(ID, target.id());
    request.insert_header(CLASS, target.class.as_str());
    request.insert_header(PRIORITY, target.tier.to_string());
    let connected = dial.connect(&target.endpoint.place, address).await;
    let stream = connected.map_err(|_| Outcome::Unreachable)?;
    match client::send(stream, request, patience).await {
        Ok(response) => Ok(response),
        Err(client::Error::Unreachable(_)) => Err(Outcome::Unreachable),
        Err(client::Error::Broken(_)) => Err(Outcome::Broken),
        Err(client::Error::Silent) => Err(Outcome::Silent),
    }
}

/// Returns whether a response names another attempt.
fn is_crossed(response: &Response, target: &Target) -> bool {
    response
        .header(ID)
        .is_some_and(|id| id.last().as_str() != target.id())
}

/// Returns whether the endpoint vouches that it did not run the request.
fn vouches_not_run(response: &Response) -> bool {
    response
        .header(VERDICT)
        .is_some_and(|verdict| verdict.last().as_str() == "not_run")
}

/// Describes the end of an attempt.
fn end(outcome: Outcome, tokens: u32, first: Option<Instant>, started: Instant) -> End {
    End {
        outcome,
        tokens,
        time_to_first_token: first.map(|first| first.duration_since(started)),
        duration: started.elapsed(),
        answer: None,
    }
}
