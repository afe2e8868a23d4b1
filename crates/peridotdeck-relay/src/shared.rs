//! State that all tasks of a node share.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use peridotdeck_core::dispatch::{
    Dispatcher, Key, Node,
    attempt::Attempt,
    detour::{self, Change},
    rate::News,
    registry::{self, Area, Endpoint, Position, Report},
    stream::Past,
};
use peridotdeck_io::{budget::Budget, connections::Connections};

use crate::{
    Ingress, clock,
    ingress::Notice,
    metrics::Metrics,
    pool::Pool,
    publisher::Sink,
    server::{Activity, Answers},
};

/// Number of things that are in progress.
#[derive(Clone, Debug, Default)]
pub struct Count(Arc<AtomicU32>);

impl Count {
    /// Counts one more until the guard is dropped.
    pub(crate) fn begin(&self) -> Counted {
        self.0.fetch_add(1, Ordering::Relaxed);
        Counted(self.clone())
    }

    /// Returns the number of those in progress.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// One thing in progress, which is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Counted(Count);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Dispatcher, connections and metrics of one node.
#[derive(Debug)]
pub struct Shared<I> {
    /// The site's protocol towards callers and endpoints.
    pub ingress: I,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// Bytes that all requests and answers may keep together.
    pub memory: Budget,
    /// Answers in progress on callers' connections.
    pub answers: Arc<Answers>,
    /// Callers' connections that are open.
    pub connections: Arc<Connections<Activity>>,
    /// Number of requests in progress.
    pub open_requests: Count,
    /// Number of requests whose bodies are being read.
    pub unread_requests: Count,
    /// Channel that is closed at the end of the grace period.
    ending: (Sender<()>, Receiver<()>),
    dispatcher: Mutex<Dispatcher>,
    /// Number of connections to endpoints that are open for peers.
    pub tunnels: Count,
    /// Address of this node, by which peers know it.
    pub node: Node,
    /// Port at which all nodes serve their peers.
    pub control_port: u16,
    /// Failed reads of each area since its last successful read.
    failure_counts: [AtomicU32; 2],
}

impl<I: Ingress> Shared<I> {
    /// Creates the state of a node that has not served a request yet.
    #[must_use]
    pub fn new(
        ingress: I,
        dispatcher: Dispatcher,
        node: Node,
        control_port: u16,
        memory: Budget,
        connections: Connections<Activity>,
    ) -> Self {
        let connections = Arc::new(connections);
        Self {
            ingress,
            pool: Pool::new(Arc::clone(&connections)),
            metrics: Metrics::new(),
            memory,
            answers: Arc::default(),
            connections,
            open_requests: Count::default(),
            unread_requests: Count::default(),
            ending: async_channel::bounded(1),
            tunnels: Count::default(),
            node,
            control_port,
            dispatcher: Mutex::new(dispatcher),
            failure_counts: Default::default(),
        }
    }

    /// Locks the dispatcher. The guard must not be held across an `await`.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the requests whose answers have not begun, because the grace period is over.
    pub fn end_requests(&self) {
        self.ending.0.close();
    }

    /// Waits until requests whose answers have not begun are to end.
    pub(crate) async fn requests_end(&self) {
        // Nothing is ever sent; an error means that the channel was closed.
        let _ = self.ending.1.recv().await;
    }

    /// Records that an idle connection to an endpoint broke, so the endpoint may be down.
    pub fn suspect(&self, key: Key) {
        log::info!("event=idle_connection_broke endpoint_key={key:08x}");
        self.dispatcher().suspect(key, clock::now());
    }

    /// Records what an answer's head says of its endpoint.
    ///
    /// `id` is the id of the answered request.
    pub fn note_endpoint(&self, attempt: &Attempt, id: &str, notice: Notice) {
        let (key, now) = (attempt.key(), clock::now());
        let news = self.dispatcher().record_terms(attempt, notice.terms, now);
        if let Some(news) = news {
            log_terms(news, id);
        }
        if notice.leaving && self.dispatcher().record_departure(key, now) {
            log::info!("event=endpoint_departing endpoint_key={key:08x} id={id}");
        }
        if let Some(time) = notice.pause {
            log::info!(
                "event=endpoint_paused endpoint_key={key:08x} id={id} pause_ms={} detour={}",
                time.as_millis(),
                detour_text(attempt.detour()),
            );
            self.dispatcher().pause_path(attempt, time, now);
        }
    }

    /// Logs a change and closes the connections to removed endpoints.
    ///
    /// `source` is logged as the origin of the change.
    pub fn handle_change(&self, change: &registry::Change, source: &str) {
        if let Some(version) = change.version {
            log::info!("event=config_adopted version={version} source={source}");
            self.log_regions();
            self.metrics.set_config_version(version);
        }
        for data_centre in &change.closed {
            log::info!("event=data_centre_closed place={data_centre} source={source}");
        }
        for data_centre in &change.opened {
            log::info!("event=data_centre_opened place={data_centre} source={source}");
        }
        for endpoint in &change.updated {
            log_endpoint("endpoint_updated", endpoint, source);
        }
        for endpoint in &change.removed {
            log_endpoint("endpoint_removed", endpoint, source);
            self.pool.close(endpoint.key());
        }
    }

    /// Logs which routes and organisations of a new configuration are bound to regions.
    fn log_regions(&self) {
        /// Most lines for one version.
        const MAX_LINES: usize = 16;
        let Some(config) = self.dispatcher().registry().config().cloned() else {
            return;
        };
        let routes = config.routes.iter();
        let routes = routes.map(|route| ("route", &route.name, &route.regions));
        let organisations = config.organisations.iter();
        let organisations =
            organisations.map(|owner| ("organisation", &owner.name, &owner.regions));
        let mut bound = routes
            .chain(organisations)
            .filter(|(.., regions)| !regions.is_empty());
        for (kind, name, regions) in bound.by_ref().take(MAX_LINES) {
            log::info!(
                "event=regions_adopted version={} {kind}={name} regions={}",
                config.version,
                regions.join("+"),
            );
        }
        let omitted = bound.count();
        if omitted > 0 {
            log::info!(
                "event=regions_omitted version={} count={omitted}",
                config.version
            );
        }
    }

    fn failure_count(&self, area: Area) -> &AtomicU32 {
        match area {
            Area::Policy => &self.failure_counts[0],
            Area::Roster => &self.failure_counts[1],
        }
    }
}

/// Logs a change of what an endpoint is believed to take, and where it was learned.
pub(crate) fn log_terms(news: News, source: &str) {
    let (before, now) = (news.before, news.now);
    if before.rate != now.rate {
        log::info!(
            "event=endpoint_rate endpoint_key={:08x} rate={} before={} source={source}",
            news.endpoint,
            text(now.rate),
            text(before.rate),
        );
    }
    if before.rejections != now.rejections {
        log::info!(
            "event=endpoint_brittle endpoint_key={:08x} rejections={} before={} source={source}",
            news.endpoint,
            text(now.rejections),
            text(before.rejections),
        );
    }
}

/// Returns a number that an endpoint may name, or `none`.
fn text(number: Option<impl ToString>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// Returns the peer through which a request is sent, or `none` for the own path.
pub(crate) fn detour_text(peer: Option<Node>) -> String {
    peer.map_or_else(|| "none".to_owned(), |peer| peer.to_string())
}

/// Logs a change of the path that this node uses to an endpoint.
pub(crate) fn log_path(news: detour::News) {
    let key = news.endpoint;
    match news.change {
        Change::Lost => log::info!("event=path_lost endpoint_key={key:08x}"),
        Change::Down => log::info!("event=endpoint_unreached endpoint_key={key:08x}"),
        Change::Detour(peer) => {
            log::info!("event=detour_started endpoint_key={key:08x} peer={peer}");
        }
        Change::DetourEnded => log::info!("event=detour_ended endpoint_key={key:08x}"),
        Change::Regained => log::info!("event=path_regained endpoint_key={key:08x}"),
    }
}

fn log_endpoint(event: &str, endpoint: &Endpoint, source: &str) {
    let Endpoint {
        id,
        born,
        service,
        version,
        address,
        data_centre,
        draining,
        cold,
        ..
    } = endpoint;
    let address: SocketAddrV4 = *address;
    log::info!(
        "event={event} endpoint={id} born={born} key={:08x} service={service} software={version} \
         address={address} \
         place={data_centre} draining={draining} cold_ms={} source={source}",
        endpoint.key(),
        cold.as_millis()
    );
}

impl<I: Ingress> Sink for Shared<I> {
    fn report(&self, report: Report) {
        let change = self.dispatcher().apply_report(report, clock::now());
        self.handle_change(&change, "publisher");
    }

    fn report_history(&self, changes: Vec<Past>) {
        let mut dispatcher = self.dispatcher();
        dispatcher.record_history(changes, clock::now());
    }

    fn report_failure(&self, area: Area, cause: &str) {
        let count = self.failure_count(area).fetch_add(1, Ordering::Relaxed);
        if count == 0 {
            log::warn!("event=publisher_lost area={area} cause=\"{cause}\"");
        }
        self.metrics.count_publisher_failure(area.into());
        self.dispatcher().note_publisher_failure(clock::now());
    }

    fn report_recovery(&self, area: Area) {
        let failures = self.failure_count(area).swap(0, Ordering::Relaxed);
        if failures > 0 {
            log::info!("event=publisher_regained area={area} failures={failures}");
        }
    }

    fn watch_interval(&self) -> Option<Duration> {
        self.dispatcher().watch_interval(clock::now())
    }

    fn memory(&self) -> Budget {
        self.memory.clone()
    }

    fn position(&self, area: Area) -> Position {
        self.dispatcher().registry().progress(area).read
    }
}
