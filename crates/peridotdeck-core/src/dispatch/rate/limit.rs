//! What an endpoint is believed to take.

use crate::id::Time;

/// What an endpoint in need says in its answers about the requests that it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Requests per second from all nodes together; none if the endpoint names no rate.
    pub rate: Option<f64>,
    /// Rejections for want of room in a second that it survives; none if it is not brittle.
    pub rejections: Option<u32>,
}

impl Terms {
    /// Returns whether the endpoint says that it is in need.
    #[must_use]
    pub fn is_any(&self) -> bool {
        *self != Self::default()
    }
}

/// What an endpoint last said of the requests that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// What it said.
    pub terms: Terms,
    /// Time at which the answer that says so arrived, at this node or at a peer.
    pub observed: Time,
}
