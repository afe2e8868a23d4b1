//! Readers around connections and bodies, for libraries that parse them.
//!
//! [`Bounded`] gives the thread back, reads a bounded number of bytes before a head ends, and takes no end after a
//! failed write for one. [`Ending`] hides the error
//! of a body from a parser that needs none. [`budget`] bounds what the process keeps of all bodies together, and [`connections`] how
//! many are open.
//!
//! HTTP libraries read for as long as bytes are ready. A peer that sends bytes faster than they are
//! parsed would keep the thread, and no time limit of any task on it could expire.

pub mod bounded;
pub mod budget;
pub mod connections;
mod ending;

pub use bounded::{Bounded, Head, TURN_BYTES};
pub use ending::Ending;
