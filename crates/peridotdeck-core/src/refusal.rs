//! The end of a request without an endpoint's answer.

use std::time::Duration;

use crate::Verdict;

/// What a caller is told, whatever names the causes of its interface have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal<C> {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it ends.
    pub cause: C,
    /// When a new try makes sense.
    pub retry_after: Option<Duration>,
}

impl<C> Refusal<C> {
    /// Refuses a request that no endpoint has run.
    #[must_use]
    pub fn not_run(cause: C, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            retry_after,
        }
    }

    /// Ends a request that an endpoint may have run.
    #[must_use]
    pub fn may_have_run(cause: C) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause,
            retry_after: None,
        }
    }
}
