//! A stream of events whose incomplete events take a bounded part of the memory.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_lite::AsyncRead;
use peridotdeck_io::budget::Reservation;

use crate::memory::Account;

/// Longest event in bytes, with comments and other lines before its end.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Longest event in bytes that reserves no memory; the connection's own buffers have this size.
const MAX_FREE_BYTES: usize = 16 << 10;

/// Bytes of memory for each byte of an event: its line, its data, and the copy for the caller.
const COPIES: usize = 4;

/// Reads a stream of events, reserves memory for long ones, and fails at one that is too long.
#[derive(Debug)]
pub struct EventBound<R> {
    source: R,
    account: Account,
    held: Reservation,
    /// Bytes since the end of the last event.
    bytes: usize,
    /// Bytes of the last complete event, which is kept until the next one.
    last: usize,
    is_line_empty: bool,
    /// Whether the last byte was a carriage return, which ends a line alone or with a line feed.
    is_return: bool,
}

impl<R> EventBound<R> {
    /// Wraps the body of a stream whose memory is the account's.
    pub fn new(source: R, account: Account) -> Self {
        Self {
            source,
            held: account.reservation(),
            account,
            bytes: 0,
            last: 0,
            is_line_empty: true,
            is_return: false,
        }
    }

    /// Counts bytes that were read.
    fn count(&mut self, bytes: &[u8]) -> io::Result<()> {
        for &byte in bytes {
            self.bytes += 1;
            let ends_return = self.is_return && byte == b'\n';
            self.is_return = byte == b'\r';
            if byte != b'\n' && byte != b'\r' {
                self.is_line_empty = false;
            } else if !ends_return {
                if self.is_line_empty {
                    (self.last, self.bytes) = (self.bytes, 0);
                }
                self.is_line_empty = true;
            }
        }
        let longest = self.bytes.max(self.last);
        if longest > MAX_EVENT_BYTES {
            let cause = format!("event is longer than {MAX_EVENT_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
        }
        let needed = if longest > MAX_FREE_BYTES {
            COPIES * longest
        } else {
            0
        };
        self.held.shrink_to(needed);
        let covered = self.account.cover(&mut self.held, needed);
        covered.map_err(io::Error::other)
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for EventBound<R> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let bytes = ready!(Pin::new(&mut this.source).poll_read(context, buffer))?;
        this.count(&buffer[..bytes])?;
        Poll::Ready(Ok(bytes))
    }
}
