//! What an answer of an endpoint is: its framing, its events, and how it ended.

mod events;
mod failure;
mod foreign;
mod framing;
mod lines;
mod reading;
mod verdict;

pub use events::Events;
pub use failure::Failure;
pub use foreign::Foreign;
pub(crate) use foreign::logged_id;
pub use framing::Framing;
pub(crate) use reading::{
    MAX_ANSWER_BYTES, Start, read_data, read_first_event, read_rest, read_start,
};
pub use verdict::Origin;
pub(crate) use verdict::check_end;
