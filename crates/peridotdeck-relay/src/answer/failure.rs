//! Failures of attempts.

use peridotdeck_core::dispatch::attempt::End;

/// Failure of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Outcome of the attempt.
    pub end: End,
    /// Observed cause, for the log.
    pub cause: String,
}

impl Failure {
    /// Creates a failure from the attempt's outcome and the observed cause.
    #[must_use]
    pub fn new(end: End, cause: &(impl ToString + ?Sized)) -> Self {
        Self {
            end,
            cause: cause.to_string(),
        }
    }
}
