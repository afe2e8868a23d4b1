//! A reader that ends where its source fails.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::{AsyncBufRead, AsyncRead};

/// A reader that ends where its source fails, for formats whose end is marked.
///
/// A parser of such a format takes an early end for a break, so the error is of no use to it.
/// `async-sse` panics in builds with assertions if its source fails inside a line.
#[derive(Debug)]
pub struct Ending<R>(R);

impl<R> Ending<R> {
    /// Creates a reader of a source.
    #[must_use]
    pub fn new(source: R) -> Self {
        Self(source)
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Ending<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.0).poll_read(context, buffer);
        read.map(|result| Ok(result.unwrap_or_else(|cause| log_end(&cause, 0))))
    }
}

impl<R: AsyncBufRead + Unpin> AsyncBufRead for Ending<R> {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let source = Pin::new(&mut self.get_mut().0);
        let filled = source.poll_fill_buf(context);
        filled.map(|result| Ok(result.unwrap_or_else(|cause| log_end(&cause, &[]))))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        Pin::new(&mut self.0).consume(count);
    }
}

fn log_end<T>(cause: &io::Error, nothing: T) -> T {
    log::debug!("event=source_failed cause=\"{cause}\"");
    nothing
}
