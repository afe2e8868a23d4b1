//! The operators' command: checks and prints configurations, and asks running nodes.
//!
//! `check` and `print` work on files alone. `status`, `explain` and `drain` speak JSON-RPC with a
//! node, which answers them on loopback only; run the command on the node's VM.
//! `docs/OPERATORS.md` shows each with its output.

pub mod ops;
pub mod remote;
