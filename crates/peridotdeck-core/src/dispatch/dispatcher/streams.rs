//! Streams, which go on only at endpoints of the software version that began them.

use super::Dispatcher;
use crate::{
    dispatch::{attempt::Attempt, flight::Flight},
    id::Time,
};

impl Dispatcher {
    /// Records that a stream's first event is about to be forwarded, or the first one after a break.
    pub fn begin_stream(&mut self, attempt: &Attempt, flight: &mut Flight, _now: Time) {
        flight.software.get_or_insert(attempt.software);
    }
}
