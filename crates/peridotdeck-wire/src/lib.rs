//! Messages between entry routers and their datagram encoding.
//!
//! The message types are generated from `schema/wire.json`; this crate adds only the encoding
//! (postcard) and the limits that a receiver checks before it believes a datagram. Messages that
//! do not fit a datagram travel as a JSON-RPC call instead, with the same types.
//! See `docs/ARCHITECTURE.md`, section "Between routers".

#[rustfmt::skip]
pub mod beat;
mod codec;
#[rustfmt::skip]
mod generated;

pub use codec::{Error, MAX_DATAGRAM, VERSION, decode, encode, pack, unpack};
pub use generated::{
    Answer, Ask, Beat, Body, Claim, Claims, Delta, Deny, Done, Entry, Envelope, Fetch, Gossip,
    Grant, Handover, Held, Holding, Member, Outcome, Part, Phase, Preempt, Queued, Reason, Settle,
    Strike, Summary, Sync, Trust, Vote,
};
