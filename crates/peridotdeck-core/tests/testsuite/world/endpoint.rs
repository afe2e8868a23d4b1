//! One endpoint, with what it names and what it got.

use std::time::Duration;

use peridotdeck_core::dispatch::registry;

pub struct Endpoint {
    pub info: registry::Endpoint,
    /// Requests per second that it names.
    pub rate: Option<f64>,
    /// Rejections in a second that it survives, if it says that it is brittle.
    pub brittle: Option<u32>,
    /// Requests beyond its slots that it lets wait.
    pub queue: usize,
    /// Times of its rejections, and of its falls.
    pub rejected: Vec<Duration>,
    pub falls: Vec<Duration>,
    /// Requests that it got: when, from which node, and their rank.
    pub got: Vec<(Duration, usize, u8)>,
}

impl Endpoint {
    /// Returns an endpoint that names nothing and lets any number wait.
    pub(super) fn new(info: registry::Endpoint) -> Self {
        Self {
            info,
            rate: None,
            brittle: None,
            queue: usize::MAX,
            rejected: Vec::new(),
            falls: Vec::new(),
            got: Vec::new(),
        }
    }
}
