//! Splits a stream of server-sent events after complete events.

use hyper::body::Bytes;
use peridotdeck_core::dispatch::attempt::End;

use super::Failure;

/// Largest event in bytes; an endpoint that sends more without an event's end has failed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffer that splits the bytes of a stream after complete events.
#[derive(Debug, Default)]
pub struct Events {
    pending: Vec<u8>,
    pub(crate) last_id: Option<String>,
}

impl Events {
    /// Appends bytes as they were received.
    ///
    /// # Errors
    /// If an event exceeds its largest size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES && !self.has_complete() {
            return Err(Failure::new(End::Garbled, "event is too large"));
        }
        Ok(())
    }

    /// Takes all complete events.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let end = end_of_events(&self.pending)?;
        let rest = self.pending.split_off(end);
        let events = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = find_last_id(&events) {
            self.last_id = Some(id);
        }
        Some(Bytes::from(events))
    }

    /// Checks that a stream which ends here does not end inside an event.
    ///
    /// Comments and line breaks after the last event belong to none.
    ///
    /// # Errors
    /// If the last event is incomplete.
    pub fn check_end(&self) -> Result<(), Failure> {
        let mut lines = self.pending.split(|&byte| matches!(byte, b'\n' | b'\r'));
        if lines.any(|line| !line.is_empty() && !line.starts_with(b":")) {
            return Err(Failure::new(End::Broken, "stream ended inside an event"));
        }
        Ok(())
    }

    /// Takes the remaining bytes at the end of the stream.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.pending);
        (!rest.is_empty()).then(|| Bytes::from(rest))
    }

    /// Returns whether [`Self::take_complete`] would return something.
    #[must_use]
    pub fn has_complete(&self) -> bool {
        end_of_events(&self.pending).is_some()
    }

    /// Returns the last event id among the events taken so far.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the position after the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let blank = |end: usize| {
        let before = &bytes[..end];
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (2..=bytes.len())
        .rev()
        .find(|&end| bytes[end - 1] == b'\n' && blank(end))
}

/// Returns the value of the last `id` field among events.
fn find_last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|&byte| byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let value = std::str::from_utf8(line).ok()?;
    Some(value.trim().to_owned())
}
