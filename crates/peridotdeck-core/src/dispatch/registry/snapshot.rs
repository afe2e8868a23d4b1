//! State of an area, as one node sends it to another.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Area, Endpoint, Fact, Progress};
use crate::dispatch::config::Config;

/// State of one area, or the changes that a peer lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Snapshot {
    /// Configuration and closed data centres.
    Policy {
        /// Positions of the area.
        progress: Progress,
        /// Configuration in force, if any.
        config: Option<Arc<Config>>,
        /// Names of the closed data centres.
        closed: Vec<String>,
    },
    /// All endpoints, or the changes since the revision that the peer knows.
    Roster {
        /// Positions of the area.
        progress: Progress,
        /// Whether the endpoints are the complete list.
        whole: bool,
        /// All endpoints, or those that were added or changed.
        endpoints: Vec<Endpoint>,
        /// Ids of removed endpoints, if the list is incremental.
        gone: Vec<String>,
        /// Ids of missing endpoints that may come back, with the time left until they are removed.
        lapsing: Vec<(String, Duration)>,
    },
}

impl Snapshot {
    /// Returns the area, its positions, whether the facts are complete, the facts, and the missing
    /// endpoints with the time left until they are removed.
    pub(super) fn into_facts(self) -> (Area, Progress, bool, Vec<Fact>, Vec<(String, Duration)>) {
        match self {
            Self::Policy {
                progress,
                config,
                closed,
            } => {
                let config = config.map(|config| Fact::Config(Arc::unwrap_or_clone(config)));
                let closed = closed.into_iter().map(Fact::Closed);
                let facts = config.into_iter().chain(closed).collect();
                (Area::Policy, progress, true, facts, Vec::new())
            }
            Self::Roster {
                progress,
                whole,
                endpoints,
                gone,
                lapsing,
            } => {
                let listed = endpoints.into_iter().map(Fact::Endpoint);
                let gone = gone.into_iter().map(Fact::Gone);
                let facts = listed.chain(gone).collect();
                (Area::Roster, progress, whole, facts, lapsing)
            }
        }
    }
}
