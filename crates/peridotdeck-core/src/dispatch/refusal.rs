//! Why a request ends without an endpoint's answer.

use strum::{Display, IntoStaticStr};

/// Why a request is refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The node has no configuration yet.
    Unconfigured,
    /// No route matches host and path.
    NoRoute,
    /// The request has no key, or one that nobody holds.
    BadKey,
    /// The head lacks what every request must carry.
    BadHead,
    /// The body exceeds the limit.
    TooLarge,
    /// The body did not come in time.
    SlowBody,
    /// No endpoint can take it now.
    NoEndpoint,
    /// Endpoints took it back unrun, and no more may be asked.
    Rejected,
    /// The request has crashed endpoints.
    Quarantined,
    /// An endpoint failed while it had the request.
    EndpointFailed,
    /// The time of the caller or of the route is over.
    TimedOut,
}

/// The end of a request without an endpoint's answer.
pub type Refusal = crate::refusal::Refusal<Cause>;
