//! What a node reports of itself.

use std::time::Duration;

use peridotdeck_wire::beat;

use crate::dispatch::{Key, endpoint::Load, registry::Position};

/// State that a node reports in its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Position of the last change of the configuration.
    pub policy: Position,
    /// Position of the last change of the endpoint list.
    pub roster: Position,
    /// Version of the configuration in force; 0 without one.
    pub version: u64,
    /// This node's load at each endpoint where it has any, sorted by key.
    pub loads: Vec<(Key, Load)>,
    /// Health of endpoints as this node has observed it.
    pub health: Vec<beat::Health>,
    /// Crashes attributed to requests or parts of prompts.
    pub strikes: Vec<beat::Strike>,
    /// Proofs that clear parts of prompts.
    pub proofs: Vec<beat::Proof>,
    /// Endpoints whose departure has become known recently.
    pub departures: Vec<Key>,
    /// Rates that endpoints name, or no longer name.
    pub rates: Vec<beat::Rate>,
    /// Whether endpoints of several software versions of one service were listed lately.
    pub mixed: bool,
    /// Time for which all versions have been known to this node, or to one that it has heard from.
    pub history: Duration,
    /// Endpoints to which this node cannot open connections, up to the number that is listed.
    pub unreached: Vec<Key>,
    /// Whether this node can open connections to less than half of its endpoints.
    pub cut_off: bool,
    /// Endpoints that want no requests over the path of a node for a while.
    pub pauses: Vec<beat::Pause>,
}
