//! The shell of a node that places its own callers' requests: sockets, tasks, logs and metrics.
//!
//! All decisions are [`peridotdeck_core::dispatch`]'s. What a site speaks towards callers and
//! endpoints, and where it publishes its configuration, are behind two small traits: [`Ingress`]
//! and [`Publisher`]. One request's way:
//!
//! 1. [`server`] accepts the caller's connection; [`front`] reads head and body;
//! 2. [`journey`] asks for a placement, makes attempts, and answers for the outcome;
//! 3. [`pool`] opens or reuses a connection to the endpoint, [`exchange`] sends the request and
//!    reads the answer's head;
//! 4. [`stream`] passes events on one by one, and goes on at another endpoint where it may.
//!
//! [`peers`] tells and hears other nodes, [`control`] answers questions about this one, and
//! [`node`] starts and stops everything. `docs/design/PLATFORM.md` has the reasons.

pub mod clock;
pub mod control;
pub mod exchange;
pub mod fetch;
pub mod front;
pub mod ingress;
pub mod journey;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod pool;
pub mod publisher;
pub mod server;
pub mod shared;
pub mod stream;

pub use ingress::Ingress;
pub use publisher::Publisher;
pub use shared::Shared;
