//! What a node tells its peers of endpoints' speeds.

use serde::{Deserialize, Serialize};

use super::{Figure, Subject};

/// Figures of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Digest of the endpoint's id.
    pub subject: Subject,
    /// Time to read prompts, or to answer plain requests.
    pub reading: Figure,
    /// Time between the events of streams.
    pub step: Figure,
}

/// A stall that the sender sees at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StallReport {
    /// Digest of the endpoint's id.
    pub subject: Subject,
    /// Milliseconds since it began.
    pub age_ms: u16,
}

/// What goes with the heartbeats of one tick; a receiver can do without any of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Samples of the sender that it has not told of before.
    pub samples: Vec<Observation>,
    /// What the sender believes of some endpoints, for nodes that know less.
    pub beliefs: Vec<Observation>,
    /// Stalls that the sender sees.
    pub stalls: Vec<StallReport>,
}

impl Message {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty() && self.beliefs.is_empty() && self.stalls.is_empty()
    }
}
