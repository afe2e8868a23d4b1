//! Metrics of a node, in the text format of Prometheus.

use std::time::Duration;

use peridotdeck_core::dispatch::attempt::Assignment;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets for latencies, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0];

/// Upper bounds of the histogram buckets for the age of reports, in seconds.
const AGE_BUCKETS_S: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 4.0];

/// All metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    waits: IntCounterVec,
    first_answer: HistogramVec,
    whole_answer: HistogramVec,
    attempts: IntCounterVec,
    dials: IntCounterVec,
    placements: IntCounterVec,
    view_age: Histogram,
    detours: IntCounterVec,
    judged_ends: IntCounterVec,
    unnamed_answers: IntCounter,
    region_denials: IntCounter,
    publisher_failures: IntCounterVec,
    peer_messages: IntCounterVec,
    state: IntGaugeVec,
    organisations: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    /// Panics if a name is invalid or used twice, which is a bug in this function.
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
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
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
        let waits = counter(
            "peridotdeck_waits_total",
            "Waits at the node by cause",
            &["class", "cause"],
        );
        let first_answer = histogram(
            "peridotdeck_first_seconds",
            "From arrival to the first part of the answer",
        );
        let whole_answer = histogram(
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
        let placements = counter(
            "peridotdeck_placements_total",
            "Placements on reported load, by whether it was corrected by its age and one was drawn",
            &["corrected", "drawn"],
        );
        let view_age = register_view_age(&registry);
        let detours = counter(
            "peridotdeck_detours_total",
            "Connections to endpoints through peers by whether they were opened",
            &["opened"],
        );
        let judged_ends = counter(
            "peridotdeck_judged_ends_total",
            "Verdicts on answers without framing, and the connections that brought them",
            &["verdict", "by"],
        );
        let unnamed_answers = register_unnamed_answers(&registry);
        let region_denials = register_region_denials(&registry);
        let publisher_failures = counter(
            "peridotdeck_publisher_failures_total",
            "Failed reads of what is published",
            &["area"],
        );
        let peer_messages = counter(
            "peridotdeck_peer_messages_total",
            "Messages between nodes",
            &["kind"],
        );
        let state = gauge(&registry, "peridotdeck_state", "What the node knows", "of");
        let organisations = gauge(
            &registry,
            "peridotdeck_organisation_permille",
            "Part of the recent tokens that the heaviest organisations have used",
            "organisation",
        );
        Self {
            registry,
            requests,
            waits,
            first_answer,
            whole_answer,
            attempts,
            dials,
            placements,
            view_age,
            detours,
            judged_ends,
            unnamed_answers,
            region_denials,
            publisher_failures,
            peer_messages,
            state,
            organisations,
        }
    }

    /// Counts a request by class and outcome, when it ends.
    pub fn count_request(&self, class: &str, outcome: &str) {
        self.requests.with_label_values(&[class, outcome]).inc();
    }

    /// Counts a request that begins to wait at the node, or waits for another cause than before.
    pub fn count_wait(&self, class: &str, cause: &str) {
        self.waits.with_label_values(&[class, cause]).inc();
    }

    /// Sets the parts, from 0 to 1, of the organisations that have used the most tokens lately.
    pub fn set_organisations(&self, heaviest: &[(&str, f64)]) {
        self.organisations.reset();
        for (organisation, part) in heaviest {
            let permille = (part * 1e3).round() as i64;
            self.organisations
                .with_label_values(&[organisation])
                .set(permille);
        }
    }

    /// Records the time from a request's arrival to the first part of its answer.
    pub fn observe_first_answer(&self, class: &str, organisation: &str, time: Duration) {
        let series = self.first_answer.with_label_values(&[class, organisation]);
        series.observe(time.as_secs_f64());
    }

    /// Records the time from a request's arrival to the end of its answer.
    pub fn observe_whole_answer(&self, class: &str, organisation: &str, time: Duration) {
        let series = self.whole_answer.with_label_values(&[class, organisation]);
        series.observe(time.as_secs_f64());
    }

    /// Counts an attempt by service and by how it ended.
    pub fn count_attempt(&self, service: &str, end: &str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Counts a placement, by how the choice was made, and records the age of the reports.
    ///
    /// It does not count where reports are taken as they are.
    pub fn count_placement(&self, assignment: &Assignment) {
        if assignment.candidates == 0 {
            return;
        }
        let label = |holds: bool| if holds { "yes" } else { "no" };
        let corrected = label(assignment.corrected);
        let drawn = label(assignment.candidates > 1);
        self.placements.with_label_values(&[corrected, drawn]).inc();
        self.view_age.observe(assignment.view_age.as_secs_f64());
    }

    /// Counts an attempt to connect to an endpoint, by whether it was accepted.
    pub fn count_dial(&self, accepted: bool) {
        let label = if accepted { "yes" } else { "no" };
        self.dials.with_label_values(&[label]).inc();
    }

    /// Counts a connection to an endpoint through a peer that was opened or not.
    pub fn count_detour(&self, opened: bool) {
        let label = if opened { "yes" } else { "no" };
        self.detours.with_label_values(&[label]).inc();
    }

    /// Counts a verdict on the end of an answer without framing, and the connection that brought it.
    pub fn count_judged_end(&self, verdict: &str, by: &str) {
        self.judged_ends.with_label_values(&[verdict, by]).inc();
    }

    /// Counts an answer without the request's id, whose connection is closed.
    pub fn count_unnamed_answer(&self) {
        self.unnamed_answers.inc();
    }

    /// Counts an attempt that was not written, since the regions in force did not allow it.
    pub fn count_region_denial(&self) {
        self.region_denials.inc();
    }

    /// Counts a failed read of an area from the publisher.
    pub fn count_publisher_failure(&self, area: &str) {
        self.publisher_failures.with_label_values(&[area]).inc();
    }

    /// Counts messages between nodes by kind.
    pub fn count_peer_messages(&self, kind: &str, count: u64) {
        self.peer_messages.with_label_values(&[kind]).inc_by(count);
    }

    /// Sets the gauge of the configuration version in force.
    pub fn set_config_version(&self, version: u64) {
        self.set_state("config_version", version);
    }

    /// Sets a gauge of the node's state. `quantity` is the label that says which one.
    pub fn set_state(&self, quantity: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.state.with_label_values(&[quantity]).set(value);
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    /// Returns an error if a metric cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Registers the counter of answers that do not name their requests.
fn register_unnamed_answers(registry: &Registry) -> IntCounter {
    register_count(
        registry,
        "peridotdeck_unnamed_answers_total",
        "Answers of endpoints without the request's id, whose connections were closed",
    )
}

/// Registers the counter of attempts that were not written for their regions.
fn register_region_denials(registry: &Registry) -> IntCounter {
    register_count(
        registry,
        "peridotdeck_region_denials_total",
        "Attempts that were not written, since the regions in force did not allow them",
    )
}

/// Registers a counter without labels.
fn register_count(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("valid name");
    registry
        .register(Box::new(counter.clone()))
        .expect("unique name");
    counter
}

/// Registers the histogram of the age of reports on which placements are based.
fn register_view_age(registry: &Registry) -> Histogram {
    let options = HistogramOpts::new(
        "peridotdeck_view_age_seconds",
        "Age of the load that others have reported at the endpoint of a placement",
    );
    let options = options.buckets(AGE_BUCKETS_S.to_vec());
    let series = Histogram::with_opts(options).expect("valid name");
    registry
        .register(Box::new(series.clone()))
        .expect("unique name");
    series
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Registers a gauge with one label.
fn gauge(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let series = IntGaugeVec::new(Opts::new(name, help), &[label]).expect("valid name");
    registry
        .register(Box::new(series.clone()))
        .expect("unique name");
    series
}
