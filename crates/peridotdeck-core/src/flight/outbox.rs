//! Output of transitions.

use peridotdeck_wire::Body;

use crate::{Action, id};

/// Actions and messages that transitions produce.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Actions for the shell to carry out.
    pub actions: Vec<Action>,
    /// Messages to nodes, including messages from this node to itself.
    pub messages: Vec<(id::Node, Body)>,
}

impl Outbox {
    /// Adds a message to a node.
    pub fn send(&mut self, node: id::Node, body: impl Into<Body>) {
        self.messages.push((node, body.into()));
    }
}
