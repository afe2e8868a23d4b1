//! Whether a request that ended without a complete answer may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What the router guarantees about a request that it ends without a complete answer.
///
/// Only after [`Verdict::NotRun`] can a caller repeat any request without harm.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// No endpoint ran any part of the request.
    NotRun,
    /// An endpoint received the request, and whether it ran is unknown.
    MayHaveRun,
    /// The request ran, but its answer cannot be delivered.
    Ran,
}
