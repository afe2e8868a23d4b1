//! Tests of routers against stand-ins, over real sockets on loopback.

mod callers;
mod doors;
mod fleet;
mod operators;
mod site;
mod streams;
