//! Checks the events of a stream, and splits it after complete ones.

use std::ops::Range;

use hyper::body::Bytes;
use peridotdeck_core::{
    dispatch::attempt::End,
    sequence::{Order, Sequence},
};
use peridotdeck_io::budget::Reservation;

use super::{
    Failure,
    foreign::{Cause, Foreign, MAX_LOGGED_BYTES},
    lines::{Line, Lines},
};

/// Largest event in bytes; an endpoint that sends more without an event's end has failed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Most bytes behind a stream without framing that are read for its end.
const MAX_REST_BYTES: usize = 64 << 10;

/// Buffer that splits the bytes of a stream after complete events.
#[derive(Debug, Default)]
pub struct Events {
    lines: Lines,
    /// Position after the last complete event.
    whole: usize,
    /// Position of the id of the event that is not complete.
    id: Option<Range<usize>>,
    /// Whether the event that is not complete has a field.
    has_field: bool,
    /// Id of the first event of this attempt that has one.
    first_id: Option<String>,
    /// Whether an event of this attempt shows that the attempt belongs to the stream.
    has_event: bool,
    /// Whether the stream is known to have a further event.
    is_due: bool,
    sequence: Sequence,
    foreign: Option<Foreign>,
    /// What the pending bytes draw on, if they do.
    memory: Option<Reservation>,
}

impl Events {
    /// Creates a buffer for the events that follow those of a sequence.
    ///
    /// `is_due` says whether at least one must follow.
    #[must_use]
    pub fn after(sequence: Sequence, is_due: bool) -> Self {
        Self {
            is_due,
            sequence,
            ..Self::default()
        }
    }

    /// Reserves the bytes of incomplete events from now on.
    pub fn reserve_from(&mut self, reservation: Reservation) {
        self.memory = Some(reservation);
    }

    /// Creates a buffer for the attempt that goes on behind these events.
    #[must_use]
    pub fn resumed(&self) -> Self {
        Self {
            lines: Lines::resumed(),
            ..Self::after(self.sequence.continued(), self.is_unfinished())
        }
    }

    /// Appends bytes as they were received.
    ///
    /// # Errors
    /// If an event exceeds its largest size or gets no memory, or the first event does not belong to the
    /// stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        self.lines.push(bytes);
        while let Some(line) = self.lines.read() {
            self.read_line(line);
        }
        if let Some(foreign) = &self.foreign
            && !self.has_event
        {
            let cause = match foreign.cause {
                Cause::Repeats => "first event is not beyond the last one",
                Cause::Gap => "events are missing before the first one",
                Cause::NotAnEvent => "answer is not a stream of events",
            };
            return Err(Failure::new(End::Garbled, cause));
        }
        if self.lines.len() > MAX_EVENT_BYTES && !self.has_complete() {
            return Err(Failure::new(End::Garbled, "event is too large"));
        }
        // Complete events are taken at once.
        if let Some(memory) = &mut self.memory
            && self.whole == 0
        {
            let reserved = memory.cover(self.lines.capacity());
            reserved.map_err(|denied| Failure::new(End::NoMemory, &denied))?;
        }
        Ok(())
    }

    /// Reads a complete line.
    fn read_line(&mut self, Line { text, end }: Line) {
        let line = self.lines.get(text.clone());
        if line.is_empty() {
            self.end_event();
            if self.foreign.is_none() {
                self.whole = end;
            }
            return;
        }
        let name_length = line.iter().position(|&byte| byte == b':');
        let (name, value) = line.split_at(name_length.unwrap_or(line.len()));
        if name.is_empty() {
            return;
        }
        if !name.iter().copied().all(is_name) {
            let start = line[..line.len().min(MAX_LOGGED_BYTES)].to_vec();
            self.record_foreign(Cause::NotAnEvent, &start, self.has_field);
            return;
        }
        // A time to reconnect is no event.
        self.has_field |= name != b"retry";
        if name == b"id" {
            let value = value.strip_prefix(b":").unwrap_or(value);
            let length = value.strip_prefix(b" ").unwrap_or(value).len();
            self.id = Some(text.end - length..text.end);
        }
    }

    /// Compares an event with the one before it.
    fn end_event(&mut self) {
        if !std::mem::take(&mut self.has_field) {
            return;
        }
        let id = self.id.take();
        let id = id.map(|range| self.lines.get(range));
        if let Some(foreign) = &mut self.foreign {
            let has_id = id.is_some_and(|id| !id.is_empty());
            foreign.goes_on |= has_id && self.sequence.order(id) != Order::Repeats;
            return;
        }
        let cause = match self.sequence.advance(id) {
            Order::Follows => {
                self.has_event |= !self.sequence.is_joining();
                self.is_due = false;
                if self.first_id.is_none() {
                    self.first_id = id.map(|id| String::from_utf8_lossy(id).into_owned());
                }
                return;
            }
            Order::Repeats => Cause::Repeats,
            Order::Gap => Cause::Gap,
        };
        let id = id.unwrap_or_default();
        let id = id[..id.len().min(MAX_LOGGED_BYTES)].to_vec();
        self.record_foreign(cause, &id, cause == Cause::Gap);
    }

    fn record_foreign(&mut self, cause: Cause, got: &[u8], goes_on: bool) {
        self.foreign.get_or_insert_with(|| Foreign {
            cause,
            after: self.sequence.last().map(str::to_owned),
            got: String::from_utf8_lossy(got).into_owned(),
            goes_on,
        });
    }

    /// Takes all complete events that belong to the stream.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let end = std::mem::take(&mut self.whole);
        if end == 0 {
            return None;
        }
        let events = self.lines.take(end);
        if let Some(memory) = &mut self.memory {
            memory.shrink_to(self.lines.capacity());
        }
        self.id = self.id.take().map(|id| id.start - end..id.end - end);
        Some(Bytes::from(events))
    }

    /// Checks that a stream which ends here does not end inside an event.
    ///
    /// Comments and line breaks after the last event belong to none.
    ///
    /// # Errors
    /// If the last event is incomplete, or one is missing.
    pub fn check_end(&self) -> Result<(), Failure> {
        let mut lines = self
            .lines
            .rest()
            .split(|&byte| matches!(byte, b'\n' | b'\r'));
        if lines.any(|line| !line.is_empty() && !line.starts_with(b":")) {
            return Err(Failure::new(End::Broken, "stream ended inside an event"));
        }
        if self.is_due {
            let cause = "stream ended before an event that had begun";
            return Err(Failure::new(End::Broken, cause));
        }
        Ok(())
    }

    /// Takes the remaining bytes at the end of the stream.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.clear();
        (!rest.is_empty()).then(|| Bytes::from(rest))
    }

    /// Removes what does not belong to the stream, at the end of the connection.
    ///
    /// # Errors
    /// If the stream was not over before it.
    pub fn drop_foreign(&mut self) -> Result<(), Failure> {
        self.check_rest()?;
        self.clear();
        self.foreign = None;
        Ok(())
    }

    /// Takes the bytes that are left.
    fn clear(&mut self) -> Vec<u8> {
        self.whole = 0;
        self.id = None;
        self.lines.clear()
    }

    /// Returns whether what has come shows that at least one more event is due.
    #[must_use]
    pub fn is_unfinished(&self) -> bool {
        match &self.foreign {
            Some(foreign) => self.is_due || foreign.goes_on,
            None => self.check_end().is_err(),
        }
    }

    /// Checks what has come of the bytes that do not belong to the stream.
    ///
    /// # Errors
    /// If they show that the stream was not over before them, or are too many.
    pub fn check_rest(&self) -> Result<(), Failure> {
        if self.foreign.as_ref().is_some_and(|foreign| foreign.goes_on) {
            let cause = "stream was not over before what does not belong to it";
            return Err(Failure::new(End::Garbled, cause));
        }
        if self.lines.len() > MAX_REST_BYTES {
            let cause = "too many bytes behind the stream";
            return Err(Failure::new(End::Garbled, cause));
        }
        Ok(())
    }

    /// Returns whether [`Self::take_complete`] would return something.
    #[must_use]
    pub fn has_complete(&self) -> bool {
        self.whole > 0
    }

    /// Returns the first thing in the stream that does not belong to it.
    #[must_use]
    pub fn foreign(&self) -> Option<&Foreign> {
        self.foreign.as_ref()
    }

    /// Returns the events so far, over all attempts.
    #[must_use]
    pub fn sequence(&self) -> &Sequence {
        &self.sequence
    }

    /// Returns the id of the first event of this attempt that has one.
    #[must_use]
    pub fn first_id(&self) -> Option<&str> {
        self.first_id.as_deref()
    }
}

/// Returns whether the name of an event's field may have a byte.
fn is_name(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_')
}
