//! Which software version began a stream, so that the stream goes on at no other.
//!
//! Endpoints of several software versions may serve side by side, and what two of them write does not
//! fit together. A node knows the versions of the streams that it forwards ([`Table`]). It tells a few
//! others, chosen by the stream's digest: those of its data centre at once, the others soon after
//! ([`Outbox`]). A caller may take its stream up at any node, which asks the same ones. After all nodes
//! have ended, the endpoints' caches tell it: one that ran the stream holds the last part of its prompt
//! ([`Listing`]). A stream of which nothing names the version does not go on, whatever is listed.
//!
//! A caller that does not name its stream can only be believed to have one of the only version
//! ([`Versions`]); the publisher must have shown just then that there is no other ([`Step`]).
//!
//! `docs/design/VERSIONS.md` compares the ways to know the version.

mod evidence;
mod history;
mod listing;
mod origin;
mod outbox;
mod reading;
pub mod session;
pub(super) mod step;
mod table;
mod versions;

use xxhash_rust::xxh3::xxh3_64;

use super::{Key, Prefix};

pub use evidence::{Doubt, Evidence, Resolution};
pub use history::{Departed, History, Past};
pub use listing::Listing;
pub use outbox::Outbox;
pub use step::Step;
pub use table::{Entry, Table};
pub use versions::Versions;

/// Digest of the id of the request that began a stream.
pub type Id = u64;

/// Returns the digest of the id of the request that began a stream.
#[must_use]
pub fn id(request: &str) -> Id {
    xxh3_64(request.as_bytes())
}

/// Returns the digest under which nodes tell each other which version has cached a part of a prompt.
#[must_use]
pub fn part(prefix: Prefix) -> Id {
    xxh3_64(&prefix.to_le_bytes())
}

/// Returns the digest under which nodes tell each other that an endpoint has listed its cache.
#[must_use]
pub fn list(endpoint: Key) -> Id {
    xxh3_64(&endpoint.to_le_bytes())
}
