//! Interface between the relay and the header format of one platform.

use std::time::Duration;

use hyper::{HeaderMap, http::request, http::response};
use peridotdeck_core::dispatch::{
    Prefix,
    attempt::Assignment,
    flight::{DecodedRequest, Flight},
    rate::Terms,
    refusal::{Cause, Refusal},
};
use strum::{Display, IntoStaticStr};

/// Meaning of an answer's head for the request that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The endpoint ran the request, and its answer follows in the body.
    Answer,
    /// The endpoint ran the request and failed; the error follows in the body.
    Failure,
    /// The endpoint failed with a status that means "not run" to callers, without guaranteeing it.
    ///
    /// The answer is not forwarded.
    Unclear,
    /// The endpoint guarantees that it did not run the request.
    Rejected,
    /// Another endpoint uses the address now and did not run the request.
    Misdirected,
    /// The answer belongs to another request, or to none.
    Foreign,
}

/// What an answer's head says of the endpoint that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the endpoint is about to leave and wants no new requests.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests from this node.
    pub pause: Option<Duration>,
    /// What the endpoint takes from all nodes together, if it is in need.
    pub terms: Terms,
}

/// Translation between the headers of one platform and the types of the dispatcher.
pub trait Ingress: Send + Sync + 'static {
    /// Decodes a request's head.
    ///
    /// # Errors
    /// If a required field is missing or invalid; the cause is sent to the caller.
    fn decode(&self, head: &request::Parts) -> Result<DecodedRequest, Cause>;

    /// Returns the id of the last event that the caller has, if it takes up a stream.
    fn last_event<'a>(&self, head: &'a request::Parts) -> Option<&'a str>;

    /// Returns the headers with which a request is sent to its endpoint.
    ///
    /// `left` is the time until the deadline. `resume` is the id of the last event that the caller
    /// received, if a stream is resumed.
    fn forward_headers(
        &self,
        head: &request::Parts,
        flight: &Flight,
        assignment: &Assignment,
        left: Duration,
        resume: Option<&str>,
    ) -> HeaderMap;

    /// Classifies an answer's head, received for the request with this id.
    fn classify(&self, id: &str, head: &response::Parts) -> Reply;

    /// Returns whether an answer's head carries the id of the request that it answers.
    fn names_request(&self, id: &str, head: &response::Parts) -> bool;

    /// Returns what an answer's head says of its endpoint.
    fn notice(&self, head: &response::Parts) -> Notice;

    /// Returns the idle timeout that an endpoint announces for its connection, if any.
    fn keep_alive(&self, head: &response::Parts) -> Option<Duration>;

    /// Returns the path at which endpoints list their cached prompt prefixes, if they do.
    fn cache_list_path(&self) -> Option<&str>;

    /// Decodes an endpoint's list of cached prompt prefixes.
    ///
    /// # Errors
    /// If the body is not such a list.
    fn decode_cache_list(&self, body: &[u8]) -> Result<Vec<Prefix>, serde_json::Error>;

    /// Returns the path at which endpoints report the latest changes of their caches, if they do.
    fn cache_changes_path(&self) -> Option<&str>;

    /// Decodes the prompt prefixes that an endpoint has evicted, from its report of the latest changes.
    ///
    /// # Errors
    /// If the body is not such a report.
    fn decode_evicted(&self, body: &[u8]) -> Result<Vec<Prefix>, serde_json::Error>;

    /// Returns the path at which an endpoint reports while it lives.
    fn report_path(&self) -> &'static str;

    /// Decodes the time of an endpoint's start, in milliseconds, from its answer at that path.
    ///
    /// An answer need not name it.
    fn decode_start(&self, body: &[u8]) -> Option<u64>;

    /// Returns the status and headers that announce a refusal to a caller.
    fn refusal_head(&self, id: Option<&str>, refusal: &Refusal) -> (hyper::StatusCode, HeaderMap);
}
