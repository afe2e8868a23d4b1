//! Changes of belief for the log.

use std::time::Duration;

/// A change of what this node believes of an endpoint's speed.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The endpoint's lasting speed has changed, as far as decisions count it.
    Speed {
        /// Id of the endpoint.
        endpoint: String,
        /// Time to read prompts, as a multiple of the service's median.
        reading: f64,
        /// Time between events of streams, as a multiple of the service's median.
        step: f64,
    },
    /// A stall of the endpoint is over.
    Stall {
        /// Id of the endpoint.
        endpoint: String,
        /// Time that it has lasted.
        time: Duration,
        /// Time that stalls of the service last.
        usual: Duration,
    },
}
