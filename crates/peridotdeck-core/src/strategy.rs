//! The placement strategies that experiments compare.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// How pools queue and place requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Display,
    EnumString,
    VariantNames,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Strategy {
    /// Production strategy: priorities, fair shares, gradual warm-up and preemption.
    #[default]
    Deadline,
    /// Baseline: the endpoints in turn, without queue or priorities.
    RoundRobin,
    /// Baseline: the endpoint with the fewest requests, without queue or priorities.
    LeastOutstanding,
}

impl Strategy {
    /// Returns whether the strategy is a baseline, which forwards every request at once.
    #[must_use]
    pub fn is_baseline(self) -> bool {
        self != Self::Deadline
    }
}
