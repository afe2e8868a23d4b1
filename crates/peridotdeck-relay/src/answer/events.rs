//! Splits a stream of server-sent events after complete events.

use std::{
    borrow::Cow,
    fmt::{self, Display, Formatter},
    ops::Range,
};

use hyper::body::Bytes;
use peridotdeck_core::{
    dispatch::attempt::End,
    sequence::{Order, Sequence},
};
use peridotdeck_io::budget::Reservation;
use strum::{Display, IntoStaticStr};

use super::Failure;

/// Largest event in bytes; an endpoint that sends more without an event's end has failed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Most bytes behind a stream without framing that are read for its end.
const MAX_REST_BYTES: usize = 64 << 10;

/// May stand before the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Longest part of an id or a line in the log, in bytes.
const MAX_LOGGED_BYTES: usize = 40;

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

/// Whether a byte order mark may stand next in a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mark {
    /// The caller's stream may begin with it.
    #[default]
    Allowed,
    /// It is removed, since it would stand in the middle of the caller's stream.
    Removed,
    /// The first line has begun.
    Past,
}

/// Buffer that splits the bytes of a stream after complete events.
#[derive(Debug, Default)]
pub struct Events {
    pending: Vec<u8>,
    mark: Mark,
    /// Position behind the mark, if the pending bytes begin with it.
    start: usize,
    /// Position of the first line that is not complete.
    line: usize,
    /// Position after the last complete event.
    whole: usize,
    /// Position of the id of the event that is not complete.
    id: Option<Range<usize>>,
    /// Whether the event that is not complete has a field.
    has_field: bool,
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
            mark: Mark::Removed,
            ..Self::after(self.sequence.continued(), self.is_unfinished())
        }
    }

    /// Appends bytes as they were received.
    ///
    /// # Errors
    /// If an event exceeds its largest size or gets no memory, or the first event does not belong to the
    /// stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        let mut from = self.pending.len();
        self.pending.extend_from_slice(bytes);
        if self.mark != Mark::Past {
            self.skip_mark();
            from = self.start;
        }
        while let Some(length) = self.pending[from..].iter().position(|&byte| byte == b'\n') {
            let end = from + length;
            self.read_line(end);
            from = end + 1;
            self.line = from;
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
        if self.pending.len() > MAX_EVENT_BYTES && !self.has_complete() {
            return Err(Failure::new(End::Garbled, "event is too large"));
        }
        // Complete events are taken at once.
        if let Some(memory) = &mut self.memory
            && self.whole == 0
        {
            let reserved = memory.cover(self.pending.capacity());
            reserved.map_err(|denied| Failure::new(End::Garbled, &denied))?;
        }
        Ok(())
    }

    /// Looks for the byte order mark before the first line; it may come byte by byte.
    fn skip_mark(&mut self) {
        if self.pending.starts_with(BYTE_ORDER_MARK) {
            if std::mem::replace(&mut self.mark, Mark::Past) == Mark::Removed {
                self.pending.drain(..BYTE_ORDER_MARK.len());
            } else {
                self.start = BYTE_ORDER_MARK.len();
            }
        } else if !BYTE_ORDER_MARK.starts_with(&self.pending) {
            self.mark = Mark::Past;
        }
        self.line = self.start;
    }

    /// Reads the line that ends at a position.
    fn read_line(&mut self, end: usize) {
        let line = &self.pending[self.line..end];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            self.end_event();
            if self.foreign.is_none() {
                self.whole = end + 1;
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
            let value_end = self.line + line.len();
            self.id = Some(value_end - length..value_end);
        }
    }

    /// Compares an event with the one before it.
    fn end_event(&mut self) {
        if !std::mem::take(&mut self.has_field) {
            return;
        }
        let id = self.id.take();
        let id = id.map(|range| &self.pending[range]);
        if let Some(foreign) = &mut self.foreign {
            let has_id = id.is_some_and(|id| !id.is_empty());
            foreign.goes_on |= has_id && self.sequence.order(id) != Order::Repeats;
            return;
        }
        let cause = match self.sequence.advance(id) {
            Order::Follows => {
                self.has_event |= !self.sequence.is_joining();
                self.is_due = false;
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
        let rest = self.pending.split_off(end);
        let events = std::mem::replace(&mut self.pending, rest);
        if let Some(memory) = &mut self.memory {
            memory.shrink_to(self.pending.capacity());
        }
        self.start = 0;
        self.line -= end;
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
        let pending = &self.pending[self.start..];
        let mut lines = pending.split(|&byte| matches!(byte, b'\n' | b'\r'));
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
        self.start = 0;
        self.line = 0;
        self.whole = 0;
        self.id = None;
        std::mem::take(&mut self.pending)
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
        if self.pending.len() > MAX_REST_BYTES {
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

    /// Returns the id of the first event that can be taken.
    #[must_use]
    pub fn first_id(&self) -> Option<Cow<'_, str>> {
        let mut lines = self.pending[self.start..].split(|&byte| byte == b'\n');
        let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        Some(String::from_utf8_lossy(value.trim_ascii()))
    }
}

/// Returns an id for the log, which may hold any characters and any number of them.
pub(crate) fn logged_id(id: Option<&str>) -> String {
    let start = |id: &str| -> String { id.chars().take(MAX_LOGGED_BYTES).collect() };
    id.map_or_else(|| "none".to_owned(), |id| format!("{:?}", start(id)))
}

/// Returns whether the name of an event's field may have a byte.
fn is_name(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_')
}
