//! Splits the bytes of a stream of server-sent events into lines.

use std::ops::Range;

/// May stand before the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

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

/// A complete line, by its position among the bytes that wait.
#[derive(Debug)]
pub(super) struct Line {
    /// The line without its break.
    pub(super) text: Range<usize>,
    /// Position behind the break.
    pub(super) end: usize,
}

/// Buffer that splits bytes after line breaks.
#[derive(Debug, Default)]
pub(super) struct Lines {
    pending: Vec<u8>,
    mark: Mark,
    /// Position behind the mark, if the pending bytes begin with it.
    start: usize,
    /// Position of the first line that was not read.
    line: usize,
    /// Position before which that line has no break.
    searched: usize,
}

impl Lines {
    /// Creates a buffer for a stream that goes on behind another one.
    pub(super) fn resumed() -> Self {
        Self {
            mark: Mark::Removed,
            ..Self::default()
        }
    }

    /// Appends bytes as they were received.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
        if self.mark != Mark::Past {
            self.skip_mark();
        }
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
        self.searched = self.start;
    }

    /// Reads the next line, if it is complete.
    pub(super) fn read(&mut self) -> Option<Line> {
        let rest = &self.pending[self.searched..];
        let Some(length) = rest.iter().position(|&byte| byte == b'\n') else {
            self.searched = self.pending.len();
            return None;
        };
        let line_break = self.searched + length;
        let text = &self.pending[self.line..line_break];
        let length = text.strip_suffix(b"\r").unwrap_or(text).len();
        let end = line_break + 1;
        let line = Line {
            text: self.line..self.line + length,
            end,
        };
        self.line = end;
        self.searched = end;
        Some(line)
    }

    /// Returns a part of the bytes that wait.
    pub(super) fn get(&self, part: Range<usize>) -> &[u8] {
        &self.pending[part]
    }

    /// Takes the bytes before a position behind a line that was read.
    pub(super) fn take(&mut self, end: usize) -> Vec<u8> {
        let rest = self.pending.split_off(end);
        self.start = 0;
        self.line -= end;
        self.searched -= end;
        std::mem::replace(&mut self.pending, rest)
    }

    /// Takes all bytes.
    pub(super) fn clear(&mut self) -> Vec<u8> {
        self.start = 0;
        self.line = 0;
        self.searched = 0;
        std::mem::take(&mut self.pending)
    }

    /// Returns the bytes that wait, without the mark.
    pub(super) fn rest(&self) -> &[u8] {
        &self.pending[self.start..]
    }

    /// Returns the size in bytes of the buffer.
    pub(super) fn capacity(&self) -> usize {
        self.pending.capacity()
    }

    /// Returns the number of bytes that wait.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}
