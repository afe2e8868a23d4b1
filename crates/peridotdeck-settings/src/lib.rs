//! Reads the settings of an entry router from a TOML file and checks them before it starts.
//!
//! An unknown key, a missing key or a value out of range is an error that names the file, the key
//! and the remedy. The types are generated from `schema/settings.json`; `docs/OPERATORS.md` lists
//! every key.

mod check;
#[rustfmt::skip]
mod generated;

pub use check::{Error, load, parse};
pub use generated::Settings;
