//! Message types that `cargo schema` generates from `schema/`; the schemas are edited, not these files.

#[rustfmt::skip]
pub mod beat;
#[rustfmt::skip]
pub mod wire;
