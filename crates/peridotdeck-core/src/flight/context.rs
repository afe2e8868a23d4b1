//! Inputs of a transition other than the request table.

use std::sync::Arc;

use peridotdeck_policy::Snapshot;
use rand::rngs::SmallRng;

use crate::{id, membership::View};

/// State of the node that a transition reads.
#[derive(Debug)]
pub struct Context<'a> {
    /// Time of the event.
    pub now: id::Time,
    /// Known peers and the owners of pools.
    pub view: &'a View,
    /// Configuration in force.
    pub snapshot: &'a Arc<Snapshot>,
    /// Seeded random number generator.
    pub rng: &'a mut SmallRng,
}

impl Context<'_> {
    /// Returns the node that schedules a pool now.
    #[must_use]
    pub fn owner(&self, pool: id::Pool) -> Option<id::Node> {
        self.snapshot
            .pool(pool)
            .and_then(|pool| self.view.owner(pool))
    }
}
