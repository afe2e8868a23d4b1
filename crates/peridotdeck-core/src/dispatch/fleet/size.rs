//! How many nodes there are, and what this node may conclude from it.

use std::{cmp::Ordering, time::Duration};

use super::{Fleet, Peer, STARTUP};
use crate::id::Time;

/// Time that a starting node needs to hear from the peers of its data centre.
const DISCOVERY: Duration = Duration::from_millis(600);

impl Fleet {
    /// Returns whether this node may be cut off from other live nodes of its data centre.
    ///
    /// Those might then make the same decisions without knowing of this node. It is assumed below
    /// half of the recent size of the data centre, and shortly after the start.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        let here = self.live_nodes(self.data_centre, now).len();
        2 * here < self.recent_local_size() || now.saturating_sub(self.started) < DISCOVERY
    }

    /// Returns the fraction that this node's part of its data centre may spend of what belongs to
    /// the whole data centre.
    ///
    /// Other parts may be cut off and spend at the same time. A majority spends everything, a half
    /// spends a half. All minorities together spend a tenth at most, a node that has just started
    /// nothing, and one that has found none of its seeds a half.
    #[must_use]
    pub fn majority_fraction(&self, now: Time) -> f64 {
        /// Fraction that minorities would spend if they were the whole data centre.
        const MINORITY_FRACTION: f64 = 0.2;
        if self.leaving || now.saturating_sub(self.started) < DISCOVERY {
            return 0.0;
        }
        let was_heard = |peer: &Peer| peer.incarnation != 0;
        if !self.seeds.is_empty() && !self.peers.iter().any(was_heard) {
            return 0.5;
        }
        let here = self.live_nodes(self.data_centre, now).len();
        let most = self.recent_local_size().max(here);
        match (2 * here).cmp(&most) {
            Ordering::Greater => 1.0,
            Ordering::Equal => 0.5,
            Ordering::Less => MINORITY_FRACTION * here as f64 / most as f64,
        }
    }

    /// Returns whether all nodes that this data centre had lately are in touch with this one.
    #[must_use]
    pub fn is_complete(&self, now: Time) -> bool {
        self.live_nodes(self.data_centre, now).len() >= self.recent_local_size()
    }

    /// Returns the largest recent number of live nodes in this data centre.
    fn recent_local_size(&self) -> usize {
        let sizes = self.local_sizes.iter().map(|(_, size)| *size);
        sizes.max().unwrap_or(1)
    }

    /// Returns the largest recent number of live nodes in the fleet.
    ///
    /// A node that has just started knows few peers and assumes at least two nodes in each data
    /// centre.
    #[must_use]
    pub fn recent_size(&self, data_centres: usize, now: Time) -> usize {
        let seen = self.sizes.iter().map(|(_, size)| *size).max().unwrap_or(1);
        if now.saturating_sub(self.started) < STARTUP {
            seen.max(2 * data_centres)
        } else {
            seen
        }
    }
}
