//! HTTP plumbing shared by the router, the command and the stand-ins.
//!
//! `async-h1` encodes and decodes; this crate adds what it leaves out: an accept loop with a
//! connection limit and a graceful stop, the connection's handle for noticing a caller that has
//! gone, and client calls whose errors tell whether any byte was sent.

pub mod body;
pub mod client;
pub mod server;
