//! Counters and histograms, served as text.

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds in seconds for first answers and whole answers.
const BOUNDS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0];

/// All series of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    first: HistogramVec,
    whole: HistogramVec,
    attempts: IntCounterVec,
    dials: IntCounterVec,
    publisher: IntCounterVec,
    peers: IntCounterVec,
    state: IntGaugeVec,
}

impl Metrics {
    /// Registers all series.
    ///
    /// # Panics
    /// If two series share a name, which is a fault of this program.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let series = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
            registry
                .register(Box::new(series.clone()))
                .expect("unique name");
            series
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BOUNDS.to_vec());
            let series =
                HistogramVec::new(options, &["class", "organisation"]).expect("valid name");
            registry
                .register(Box::new(series.clone()))
                .expect("unique name");
            series
        };
        let requests = counter(
            "peridotdeck_requests_total",
            "Requests by outcome",
            &["class", "outcome"],
        );
        let first = histogram(
            "peridotdeck_first_seconds",
            "From arrival to the first part of the answer",
        );
        let whole = histogram(
            "peridotdeck_answer_seconds",
            "From arrival to the end of the answer",
        );
        let attempts = counter(
            "peridotdeck_attempts_total",
            "Attempts at endpoints by how they ended",
            &["service", "end"],
        );
        let dials = counter(
            "peridotdeck_dials_total",
            "Connections to endpoints by whether they were accepted",
            &["accepted"],
        );
        let publisher = counter(
            "peridotdeck_publisher_failures_total",
            "Failed reads of what is published",
            &["area"],
        );
        let peers = counter(
            "peridotdeck_peer_messages_total",
            "Messages between nodes",
            &["kind"],
        );
        let state = IntGaugeVec::new(
            Opts::new("peridotdeck_state", "What the node knows"),
            &["of"],
        )
        .expect("valid name");
        registry
            .register(Box::new(state.clone()))
            .expect("unique name");
        Self {
            registry,
            requests,
            first,
            whole,
            attempts,
            dials,
            publisher,
            peers,
            state,
        }
    }

    /// Counts the end of a request.
    pub fn count_request(&self, class: &str, outcome: &str) {
        self.requests.with_label_values(&[class, outcome]).inc();
    }

    /// Counts the time to the first part of an answer.
    pub fn observe_first_answer(&self, class: &str, organisation: &str, time: Duration) {
        let series = self.first.with_label_values(&[class, organisation]);
        series.observe(time.as_secs_f64());
    }

    /// Counts the time to the end of an answer.
    pub fn observe_whole_answer(&self, class: &str, organisation: &str, time: Duration) {
        let series = self.whole.with_label_values(&[class, organisation]);
        series.observe(time.as_secs_f64());
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&self, service: &str, end: &str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Counts a connection to an endpoint.
    pub fn count_dial(&self, accepted: bool) {
        let label = if accepted { "yes" } else { "no" };
        self.dials.with_label_values(&[label]).inc();
    }

    /// Counts a failed read of what is published.
    pub fn count_publisher_failure(&self, area: &str) {
        self.publisher.with_label_values(&[area]).inc();
    }

    /// Counts messages between nodes.
    pub fn count_peer_messages(&self, kind: &str, count: u64) {
        self.peers.with_label_values(&[kind]).inc_by(count);
    }

    /// Shows the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.set_state("config_version", version);
    }

    /// Shows a figure of the node's state.
    pub fn set_state(&self, of: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.state.with_label_values(&[of]).set(value);
    }

    /// Returns all series as text.
    ///
    /// # Errors
    /// If a series cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
