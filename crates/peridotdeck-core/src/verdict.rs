//! Whether a request may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What the router can vouch for when it ends a request without a whole answer.
///
/// A caller may send a request again without harm only after [`Verdict::NotRun`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// No endpoint ran any of it.
    NotRun,
    /// An endpoint received it and its fate is unknown.
    MayHaveRun,
    /// It ran, although its answer cannot be given.
    Ran,
}
