//! A connection that reads within bounds.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, AsyncWrite};

/// Bytes that a task reads in a row before it gives the thread back to others.
pub const TURN_BYTES: usize = 64 << 10;

/// Most bytes that are read at once.
///
/// HTTP libraries enlarge their buffers if a read fills them, and each connection has several.
const READ_BYTES: usize = 8 << 10;

/// Value of [`Head::left`] while no head is expected.
const UNBOUNDED: usize = usize::MAX;

/// Bound on the bytes that are read before a head is complete, shared by the connection and its user.
///
/// It covers all that comes before the end of the head, such as interim heads (1xx) of an answer, and
/// the part of the body that is read together with the head.
#[derive(Clone, Debug)]
pub struct Head {
    limit: usize,
    left: Arc<AtomicUsize>,
}

impl Head {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            left: Arc::new(AtomicUsize::new(UNBOUNDED)),
        }
    }

    /// Expects a head from now on.
    pub fn expect(&self) {
        self.left.store(self.limit, Ordering::Relaxed);
    }

    /// Notes that the head is complete; what follows has no bound here.
    pub fn complete(&self) {
        self.left.store(UNBOUNDED, Ordering::Relaxed);
    }

    /// Returns whether more bytes came than a head may take; the connection is then unusable.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that were read.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let take = |left: usize| (left != UNBOUNDED).then(|| left.saturating_sub(bytes));
        // An error means that no head is expected.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if self.is_exceeded() {
            let cause = format!("head is not complete after {} bytes", self.limit);
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
        }
        Ok(())
    }
}

/// A connection whose reads give the thread back after [`TURN_BYTES`], and bound what precedes a head.
///
/// An end is an error once a write has failed: the system reports a reset only once, and reads then
/// return the same as after an orderly close. Copies of a connection share this.
#[derive(Clone, Debug)]
pub struct Bounded<S> {
    stream: S,
    head: Head,
    /// Whether a write has failed, on any copy.
    is_broken: Arc<AtomicBool>,
    /// Bytes read since the task last gave the thread back.
    turn: usize,
}

impl<S> Bounded<S> {
    /// Wraps a connection on which at most `head_bytes` may come before the end of each expected head.
    pub fn new(stream: S, head_bytes: usize) -> Self {
        Self {
            stream,
            head: Head::new(head_bytes),
            is_broken: Arc::default(),
            turn: 0,
        }
    }

    /// Notes whether a write has failed.
    fn note<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(written, Poll::Ready(Err(_))) {
            self.is_broken.store(true, Ordering::Relaxed);
        }
        written
    }

    /// Returns the bound of the heads on this connection.
    #[must_use]
    pub fn head(&self) -> Head {
        self.head.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Bounded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.len().min(READ_BYTES);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        if read.is_pending() {
            self.turn = 0;
        }
        let bytes = ready!(read)?;
        if bytes == 0 && !buffer.is_empty() && self.is_broken.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.turn += bytes;
        self.head.count(bytes)?;
        Poll::Ready(Ok(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Bounded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.note(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let written = Pin::new(&mut self.stream).poll_flush(context);
        self.note(written)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let written = Pin::new(&mut self.stream).poll_close(context);
        self.note(written)
    }
}
