//! Connections that give the thread back, and that read a bounded number of bytes before a head ends.
//!
//! HTTP libraries read for as long as bytes are ready. A peer that sends bytes faster than they are
//! parsed would keep the thread, and no time limit of any task on it could expire.

pub mod bounded;

pub use bounded::{Bounded, Head, TURN_BYTES};
