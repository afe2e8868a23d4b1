//! What transitions look at and what they produce.

use std::sync::Arc;

use peridotdeck_policy::Snapshot;
use peridotdeck_wire::Body;
use rand::rngs::SmallRng;

use crate::{Action, id, member::View};

/// What a transition looks at besides the flights.
#[derive(Debug)]
pub struct Context<'a> {
    /// Time of the event.
    pub now: id::Time,
    /// Peers and owners.
    pub view: &'a View,
    /// Configuration in force.
    pub snapshot: &'a Arc<Snapshot>,
    /// Seeded random numbers.
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

/// What transitions produce.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Requests to the shell.
    pub actions: Vec<Action>,
    /// Messages to nodes, this one included.
    pub messages: Vec<(id::Node, Body)>,
}

impl Outbox {
    /// Adds a message.
    pub fn send(&mut self, node: id::Node, body: impl Into<Body>) {
        self.messages.push((node, body.into()));
    }
}
