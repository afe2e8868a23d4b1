//! HTTP server and client shared by the router, the command line and the fakes.
//!
//! `async-h1` encodes and decodes messages. This crate adds an accept loop with a connection limit
//! and a graceful stop, a handle of the connection to detect that the caller has closed it, and
//! client requests whose errors say whether any byte may have been sent.

pub mod body;
pub mod client;
pub mod server;
