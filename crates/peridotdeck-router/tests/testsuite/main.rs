//! Tests of routers against stand-ins, over real sockets on loopback.

mod callers;
mod cluster;
mod fleet;
mod http_limits;
mod operators;
mod streams;
