//! What operators see on `/metrics`.

use std::time::Duration;

use peridotdeck_core::{Node, request::Refusal};
use peridotdeck_wire::Outcome;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds in seconds around interactive targets.
const FIRST_TOKEN_BOUNDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 1.0, 2.0, 5.0];
/// Upper bounds in seconds around the 35 ms target.
const GAP_BOUNDS: [f64; 8] = [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.5];
/// Upper bounds in seconds for whole answers.
const WHOLE_BOUNDS: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0];

/// Labels of everything that concerns a caller.
const LABELS: [&str; 2] = ["class", "organisation"];

/// All series of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    first_token: HistogramVec,
    gap: HistogramVec,
    whole: HistogramVec,
    attained: IntCounterVec,
    refused: IntCounterVec,
    attempts: IntCounterVec,
    tokens: IntCounterVec,
    state: IntGaugeVec,
    messages: IntCounterVec,
    targets: GaugeVec,
}

/// Latencies of one finished request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// From arrival to the first token.
    pub time_to_first_token: Option<Duration>,
    /// Mean gap between tokens.
    pub inter_token_latency: Option<Duration>,
    /// From arrival to the end.
    pub duration: Duration,
    /// Whether every target of the class was met.
    pub meets_targets: bool,
}

impl Metrics {
    /// Registers all series.
    ///
    /// # Panics
    /// If two series share a name, which is a fault of this program.
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
            first_token: histogram(
                "peridotdeck_first_token_seconds",
                "From arrival to the first token",
                &FIRST_TOKEN_BOUNDS,
            ),
            gap: histogram(
                "peridotdeck_token_gap_seconds",
                "Mean gap between tokens",
                &GAP_BOUNDS,
            ),
            whole: histogram(
                "peridotdeck_answer_seconds",
                "From arrival to the end of the answer",
                &WHOLE_BOUNDS,
            ),
            attained: counter(
                "peridotdeck_answers_total",
                "Whole answers, by whether targets were met",
                &["class", "organisation", "attained"],
            ),
            refused: counter(
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
            messages: counter(
                "peridotdeck_peer_bytes_total",
                "Bytes of messages between routers",
                &["direction", "kind"],
            ),
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
        let series: [Box<dyn prometheus::core::Collector>; 10] = [
            Box::new(self.first_token.clone()),
            Box::new(self.gap.clone()),
            Box::new(self.whole.clone()),
            Box::new(self.attained.clone()),
            Box::new(self.refused.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.tokens.clone()),
            Box::new(self.state.clone()),
            Box::new(self.messages.clone()),
            Box::new(self.targets.clone()),
        ];
        for each in series {
            self.registry
                .register(each)
                .expect("each series is registered once");
        }
    }

    /// Counts a whole answer.
    pub fn count_answer(&self, class: &str, organisation: &str, sample: Sample) {
        let labels = [class, organisation];
        if let Some(first) = sample.time_to_first_token {
            self.first_token
                .with_label_values(&labels)
                .observe(first.as_secs_f64());
        }
        if let Some(gap) = sample.inter_token_latency {
            self.gap
                .with_label_values(&labels)
                .observe(gap.as_secs_f64());
        }
        self.whole
            .with_label_values(&labels)
            .observe(sample.duration.as_secs_f64());
        let attained = if sample.meets_targets { "yes" } else { "no" };
        self.attained
            .with_label_values(&[class, organisation, attained])
            .inc();
    }

    /// Counts a request that ended without a whole answer.
    pub fn count_refusal(&self, class: &str, organisation: &str, refusal: Refusal) {
        let (cause, verdict) = (refusal.cause.into(), refusal.verdict.into());
        self.refused
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

    /// Counts a message between routers.
    pub fn count_message(&self, direction: &str, kind: &str, bytes: usize) {
        self.messages
            .with_label_values(&[direction, kind])
            .inc_by(bytes as u64);
    }

    /// Returns the bytes of messages in one direction, by kind.
    #[must_use]
    pub fn message_bytes(&self, direction: &str) -> Vec<(String, u64)> {
        let families = prometheus::core::Collector::collect(&self.messages);
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

    /// Sets the gauges from the node's state and prints all series.
    #[must_use]
    pub fn render(&self, node: &Node) -> String {
        self.observe(node);
        let mut text = Vec::new();
        if let Err(cause) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_failed cause=\"{cause}\"");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    fn observe(&self, node: &Node) {
        let (desk, counts, drops) = (
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
            ("arrived", desk.arrived),
            ("retries", desk.retries),
            ("direct", desk.direct),
            ("owned_pools", node.pools().schedulers().len() as u64),
            ("granted", counts.granted),
            ("preempted", counts.preempted),
            ("shed_for_bulk", counts.shed_for_bulk),
            ("reservations", node.witness().len() as u64),
            ("dropped_unknown", drops.unknown),
            ("dropped_foreign", drops.foreign),
            ("dropped_stale", drops.stale),
            ("dropped_replayed", drops.replayed),
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
