//! The decisions of a router node, without I/O.
//!
//! [`Node`] takes the time and an [`Event`], and returns [`Action`]s for its shell to carry out.
//! It reads no clock, opens no socket and draws no unseeded random numbers, so randomised tests
//! drive the code that ships. Its modules, in the order in which a request passes them:
//!
//! - [`flight`]: the requests in flight of this node's callers, from arrival to verdict;
//! - [`limit`]: organisations' rate limits and retry budgets;
//! - [`claim`]: at most one run of a request that must not run twice;
//! - [`pool`]: the queue and the slots of a group of endpoints, scheduled by one owner node;
//! - [`engine`]: the state of one endpoint, as the owner knows it;
//! - [`quarantine`]: requests that crash endpoints;
//! - [`sequence`]: whether an event follows those before it;
//! - [`membership`]: the peers that are alive, and the pools that each node owns;
//! - [`config`]: the configuration in force.
//!
//! [`dispatch`] works without owners, for sites where each node places its own callers' requests.
//!
//! `docs/ARCHITECTURE.md` follows one request through these modules.

pub mod action;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod engine;
pub mod event;
pub mod flight;
pub mod id;
pub mod limit;
pub mod mean;
pub mod membership;
pub mod node;
pub mod output_size;
pub mod owner;
pub mod pool;
pub mod quarantine;
pub mod queue;
pub mod refusal;
pub mod rendezvous;
pub mod request;
pub mod sequence;
pub mod strategy;
pub mod verdict;

pub use action::Action;
pub use event::Event;
pub use node::Node;
pub use strategy::Strategy;
pub use verdict::Verdict;
