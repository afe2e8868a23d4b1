//! The operators' library: describes classes, customers, places and services, and prints the
//! configuration that the fleet follows.
//!
//! Operators write a small program against [`Policy`], which refuses mistakes by name before
//! anything is published, and prints a [`Parts`] document. Entry routers read the published parts,
//! join them into a [`Config`] and index it as a [`Snapshot`] under the same checks.
//! See `docs/OPERATORS.md`, section "Configuration".
//!
//! # Examples
//! ```
//! use peridotdeck_policy::{Class, Organisation, Policy, Service};
//!
//! let policy = Policy::new()
//!     .place("sohar-a", "Batinah")
//!     .class(Class::interactive("counter", 0).first_token_ms(440))
//!     .organisation(Organisation::named("souq-1").key("secret"))
//!     .service(Service::model("wickmind", "counter").endpoint("sohar-a", "127.0.0.1:9000"));
//! assert!(policy.build().is_ok());
//! ```

mod builder;
mod check;
mod define;
#[rustfmt::skip]
mod generated;
mod part;
mod snapshot;

pub use builder::Policy;
pub use check::Error;
pub use define::digest_key;
pub use generated::{Class, Config, Endpoint, Kind, Organisation, Place, Route, Service};
pub use part::{Parts, join, split};
pub use snapshot::{Pool, Snapshot, digest_name};
