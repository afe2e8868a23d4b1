//! Settings of an entry router: a TOML file, checked before anything starts.
//!
//! Unknown keys, missing keys and values out of range are refused with the file, the key and a
//! remedy. The types are generated from `schema/settings.json`; `docs/OPERATORS.md` lists every key.

mod check;
#[rustfmt::skip]
mod generated;

pub use check::{Error, load, parse};
pub use generated::Settings;
