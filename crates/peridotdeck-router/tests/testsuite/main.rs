//! Tests of routers against stand-ins, over real sockets on loopback.

mod callers;
mod fleet;
mod http_limits;
mod operators;
mod site;
mod streams;
