//! How an organisation's limits are divided between nodes.

use strum::{Display, EnumString, IntoStaticStr};

/// A way to divide an organisation's limits between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Division {
    /// Each live node has the same share.
    #[default]
    Equal,
    /// Shares follow recent demand.
    Demand,
}
