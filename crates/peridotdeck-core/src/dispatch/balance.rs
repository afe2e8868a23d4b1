//! Even load on an old view of the endpoints' load.
//!
//! What a node knows of the load that others have placed is as old as their last heartbeat: tens of
//! milliseconds within a data centre, up to seconds beyond. Many nodes choose at the same moment, and
//! all that take the endpoint with the lowest score overrun it, until their heartbeats show it and
//! all turn to the next one. More heartbeats would cost more than they show.
//!
//! - [`Flow`] learns from the changes of the reports how many requests others place at a service in
//!   a second, and how soon those end;
//! - [`Correction`] adds to a report what others have probably placed since, and takes off what has
//!   probably ended;
//! - [`Draw`] chooses among the endpoints whose lead may be due to what the view misses.
//!
//! A node's own requests are known exactly and are not corrected. `docs/design/BALANCE.md` weighs
//! other ways.

mod correction;
mod draw;
mod flow;
mod table;

pub use correction::Correction;
pub use draw::{Choice, Draw};
pub use flow::Flow;
pub use table::Table;

use std::time::Duration;

/// Time in which the weight of what was learnt from reports falls to 1/e.
const MEMORY: Duration = Duration::from_secs(2);
