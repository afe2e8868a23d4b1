//! A connection gives the thread back, and bounds what comes before a head, and nothing else.

use futures_lite::{
    AsyncReadExt,
    future::{block_on, poll_once},
    io,
};
use peridotdeck_io::{Bounded, TURN_BYTES};

/// Bytes that may come before a head is complete.
const LIMIT: usize = 1_000;

/// Guards against a reader that keeps the thread for as long as bytes are ready.
#[test]
fn thread_is_given_back() {
    const BYTES: u64 = 10 * TURN_BYTES as u64;
    let bounded = || Bounded::new(io::repeat(b'x'), LIMIT).take(BYTES);
    block_on(async {
        assert!(poll_once(io::copy(bounded(), io::sink())).await.is_none());
        // A reader that is polled again goes on.
        let copied = io::copy(bounded(), io::sink()).await;
        assert_eq!(copied.expect("no error"), BYTES);
    });
}

#[test]
fn bytes_before_a_head_are_bounded() {
    let mut stream = Bounded::new(io::repeat(b'x'), LIMIT);
    let head = stream.head();
    let mut buffer = [0; LIMIT / 2];
    block_on(async {
        head.expect();
        assert!(stream.read_exact(&mut buffer[1..]).await.is_ok());
        assert!(!head.is_exceeded());
        assert!(stream.read_exact(&mut buffer).await.is_ok());
        assert!(stream.read(&mut buffer).await.is_err());
        assert!(head.is_exceeded());
    });
}

/// Other side: a body has no bound, and each head has its own.
#[test]
fn body_is_not_bounded() {
    let mut stream = Bounded::new(io::repeat(b'x'), LIMIT);
    let head = stream.head();
    let mut buffer = [0; LIMIT / 2];
    block_on(async {
        for _ in 0..10 {
            head.expect();
            assert!(stream.read_exact(&mut buffer).await.is_ok());
            head.complete();
            for _ in 0..10 {
                assert!(stream.read_exact(&mut buffer).await.is_ok());
            }
        }
    });
}
