//! The behaviour of an engine.

use serde::{Deserialize, Serialize};

/// Behaviour of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Setting {
    /// Name of the model.
    pub model: String,
    /// Seed of jitter and event gaps.
    pub seed: u64,
    /// Requests that run at one time when warm.
    pub slots: u32,
    /// Requests that a cold engine bears; it bears one more for each that it finishes.
    pub cold_slots: u32,
    /// Whether it starts cold.
    pub starts_cold: bool,
    /// Prefill time per prompt token in microseconds.
    pub prefill_us: u32,
    /// Time between tokens of a lone request in microseconds.
    pub step_us: u32,
    /// Prefixes kept in the cache.
    pub cache: usize,
    /// Age of a load report in milliseconds.
    pub report_lag: u32,
    /// Time from a crash to the cold restart in milliseconds.
    pub restart: u32,
    /// Whether it refuses an order with an old fencing number.
    pub fences: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            model: "model".to_owned(),
            seed: 1,
            slots: 8,
            cold_slots: 2,
            starts_cold: false,
            prefill_us: 300,
            step_us: 8_000,
            cache: 32,
            report_lag: 500,
            restart: 2_000,
            fences: false,
        }
    }
}
