//! A connection's socket, shared by hyper and the server.
//!
//! The kernel closes the sockets of a process that ends. It resets those that are marked for it.

use std::{
    io::{self, IoSlice},
    net::TcpStream,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use socket2::SockRef;

use super::activity::Activity;

/// Bytes that the kernel takes beyond what it has sent.
///
/// More would take the machine's memory, and hide for long that the caller does not read.
const UNSENT_BYTES: u32 = 16 << 10;

/// A socket that stays accessible while hyper reads and writes it.
#[derive(Clone, Debug)]
pub(crate) struct Socket {
    stream: Arc<Async<TcpStream>>,
    activity: Arc<Activity>,
}

impl Socket {
    pub(super) fn new(stream: Async<TcpStream>, activity: Arc<Activity>) -> Self {
        Self {
            stream: Arc::new(stream),
            activity,
        }
    }

    /// Bounds what the kernel keeps for a caller that does not read.
    pub(super) fn bound_unsent(&self) -> io::Result<()> {
        SockRef::from(self.stream.get_ref()).set_tcp_notsent_lowat(UNSENT_BYTES)
    }

    /// Makes each close of the connection a reset, also by the end of the process.
    ///
    /// Only `AsyncWrite::poll_close` closes the connection in an orderly way from then on.
    pub(crate) fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO))
    }

    /// Notes whether the caller reads what is written.
    fn note<T>(&self, written: Poll<T>) -> Poll<T> {
        self.activity.record_write(written.is_pending());
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.stream).poll_write(context, buffer);
        self.note(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.stream).poll_write_vectored(context, buffers);
        self.note(written)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket when it has nothing left to write.
        self.activity.record_flush();
        Pin::new(&mut &*self.stream).poll_flush(context)
    }

    /// Closes this end in an orderly way, unless that would end a response too early.
    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.activity.may_close() {
            return Poll::Ready(Ok(()));
        }
        SockRef::from(self.stream.get_ref()).set_linger(None)?;
        self.activity.record_close();
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
