//! What in a stream does not belong to it, as the log names it.

use std::fmt::{self, Display, Formatter};

use strum::{Display, IntoStaticStr};

/// Longest part of an id or a line in the log, in bytes.
pub(super) const MAX_LOGGED_BYTES: usize = 40;

/// Why something in a stream does not belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// An event is not beyond the last one.
    Repeats,
    /// Events are missing before the first one of a continuation.
    Gap,
    /// A line is in no event, such as the first line of another answer.
    NotAnEvent,
}

/// The first thing in a stream that does not belong to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Foreign {
    /// Why it does not belong to the stream.
    pub cause: Cause,
    /// Id of the last event before it.
    pub after: Option<String>,
    /// The event's id, or the start of the line.
    pub got: String,
    /// Whether the stream was not over before it.
    pub goes_on: bool,
}

impl Display for Foreign {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let after = logged_id(self.after.as_deref());
        write!(f, "after={after} got={:?} cause={}", self.got, self.cause)
    }
}

/// Returns an id for the log, which may hold any characters and any number of them.
pub(crate) fn logged_id(id: Option<&str>) -> String {
    let start = |id: &str| -> String { id.chars().take(MAX_LOGGED_BYTES).collect() };
    id.map_or_else(|| "none".to_owned(), |id| format!("{:?}", start(id)))
}
