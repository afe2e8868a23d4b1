//! What all tasks of a node share.

use std::{
    net::SocketAddrV4,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use peridotdeck_core::dispatch::{
    Dispatcher, Key,
    registry::{Area, Change, Endpoint, Report},
};

use crate::{Ingress, clock, metrics::Metrics, pool::Pool, publisher::Sink};

/// Decisions, connections and figures of one node.
#[derive(Debug)]
pub struct Shared<I> {
    /// What the site speaks.
    pub ingress: I,
    /// Kept connections to endpoints.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests in progress.
    pub open: AtomicU32,
    dispatcher: Mutex<Dispatcher>,
    troubled: [AtomicU32; 2],
}

impl<I: Ingress> Shared<I> {
    /// Puts the parts together.
    #[must_use]
    pub fn new(ingress: I, dispatcher: Dispatcher) -> Self {
        Self {
            ingress,
            pool: Pool::default(),
            metrics: Metrics::new(),
            open: AtomicU32::new(0),
            dispatcher: Mutex::new(dispatcher),
            troubled: Default::default(),
        }
    }

    /// Returns the decisions; the guard is never held across an await.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that an idle connection to an endpoint broke.
    pub fn suspect(&self, key: Key) {
        log::info!("event=idle_connection_broke endpoint_key={key:08x}");
        self.dispatcher().suspect(key, clock::now());
    }

    /// Logs a change and closes what it makes useless.
    pub fn note_change(&self, change: &Change, source: &str) {
        if let Some(version) = change.version {
            log::info!("event=config_adopted version={version} source={source}");
            self.metrics.adopted(version);
        }
        for place in &change.closed {
            log::info!("event=data_centre_closed place={place} source={source}");
        }
        for place in &change.opened {
            log::info!("event=data_centre_opened place={place} source={source}");
        }
        for endpoint in &change.updated {
            log_endpoint("endpoint_updated", endpoint, source);
        }
        for endpoint in &change.removed {
            self.note_removed(endpoint, source);
        }
    }

    /// Logs that an endpoint left the list and closes its connections.
    pub fn note_removed(&self, endpoint: &Endpoint, source: &str) {
        log_endpoint("endpoint_removed", endpoint, source);
        self.pool.forget(endpoint.key());
    }

    fn area(&self, area: Area) -> &AtomicU32 {
        match area {
            Area::Policy => &self.troubled[0],
            Area::Roster => &self.troubled[1],
        }
    }
}

fn log_endpoint(event: &str, endpoint: &Endpoint, source: &str) {
    let Endpoint {
        id,
        born,
        service,
        address,
        data_centre,
        draining,
        cold,
        ..
    } = endpoint;
    let address: SocketAddrV4 = *address;
    log::info!(
        "event={event} endpoint={id} born={born} key={:08x} service={service} address={address} \
         place={data_centre} draining={draining} cold_ms={} source={source}",
        endpoint.key(),
        cold.as_millis()
    );
}

impl<I: Ingress> Sink for Shared<I> {
    fn report(&self, report: Report) {
        let change = self.dispatcher().apply_report(report, clock::now());
        self.note_change(&change, "publisher");
    }

    fn trouble(&self, area: Area, cause: &str) {
        let count = self.area(area).fetch_add(1, Ordering::Relaxed);
        if count == 0 {
            log::warn!("event=publisher_lost area={area} cause=\"{cause}\"");
        }
        self.metrics.publisher_failed(area.into());
        self.dispatcher().note_publisher_failure(clock::now());
    }

    fn recovered(&self, area: Area) {
        let failures = self.area(area).swap(0, Ordering::Relaxed);
        if failures > 0 {
            log::info!("event=publisher_regained area={area} failures={failures}");
        }
    }

    fn is_reading(&self) -> bool {
        self.dispatcher().is_watcher(clock::now())
    }

    fn revision(&self, area: Area) -> u64 {
        self.dispatcher().registry().revision(area).read
    }
}
