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
    /// Priorities, fair shares, ramps and preemption; the product.
    #[default]
    Deadline,
    /// Baseline: each endpoint in turn, without queue or priority.
    RoundRobin,
    /// Baseline: the endpoint with the fewest requests, without queue or priority.
    LeastOutstanding,
}

impl Strategy {
    /// Returns whether the strategy is a baseline, which sends everything on at once.
    #[must_use]
    pub fn is_baseline(self) -> bool {
        self != Self::Deadline
    }
}
