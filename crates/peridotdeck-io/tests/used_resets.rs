//! A reset that a write has reported is no orderly end for the next read.

use std::{
    io::{self, Write},
    net::{TcpListener, TcpStream},
    pin::Pin,
    task::{Context, Poll},
    thread,
    time::Duration,
};

use futures_lite::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future::block_on, io::AssertAsync,
};
use peridotdeck_io::Bounded;

/// Bytes that may come before a head is complete.
const LIMIT: usize = 1_000;

/// A way to write that fails on a broken connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Write,
    Vectored,
    Flush,
    Close,
}

/// A connection that fails in one way of writing, and has ended for reads.
#[derive(Clone)]
struct Reset(Option<Way>);

impl Reset {
    fn poll<T>(&self, way: Way, sound: T) -> Poll<io::Result<T>> {
        if self.0 == Some(way) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(sound))
    }
}

impl AsyncRead for Reset {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(0))
    }
}

impl AsyncWrite for Reset {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll(Way::Write, buffer.len())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll(Way::Vectored, buffers.len())
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll(Way::Flush, ())
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll(Way::Close, ())
    }
}

/// Guards against an end that only says that a write has already reported the break.
///
/// Libraries read from one copy of a connection and write to another.
#[test]
fn end_after_a_failed_write_is_a_reset() {
    for way in [Way::Write, Way::Vectored, Way::Flush, Way::Close] {
        let mut writer = Bounded::new(Reset(Some(way)), LIMIT);
        let mut reader = writer.clone();
        let (read, empty) = block_on(async {
            let buffers = [io::IoSlice::new(b"x")];
            let failed = match way {
                Way::Write => writer.write(b"x").await.is_err(),
                Way::Vectored => writer.write_vectored(&buffers).await.is_err(),
                Way::Flush => writer.flush().await.is_err(),
                Way::Close => writer.close().await.is_err(),
            };
            assert!(failed, "{way:?}");
            (reader.read(&mut [0; 8]).await, reader.read(&mut []).await)
        });
        let read = read.map_err(|cause| cause.kind());
        assert_eq!(read, Err(io::ErrorKind::ConnectionReset), "{way:?}");
        assert_eq!(empty.expect("nothing asked for"), 0, "{way:?}");
    }
}

/// Other side: an orderly end is one, whatever was written before.
#[test]
fn end_after_sound_writes_is_an_end() {
    let mut stream = Bounded::new(Reset(None), LIMIT);
    block_on(async {
        assert_eq!(stream.write(b"x").await.expect("sound"), 1);
        stream.flush().await.expect("sound");
        assert_eq!(stream.read(&mut [0; 8]).await.expect("an end"), 0);
    });
}

/// Guards against a peer's reset, met while a request's body is written, that reads as an end.
#[test]
fn reset_during_a_body_is_no_end() {
    /// Time in which a reset has crossed the loopback.
    const PAUSE: Duration = Duration::from_millis(50);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let mut stream = TcpStream::connect(address).expect("a listener");
    stream.write_all(b"unread").expect("sent");
    let (peer, _) = listener.accept().expect("a caller");
    thread::sleep(PAUSE);
    // The kernel resets a connection that is closed with bytes unread.
    drop(peer);
    thread::sleep(PAUSE);
    let mut stream = Bounded::new(AssertAsync::new(stream), LIMIT);
    block_on(async {
        let mut buffer = [0; 8];
        assert!(stream.write_all(b"more of the body").await.is_err());
        let read = stream.read(&mut buffer).await.map_err(|cause| cause.kind());
        assert_eq!(read, Err(io::ErrorKind::ConnectionReset));
    });
}
