//! The rate that an endpoint is believed to take.

use crate::id::Time;

/// What an endpoint last said of the rate that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second from all nodes together; none if the endpoint no longer names a rate.
    pub rate: Option<f64>,
    /// Time at which the answer that says so arrived, at this node or at a peer.
    pub observed: Time,
}
