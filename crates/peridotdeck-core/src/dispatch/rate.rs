//! What endpoints in need say that they take, which all nodes share.
//!
//! An endpoint may name in its answers how many requests per second it takes from all nodes. The
//! belief in such a rate ([`Limit`]) travels with heartbeats. One node of the endpoint's data centre
//! shares the rate out ([`Ledger`]): nodes tell it what they could send, and it grants single
//! requests, the most urgent first. A node sends to the endpoint only what it has been granted
//! ([`Allowance`]), and everything else to other endpoints.
//!
//! An endpoint may also say that it is brittle: that it falls over if it has to reject too many
//! requests in a second. The same node then shares out its room ([`Room`]): single places, each for a
//! request in progress, in place of requests per second.
//!
//! `docs/design/RATES.md` compares the ways to keep the sum, and states its bound.

mod allowance;
mod ledger;
mod limit;
mod places;
mod room;
mod table;

pub use allowance::{Allowance, Demand};
pub use ledger::Ledger;
pub use limit::{Limit, Terms};
pub use places::Places;
pub use room::Room;
pub use table::{Entry, News, Table};

use std::time::Duration;

/// Span over which the use of a rate is reported.
pub const USE_WINDOW: Duration = Duration::from_secs(4);
