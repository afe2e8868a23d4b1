//! Tests of the datagram encoding.

mod codec;
mod versions;
