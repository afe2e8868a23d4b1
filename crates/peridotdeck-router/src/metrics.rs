//! The Prometheus metrics that `/metrics` serves.

use std::time::Duration;

use peridotdeck_core::{Node, request::Refusal};
use peridotdeck_io::budget::Usage;
use peridotdeck_wire::Outcome;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Histogram bounds in seconds for the time to first token, around interactive targets.
const FIRST_TOKEN_BOUNDS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 1.0, 2.0, 5.0];
/// Histogram bounds in seconds for the inter-token latency, around the 35 ms target.
const TOKEN_LATENCY_BOUNDS_S: [f64; 8] = [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.5];
/// Histogram bounds in seconds for the duration of whole answers.
const DURATION_BOUNDS_S: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0];

/// Labels of the latency histograms.
const LABELS: [&str; 2] = ["class", "organisation"];

/// All metric series of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    time_to_first_token: HistogramVec,
    inter_token_latency: HistogramVec,
    duration: HistogramVec,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    tokens: IntCounterVec,
    state: IntGaugeVec,
    peer_bytes: IntCounterVec,
    limits: GaugeVec,
    targets: GaugeVec,
}

/// Latencies of one request that got a whole answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Time from arrival to the first token; `None` without a token.
    pub time_to_first_token: Option<Duration>,
    /// Mean inter-token latency; `None` with fewer than two tokens.
    pub inter_token_latency: Option<Duration>,
    /// Time from arrival to the end.
    pub duration: Duration,
    /// Whether the latencies meet every target of the class.
    pub meets_targets: bool,
}

impl Metrics {
    /// Creates and registers all series.
    ///
    /// # Panics
    /// If a name is invalid or two series share a name, which is a bug.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str, bounds: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            HistogramVec::new(options, &LABELS).expect("names are valid")
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("names are valid")
        };
        let metrics = Self {
            time_to_first_token: histogram(
                "peridotdeck_first_token_seconds",
                "From arrival to the first token",
                &FIRST_TOKEN_BOUNDS_S,
            ),
            inter_token_latency: histogram(
                "peridotdeck_token_gap_seconds",
                "Mean gap between tokens",
                &TOKEN_LATENCY_BOUNDS_S,
            ),
            duration: histogram(
                "peridotdeck_answer_seconds",
                "From arrival to the end of the answer",
                &DURATION_BOUNDS_S,
            ),
            answers: counter(
                "peridotdeck_answers_total",
                "Whole answers, by whether targets were met",
                &["class", "organisation", "attained"],
            ),
            refusals: counter(
                "peridotdeck_refusals_total",
                "Requests ended without a whole answer",
                &["class", "organisation", "cause", "verdict"],
            ),
            attempts: counter(
                "peridotdeck_attempts_total",
                "Attempts at endpoints",
                &["class", "outcome"],
            ),
            tokens: counter(
                "peridotdeck_tokens_total",
                "Output tokens delivered",
                &["class"],
            ),
            state: IntGaugeVec::new(Opts::new("peridotdeck_state", "State of the node"), &["of"])
                .expect("names are valid"),
            peer_bytes: counter(
                "peridotdeck_peer_bytes_total",
                "Bytes of messages between routers",
                &["direction", "kind"],
            ),
            limits: GaugeVec::new(
                Opts::new(
                    "peridotdeck_limit",
                    "This node's part in the limits of the heaviest organisations",
                ),
                &["organisation", "of"],
            )
            .expect("names are valid"),
            targets: GaugeVec::new(
                Opts::new(
                    "peridotdeck_target_seconds",
                    "Targets of the configuration in force",
                ),
                &["class", "target"],
            )
            .expect("names are valid"),
            registry,
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let series: [Box<dyn prometheus::core::Collector>; 11] = [
            Box::new(self.time_to_first_token.clone()),
            Box::new(self.inter_token_latency.clone()),
            Box::new(self.duration.clone()),
            Box::new(self.answers.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.tokens.clone()),
            Box::new(self.state.clone()),
            Box::new(self.peer_bytes.clone()),
            Box::new(self.limits.clone()),
            Box::new(self.targets.clone()),
        ];
        for collector in series {
            self.registry
                .register(collector)
                .expect("each series is registered once");
        }
    }

    /// Counts a whole answer and records its latencies.
    pub fn count_answer(&self, class: &str, organisation: &str, sample: Sample) {
        let labels = [class, organisation];
        if let Some(time) = sample.time_to_first_token {
            self.time_to_first_token
                .with_label_values(&labels)
                .observe(time.as_secs_f64());
        }
        if let Some(latency) = sample.inter_token_latency {
            self.inter_token_latency
                .with_label_values(&labels)
                .observe(latency.as_secs_f64());
        }
        self.duration
            .with_label_values(&labels)
            .observe(sample.duration.as_secs_f64());
        let attained = if sample.meets_targets { "yes" } else { "no" };
        self.answers
            .with_label_values(&[class, organisation, attained])
            .inc();
    }

    /// Counts a request that ended without a whole answer.
    pub fn count_refusal(&self, class: &str, organisation: &str, refusal: Refusal) {
        let (cause, verdict) = (refusal.cause.into(), refusal.verdict.into());
        self.refusals
            .with_label_values(&[class, organisation, cause, verdict])
            .inc();
    }

    /// Counts an attempt and the tokens that it delivered.
    pub fn count_attempt(&self, class: &str, outcome: Outcome, tokens: u32) {
        self.attempts
            .with_label_values(&[class, &outcome.to_string()])
            .inc();
        self.tokens
            .with_label_values(&[class])
            .inc_by(tokens.into());
    }

    /// Counts the bytes of a message between routers or of an endpoint's load report.
    pub fn count_message(&self, direction: &str, kind: &str, bytes: usize) {
        self.peer_bytes
            .with_label_values(&[direction, kind])
            .inc_by(bytes as u64);
    }

    /// Returns the bytes of messages in one direction (`in` or `out`), by kind.
    #[must_use]
    pub fn message_bytes(&self, direction: &str) -> Vec<(String, u64)> {
        let families = prometheus::core::Collector::collect(&self.peer_bytes);
        let metrics = families
            .iter()
            .flat_map(prometheus::proto::MetricFamily::get_metric);
        let label = |metric: &prometheus::proto::Metric, name: &str| {
            let found = metric.get_label().iter().find(|label| label.name() == name);
            found
                .map(|label| label.value().to_owned())
                .unwrap_or_default()
        };
        metrics
            .filter(|metric| label(metric, "direction") == direction)
            .map(|metric| {
                (
                    label(metric, "kind"),
                    metric.get_counter().get_value() as u64,
                )
            })
            .collect()
    }

    /// Sets the gauges from the node's state and the memory for bodies, and returns all series as text.
    #[must_use]
    pub fn render(&self, node: &Node, memory: Usage, now: Duration) -> String {
        self.set_gauges(node, memory);
        self.set_limits(node, now);
        let mut text = Vec::new();
        if let Err(cause) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_failed cause=\"{cause}\"");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Sets the gauges of the organisations with most demand, and drops those of others.
    fn set_limits(&self, node: &Node, now: Duration) {
        /// Most organisations that have series at one time.
        const MAX_ORGANISATIONS: usize = 16;
        self.limits.reset();
        let Some(shares) = node.request_table().shares() else {
            return;
        };
        for used in shares.heaviest(MAX_ORGANISATIONS, now) {
            let values = [
                ("share", used.share),
                ("demand_per_second", used.demand),
                ("in_progress", used.in_progress.into()),
                ("refused", used.refused as f64),
            ];
            for (of, value) in values {
                self.limits
                    .with_label_values(&[used.organisation.as_str(), of])
                    .set(value);
            }
        }
    }

    fn set_gauges(&self, node: &Node, memory: Usage) {
        let (requests, pools, drops) = (
            node.request_table().counts(),
            node.pools().counts(),
            node.drops(),
        );
        let values = [
            ("revision", node.config().revision()),
            ("rejected_revision", node.config().rejected_revision()),
            ("roster", node.view().vm_list_revision()),
            ("live_nodes", node.view().live_count() as u64),
            ("open_requests", node.request_table().flights().len() as u64),
            ("arrived", requests.arrived),
            ("retries", requests.retries),
            ("direct", requests.direct),
            ("owned_pools", node.pools().schedulers().len() as u64),
            ("granted", pools.granted),
            ("preempted", pools.preempted),
            ("shed_for_bulk", pools.shed_for_bulk),
            ("reservations", node.witness().len() as u64),
            ("dropped_unknown", drops.unknown),
            ("dropped_foreign", drops.foreign),
            ("dropped_stale", drops.stale),
            ("dropped_replayed", drops.replayed),
            ("memory_limit_bytes", memory.limit as u64),
            ("memory_used_bytes", memory.used as u64),
            ("memory_peak_bytes", memory.peak as u64),
            ("memory_denials", memory.denials),
        ];
        for (name, value) in values {
            self.state
                .with_label_values(&[name])
                .set(value.cast_signed());
        }
        let Some(snapshot) = node.snapshot() else {
            return;
        };
        for class in snapshot.classes() {
            let targets = [
                ("first_token", class.first_token_ms),
                ("token_gap", class.token_gap_ms),
                ("whole", class.whole_ms),
            ];
            for (target, ms) in targets {
                self.targets
                    .with_label_values(&[class.name.as_str(), target])
                    .set(f64::from(ms) / 1e3);
            }
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
