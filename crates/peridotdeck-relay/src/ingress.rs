//! What a site speaks towards callers and endpoints.

use std::time::Duration;

use hyper::{HeaderMap, http::request, http::response};
use peridotdeck_core::dispatch::{
    Prefix,
    attempt::Assignment,
    flight::{DecodedRequest, Flight},
    refusal::{Cause, Refusal},
};
use strum::{Display, IntoStaticStr};

/// What an endpoint's head says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The endpoint ran the request, and its answer follows.
    Answer,
    /// The endpoint ran the request and failed; its answer follows.
    Failure,
    /// The endpoint failed with a status that would tell the caller that nothing ran, but does not
    /// vouch for that; its answer is not passed on.
    Unclear,
    /// The endpoint vouches that it did not run the request.
    Rejected,
    /// Another endpoint has the address; it did not run the request.
    Misdirected,
    /// It belongs to another request, or to none.
    Foreign,
}

/// What a request asks for, and the id that its answers bear.
pub trait Ingress: Send + Sync + 'static {
    /// Reads what a request's head asks for.
    ///
    /// # Errors
    /// Why the head cannot be served.
    fn decode(&self, head: &request::Parts) -> Result<DecodedRequest, Cause>;

    /// Returns the headers under which a request goes to an endpoint.
    ///
    /// `resume` is the id of the last event that the caller has, where a stream goes on.
    fn forward(
        &self,
        head: &request::Parts,
        flight: &Flight,
        assignment: &Assignment,
        left: Duration,
        resume: Option<&str>,
    ) -> HeaderMap;

    /// Reads what an endpoint's head says about the request with this id.
    fn classify(&self, id: &str, head: &response::Parts) -> Reply;

    /// Returns the time for which an endpoint keeps an idle connection, if it says.
    fn keep_alive(&self, head: &response::Parts) -> Option<Duration>;

    /// Returns the path at which an endpoint lists the prompt parts in its memory, if it does.
    fn inventory_path(&self) -> Option<&str>;

    /// Reads such a list.
    ///
    /// # Errors
    /// If it is none.
    fn inventory(&self, body: &[u8]) -> Result<Vec<Prefix>, serde_json::Error>;

    /// Returns status and headers that tell a caller of a refusal.
    fn refuse(&self, id: Option<&str>, refusal: &Refusal) -> (hyper::StatusCode, HeaderMap);
}
