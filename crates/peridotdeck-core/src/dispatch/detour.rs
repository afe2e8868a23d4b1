//! Detours: connections to endpoints that lead through a peer.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::{Key, Node};
use crate::id::Time;

/// Most pauses that are remembered; beyond it the one that ends first is forgotten.
const MAX_PAUSES: usize = 64;

/// A search for a peer that reaches an endpoint, to which this node's own path is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Search {
    /// Key of the endpoint.
    pub key: Key,
    /// Peers that may reach the endpoint, the best first.
    pub peers: Vec<Node>,
}

/// Change of the path that this node uses to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// Key of the endpoint.
    pub endpoint: Key,
    /// What has changed.
    pub change: Change,
}

/// What has changed about a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The own path no longer opens connections.
    Lost,
    /// Neither the own path nor any asked peer opens connections.
    Down,
    /// Requests are sent through this peer.
    Detour(Node),
    /// The peer no longer reaches the endpoint, or is gone.
    DetourEnded,
    /// The own path is used again.
    Regained,
}

/// Reason why this node opens no connection to an endpoint for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denial {
    /// The caller is no node of the fleet.
    Foreign,
    /// This node is leaving.
    Leaving,
    /// This node lists no such endpoint.
    Unknown,
    /// This node cannot open connections to the endpoint either.
    Unreached,
    /// The endpoint has asked this node for no requests for a while.
    Paused,
}

/// Time for which an endpoint wants no requests over one node's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Node whose path it is.
    pub node: Node,
    /// Key of the endpoint.
    pub endpoint: Key,
    /// End of the pause.
    pub until: Time,
}

/// Pauses of nodes at endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    entries: Vec<Pause>,
}

impl Pauses {
    /// Adds or prolongs a pause.
    pub fn insert(&mut self, pause: Pause) {
        let is_same = |one: &&mut Pause| one.node == pause.node && one.endpoint == pause.endpoint;
        if let Some(known) = self.entries.iter_mut().find(is_same) {
            known.until = known.until.max(pause.until);
            return;
        }
        self.entries.push(pause);
        if self.entries.len() > MAX_PAUSES {
            self.entries.sort_unstable_by_key(|pause| pause.until);
            self.entries.remove(0);
        }
    }

    /// Returns whether an endpoint wants no requests over a node's path.
    #[must_use]
    pub fn contains(&self, node: Node, endpoint: Key, now: Time) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|pause| pause.node == node && pause.endpoint == endpoint && pause.until > now)
    }

    /// Returns the pauses with the time that is left of each, the longest first.
    pub fn left(&self, now: Time) -> Vec<(Pause, Duration)> {
        let left = |pause: &Pause| pause.until.saturating_sub(now);
        let open = self.entries.iter().filter(|pause| !left(pause).is_zero());
        let mut open: Vec<_> = open.map(|pause| (*pause, left(pause))).collect();
        open.sort_unstable_by_key(|(_, left)| std::cmp::Reverse(*left));
        open
    }

    /// Forgets the pauses that have ended.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|pause| pause.until > now);
    }
}
