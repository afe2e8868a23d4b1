//! What an answer of an endpoint is: its framing, its events, and how it ended.

mod events;
mod failure;
mod framing;
mod reading;
mod verdict;

pub(crate) use events::logged_id;
pub use events::{Events, Foreign};
pub use failure::Failure;
pub use framing::Framing;
pub(crate) use reading::{
    MAX_ANSWER_BYTES, Start, read_data, read_first_event, read_rest, read_start,
};
pub use verdict::Origin;
pub(crate) use verdict::check_end;
