//! The router's own answer to a request that gets no answer from an endpoint.

use std::time::Duration;

use crate::Verdict;

/// Verdict and cause sent to a caller; each interface has its own causes `C`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal<C> {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Cause of the refusal.
    pub cause: C,
    /// Time to wait before a retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl<C> Refusal<C> {
    /// Creates the refusal of a request that no endpoint has run.
    #[must_use]
    pub fn not_run(cause: C, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            retry_after,
        }
    }

    /// Creates the refusal of a request that an endpoint may have run.
    #[must_use]
    pub fn may_have_run(cause: C) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause,
            retry_after: None,
        }
    }
}
