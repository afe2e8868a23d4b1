//! A reader whose source fails ends.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncReadExt, future::block_on, io::BufReader};
use peridotdeck_io::Ending;

/// A source that always fails.
struct Broken;

impl AsyncRead for Broken {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

/// Guards against an error that reaches a parser which cannot bear it.
#[test]
fn failing_source_is_an_end() {
    let source = || BufReader::new(b"id: 1".chain(Broken));
    let (mut read, mut unread) = (Vec::new(), Vec::new());
    block_on(async {
        let ended = Ending::new(source()).read_to_end(&mut read).await;
        assert_eq!(
            (ended.expect("an end"), read.as_slice()),
            (5, &b"id: 1"[..])
        );
        assert!(source().read_to_end(&mut unread).await.is_err());
    });
}
