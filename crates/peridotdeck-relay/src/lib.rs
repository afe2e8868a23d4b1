//! Sockets, tasks, logs and metrics of a node that places its own callers' requests.
//!
//! All decisions are made by [`peridotdeck_core::dispatch`]. Two small traits adapt a node to
//! its site: [`Ingress`] for the protocol towards callers and endpoints, and [`Publisher`] for the
//! source of the configuration and the endpoint list. A request takes these steps:
//!
//! 1. [`server`] accepts the caller's connection; [`front`] reads its head and body;
//! 2. [`forwarding`] requests a placement, makes attempts, and reports the outcome;
//! 3. [`pool`] opens or reuses a connection to the endpoint, [`exchange`] sends the request and
//!    reads the answer's head;
//! 4. [`stream`] relays the events of a stream, and resumes a broken stream at another endpoint if
//!    the route allows it.
//!
//! [`tunnel`] leads a connection to an endpoint through a peer. [`peers`] exchanges heartbeats and snapshots with other nodes, [`control`] serves health checks,
//! metrics and state, and [`node`] starts and stops everything. `docs/design/PLATFORM.md` gives the
//! reasons for the design.

pub mod answer;
pub mod clock;
pub mod control;
pub mod dial;
pub mod exchange;
pub mod fetch;
pub mod forwarding;
pub mod front;
pub mod ingress;
pub mod liveness;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod notice;
pub mod peers;
pub mod pool;
pub mod publisher;
mod report;
pub mod server;
pub mod shared;
pub mod shutdown;
pub mod stream;
pub mod tunnel;

pub use ingress::Ingress;
pub use publisher::Publisher;
pub use shared::Shared;
