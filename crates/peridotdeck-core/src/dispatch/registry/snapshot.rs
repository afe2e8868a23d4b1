//! What one node hands to another.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Area, Endpoint, Fact, Revision};
use crate::dispatch::config::Config;

/// The whole of one area, as one node hands it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Snapshot {
    /// Configuration and data centres taken out.
    Policy {
        /// Revisions of the area.
        revision: Revision,
        /// Configuration, if one was ever published.
        config: Option<Arc<Config>>,
        /// Data centres taken out.
        closed: Vec<String>,
    },
    /// All endpoints, or what has changed since a revision that the peer knows.
    Roster {
        /// Revisions of the area.
        revision: Revision,
        /// Whether the endpoints are all there are.
        whole: bool,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
        /// Those that have left, where not all are told.
        gone: Vec<String>,
        /// Those that have vanished and may come back, with the time that they have left for it.
        lapsing: Vec<(String, Duration)>,
    },
}

impl Snapshot {
    /// Returns the facts with the area, how new they are, whether they are all there is, and which
    /// endpoints may come back within what time.
    pub(super) fn into_facts(self) -> (Area, Revision, bool, Vec<Fact>, Vec<(String, Duration)>) {
        match self {
            Self::Policy {
                revision,
                config,
                closed,
            } => {
                let config = config.map(|config| Fact::Config(Arc::unwrap_or_clone(config)));
                let closed = closed.into_iter().map(Fact::Closed);
                let facts = config.into_iter().chain(closed).collect();
                (Area::Policy, revision, true, facts, Vec::new())
            }
            Self::Roster {
                revision,
                whole,
                endpoints,
                gone,
                lapsing,
            } => {
                let listed = endpoints.into_iter().map(Fact::Endpoint);
                let gone = gone.into_iter().map(Fact::Gone);
                let facts = listed.chain(gone).collect();
                (Area::Roster, revision, whole, facts, lapsing)
            }
        }
    }
}
