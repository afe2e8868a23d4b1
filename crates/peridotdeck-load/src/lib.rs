//! Experiments: load, stand-ins, faults and routers in one process, judged by the users' measures.
//!
//! An [`Experiment`] is a TOML file. [`ops::run`] starts the stand-ins and routers that it names on
//! loopback (the library code that the binaries run), plays the load and the faults, and prints a
//! [`tally::Report`]. Arrivals, sizes and faults follow from the seed. `docs/EXPERIMENTS.md` says
//! what each figure means.

pub mod arrivals;
pub mod bound;
pub mod caller;
pub mod cost;
pub mod experiment;
pub mod fault;
pub mod ops;
pub mod paths;
pub mod plot;
pub mod stage;
pub mod tally;

pub use experiment::Experiment;
