//! Response body that is produced chunk by chunk.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use async_channel::{Receiver, Sender};
use futures_util::{StreamExt, TryStreamExt, stream};
use http_types::Body;

/// Number of chunks buffered for a connection; when it is full, the producer waits.
const BUFFERED_CHUNKS: usize = 16;

/// Number of pieces of a passed-on body that are buffered; a few bridge the time between two writes.
const BUFFERED_PIECES: usize = 2;

/// Sender of a body's chunks; sending fails once the connection is closed.
pub type ChunkSender<C = Vec<u8>> = Sender<io::Result<C>>;

/// Returns a body and the sender of its chunks.
///
/// Each chunk is written to the connection as it arrives. Sending an error closes the connection
/// early, so that the caller cannot take a truncated response for a complete one. Dropping the
/// sender ends the body normally.
#[must_use]
pub fn channel<C>() -> (ChunkSender<C>, Body)
where
    C: AsRef<[u8]> + Send + Sync + Unpin + 'static,
{
    let (sender, chunks): (ChunkSender<C>, Receiver<io::Result<C>>) =
        async_channel::bounded(BUFFERED_CHUNKS);
    let reader = Box::pin(chunks).into_async_read();
    (sender, Body::from_reader(reader, None))
}

/// Sender of a body without a mark of its end.
///
/// Dropping it closes the connection early, unless [`Feed::finish`] was called.
#[derive(Debug)]
pub struct Feed {
    pieces: Sender<Vec<u8>>,
    is_complete: Arc<AtomicBool>,
}

impl Feed {
    /// Returns a body of `length` bytes, if that is known, and the sender of its pieces.
    #[must_use]
    pub fn new(length: Option<usize>) -> (Self, Body) {
        let (sender, pieces) = async_channel::bounded(BUFFERED_PIECES);
        let is_complete = Arc::new(AtomicBool::new(false));
        let feed = Self {
            pieces: sender,
            is_complete: Arc::clone(&is_complete),
        };
        let end = stream::once(async move {
            if is_complete.load(Ordering::SeqCst) {
                return Ok(Vec::new());
            }
            Err(io::ErrorKind::UnexpectedEof.into())
        });
        let reader = Box::pin(pieces.map(Ok).chain(end)).into_async_read();
        (feed, Body::from_reader(reader, length))
    }

    /// Sends a piece, once the connection takes it; returns whether the connection is open.
    pub async fn send(&self, piece: Vec<u8>) -> bool {
        self.pieces.send(piece).await.is_ok()
    }

    /// Ends the body normally.
    pub fn finish(self) {
        self.is_complete.store(true, Ordering::SeqCst);
    }
}
