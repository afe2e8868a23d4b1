//! Traits for the source of a site's configuration and endpoint list.

use std::{sync::Arc, time::Duration};

use peridotdeck_core::dispatch::{
    registry::{Area, Position, Report},
    stream::Past,
};
use peridotdeck_io::budget::Budget;

/// Receiver of a publisher's reports, which the node implements.
pub trait Sink: Send + Sync + 'static {
    /// Reports published facts.
    fn report(&self, report: Report);

    /// Reports the latest changes of the endpoint list, oldest first, also those of before the last read.
    fn report_history(&self, changes: Vec<Past>);

    /// Reports that a read of an area failed, with the cause for the log.
    fn report_failure(&self, area: Area, cause: &str);

    /// Reports that a read of an area succeeded, which ends a series of failures.
    fn report_recovery(&self, area: Area);

    /// Returns the shortest time between two watches that find changes.
    ///
    /// It is none if this node should not watch the publisher, but fetch changes from its peers.
    fn watch_interval(&self) -> Option<Duration>;

    /// Returns the budget of what the node keeps, on which the bodies of the publisher draw.
    fn memory(&self) -> Budget;

    /// Returns the newest position of an area that the node has, from the publisher or from a peer.
    fn position(&self, area: Area) -> Position;
}

/// Source of a site's configuration and endpoint list.
pub trait Publisher: Clone + Send + Sync + 'static {
    /// Reports the current state and every later change to the sink, until the process ends.
    fn follow<S: Sink>(self, sink: Arc<S>) -> impl Future<Output = ()> + Send;

    /// Reports the changes of an area since the sink's position, without waiting for any.
    ///
    /// Returns the cause if they cannot be read.
    fn catch_up<S: Sink>(
        &self,
        area: Area,
        sink: Arc<S>,
    ) -> impl Future<Output = Result<(), String>> + Send;

    /// Reports the changes of the endpoint list that the publisher still keeps.
    ///
    /// Returns the cause if they cannot be read.
    fn read_history<S: Sink>(
        &self,
        sink: Arc<S>,
    ) -> impl Future<Output = Result<(), String>> + Send;
}
