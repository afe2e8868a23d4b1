//! Reasons for which an endpoint is not considered for a request.

use strum::{Display, IntoStaticStr};

/// Reason why an endpoint cannot take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Exclusion {
    /// The endpoint belongs to another service.
    Service,
    /// The endpoint's region may not serve the request.
    Region,
    /// The endpoint's data centre is closed for new requests.
    Closed,
    /// The endpoint is draining.
    Draining,
    /// The endpoint has announced in an answer that it is leaving.
    Departing,
    /// The endpoint has asked this node to send nothing for a while.
    RetryAfter,
    /// The endpoint runs another software version than the one that began the stream.
    Version,
    /// The request has already been sent to the endpoint.
    Tried,
    /// The endpoint is in backoff because neither this node nor a peer could reach it.
    Resting,
    /// The endpoint is reached through a peer whose region may not see the request.
    Detour,
    /// The endpoint is cold, and other nodes share its limited rate.
    ColdElsewhere,
    /// The endpoint is cold, and this node's share of its rate is used up.
    Cold,
    /// The endpoint names a rate, and this node holds no part of it.
    RateLimited,
    /// The endpoint is brittle, and this node holds no place there.
    Full,
}
