//! The entry router: a shell of tasks around the decision core.
//!
//! - [`driver`]: one task that owns the [`peridotdeck_core::Node`] and carries out its actions;
//!   [`handle`]: the way to it;
//! - [`callers`]: the HTTP interface for callers, and [`request_task`]: the task of one request;
//! - [`attempt`]: one try at an endpoint, streamed or whole;
//! - [`peers`]: datagrams and JSON-RPC between routers;
//! - [`platform`]: watches of the configuration service and the VM list;
//! - [`operators`]: status, explanation, drain and metrics.
//!
//! [`Router::start`] runs them all in the calling process, which is how the binary, the tests and
//! the load tool use the same code. See `docs/ARCHITECTURE.md`.

pub mod api_error;
pub mod attempt;
pub mod callers;
pub mod clock;
pub mod dial;
pub mod driver;
pub mod handle;
pub mod metrics;
pub mod operators;
pub mod ops;
pub mod peers;
pub mod platform;
pub mod prompt;
pub mod request_task;
pub mod router;

pub use dial::{Dial, Direct};
pub use router::Router;
