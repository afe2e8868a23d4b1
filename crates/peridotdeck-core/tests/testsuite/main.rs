//! Tests of the decision core: single mechanisms, and several nodes whose messages the tests delay,
//! drop, copy and reorder.

mod claims;
mod config;
mod fairness;
mod handover;
mod membership;
mod numbering;
mod poison;
mod preemption;
mod random;
mod recovery;
mod world;
