//! Implements the operators' command: checks and prints configurations, and queries running nodes.
//!
//! `check` and `print` only read a file. `status`, `explain` and `drain` send a JSON-RPC request,
//! which a node accepts on loopback only; run them on the node's VM. `inspect` reads a page of a
//! relay's control interface. `docs/OPERATORS.md` shows each subcommand with its output.

pub mod ops;
pub mod remote;
