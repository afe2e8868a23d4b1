//! Messages between entry routers, and their encoding in datagrams.
//!
//! The message types are generated from `schema/wire.json` and `schema/beat.json`. This crate adds
//! only the encoding (postcard) and the checks that a receiver applies before it decodes a
//! datagram. Messages that do not fit a datagram are sent as JSON-RPC requests with the same types.
//! See `docs/ARCHITECTURE.md`, section "Between routers".

mod codec;
mod generated;
mod versions;

pub use codec::{
    Error, Extension, MAX_DATAGRAM, VERSION, decode, encode, pack, pack_with, unpack, unpack_with,
};
pub use generated::{
    beat,
    wire::{
        Answer, Ask, Beat, Body, Borrow, Claim, Claims, Delta, Deny, Done, Entry, Envelope, Fetch,
        Gossip, Grant, Handover, Held, Holding, Lend, Loan, Member, Outcome, Part, Phase, Preempt,
        Queued, Reason, Settle, Strike, Summary, Sync, Trust, Vote, Want,
    },
};
pub use versions::Versions;
