//! The part of a prompt that an endpoint is expected to cache.

/// Fewest missing tokens that are worth the setup of a fetch.
pub(super) const MIN_FETCH_TOKENS: u32 = 100;

/// Number of tokens of a prompt's beginning that an endpoint caches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTokens {
    /// Tokens that were sent to the endpoint, which reads them before a later request.
    pub sent: u32,
    /// Tokens that it has certainly read, so that another endpoint can fetch them.
    pub read: u32,
}

impl CachedTokens {
    /// Returns whether another endpoint may fetch the tokens.
    #[must_use]
    pub fn is_source(self) -> bool {
        self.read >= MIN_FETCH_TOKENS
    }

    /// Returns the larger of both counts.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            sent: self.sent.max(other.sent),
            read: self.read.max(other.read),
        }
    }
}
