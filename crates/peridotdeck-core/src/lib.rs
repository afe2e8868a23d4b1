//! The decisions of a router node, without I/O.
//!
//! [`Node`] is given the time and an [`Event`] and returns [`Action`]s for its shell to carry out.
//! It reads no clock, opens no socket and draws no unseeded randomness, so the randomised tests
//! drive the very code that ships. The parts, in the order in which a request meets them:
//!
//! - [`flight`]: the requests that callers gave to this node, from arrival to verdict;
//! - [`limit`]: customers' rates and retry budgets;
//! - [`claim`]: at most one run of a call that may not be repeated;
//! - [`pool`]: the queue and the slots of a group of endpoints, held by one owner node;
//! - [`engine`]: what the owner knows about one endpoint;
//! - [`poison`]: requests that crash endpoints;
//! - [`membership`]: which peers are alive, and who owns what;
//! - [`config`]: the configuration in force.
//!
//! [`dispatch`] decides without owners, for sites where each node places its own callers' requests.
//!
//! `docs/ARCHITECTURE.md` follows one request through them.

pub mod action;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod engine;
pub mod event;
pub mod flight;
pub mod id;
pub mod limit;
pub mod membership;
pub mod node;
pub mod owner;
pub mod poison;
pub mod pool;
pub mod queue;
pub mod rank;
pub mod refusal;
pub mod request;
pub mod size;
pub mod strategy;
pub mod verdict;

pub use action::Action;
pub use event::Event;
pub use node::Node;
pub use strategy::Strategy;
pub use verdict::Verdict;
