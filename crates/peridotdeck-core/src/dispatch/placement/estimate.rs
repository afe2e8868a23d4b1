//! Estimate of how an endpoint would serve a request, on which the choice is based.

use std::time::Duration;

use crate::dispatch::Key;

/// Estimate of how one endpoint would serve a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Score in milliseconds; lower is better.
    pub score: f64,
    /// Expected time to the answer, or to the first event of a stream.
    pub time_to_first: Duration,
    /// Milliseconds of it that an endpoint of usual speed would work for.
    pub work_ms: f32,
    /// Milliseconds of it that do not depend on the endpoint's lasting speed.
    pub overhead_ms: f32,
    /// Prompt tokens in the endpoint's own prefix cache.
    pub cached: u32,
    /// Prompt tokens that need prefill at the endpoint.
    pub unread: u32,
    /// Most prompt tokens in the prefix cache of any endpoint.
    pub cached_anywhere: u32,
    /// Endpoint to fetch the beginning of the prompt from, if that is better.
    pub source: Option<Key>,
}
