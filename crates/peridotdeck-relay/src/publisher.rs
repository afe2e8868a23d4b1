//! Where a site publishes its configuration and its endpoints.

use std::sync::Arc;

use peridotdeck_core::dispatch::registry::{Area, Report};

/// What a publisher tells the node.
pub trait Sink: Send + Sync + 'static {
    /// Reports facts.
    fn report(&self, report: Report);

    /// Reports that an area cannot be read, and why.
    fn report_failure(&self, area: Area, cause: &str);

    /// Reports that an area can be read again.
    fn report_recovery(&self, area: Area);

    /// Returns whether the node wants to read the source itself; else it learns from peers.
    fn should_watch(&self) -> bool;

    /// Returns the newest revision of an area that the node knows, by any way.
    fn revision(&self, area: Area) -> u64;
}

/// A source of configuration and endpoints.
pub trait Publisher: Send + Sync + 'static {
    /// Follows the source for as long as the process lives.
    fn follow<S: Sink>(self, sink: Arc<S>) -> impl Future<Output = ()> + Send;
}
