//! Why a request ends without an endpoint's answer.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use crate::Verdict;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why.
    pub cause: Cause,
    /// When a new try makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that no endpoint has run.
    #[must_use]
    pub fn not_run(cause: Cause, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            retry_after,
        }
    }

    /// Gives up a request that an endpoint may have run.
    #[must_use]
    pub fn may_have_run(cause: Cause) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause,
            retry_after: None,
        }
    }
}
