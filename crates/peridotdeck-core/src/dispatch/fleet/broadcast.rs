//! A heartbeat on its way.

use peridotdeck_wire::beat;

use crate::dispatch::Node;

/// A heartbeat and the peers that receive it.
#[derive(Clone, Debug)]
pub struct Broadcast {
    /// Peers that receive the heartbeat.
    pub receivers: Vec<Node>,
    /// The heartbeat.
    pub beat: beat::Beat,
}

impl Broadcast {
    /// Creates a heartbeat for one peer.
    #[must_use]
    pub fn to(node: Node, beat: beat::Beat) -> Self {
        Self {
            receivers: vec![node],
            beat,
        }
    }
}
