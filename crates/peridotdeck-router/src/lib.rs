//! The entry router: the tasks that do the I/O for the decision core.
//!
//! - [`driver`]: the task that owns the [`peridotdeck_core::Node`] and carries out its actions;
//! - [`handle`]: the channel by which other tasks reach the driver;
//! - [`callers`]: the HTTP interface for callers;
//! - [`request_task`]: the task of one request;
//! - [`attempt`]: one attempt at an endpoint, with a streamed or a whole answer;
//! - [`peers`]: messages between routers, by datagram and JSON-RPC;
//! - [`platform`]: watches of the configuration service and the VM list;
//! - [`operators`]: probes, metrics, and JSON-RPC for status, explanation and drain.
//!
//! [`Router::start`] runs them all in the calling process, so that the binary, the tests and the
//! load tool use the same code. See `docs/ARCHITECTURE.md`.

pub mod api_error;
pub mod attempt;
pub mod callers;
pub mod clock;
pub mod dial;
pub mod driver;
pub mod handle;
mod memory;
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
