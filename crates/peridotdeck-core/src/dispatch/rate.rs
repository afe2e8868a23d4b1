//! Rates that endpoints in need name, which all nodes spend together.
//!
//! An endpoint may name in its answers how many requests per second it takes from all nodes. The
//! belief in such a rate ([`Limit`]) travels with heartbeats. `docs/design/RATES.md` compares the
//! ways to keep the sum.

mod limit;
mod table;

pub use limit::Limit;
pub use table::{News, Table};
