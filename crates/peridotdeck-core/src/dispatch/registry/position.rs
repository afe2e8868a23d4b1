//! Position in the publisher's history of changes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A revision within an era of the publisher.
///
/// A publisher that is restored from a copy begins a new era and assigns revisions from there on a
/// second time. Positions are therefore ordered by era first. See `docs/design/PLATFORM.md`,
/// section "A restored store".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Number of the era, which rises each time the publisher is restored.
    pub era: u64,
    /// Progress within the era.
    pub revision: u64,
}

impl Position {
    /// Creates the position of a revision in an era.
    #[must_use]
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, text: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(text, "{}.{}", self.era, self.revision)
    }
}
