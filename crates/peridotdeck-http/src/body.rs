//! Response body that is produced chunk by chunk.

use std::io;

use async_channel::{Receiver, Sender};
use futures_util::TryStreamExt;
use http_types::Body;

/// Number of chunks buffered for a connection; when it is full, the producer waits.
const BUFFERED_CHUNKS: usize = 16;

/// Sender of a body's chunks; sending fails once the connection is closed.
pub type ChunkSender = Sender<io::Result<Vec<u8>>>;

/// Returns a body and the sender of its chunks.
///
/// Each chunk is written to the connection as it arrives. Sending an error closes the connection
/// early, so that the caller cannot take a truncated response for a complete one. Dropping the
/// sender ends the body normally.
#[must_use]
pub fn channel() -> (ChunkSender, Body) {
    let (sender, chunks): (ChunkSender, Receiver<io::Result<Vec<u8>>>) =
        async_channel::bounded(BUFFERED_CHUNKS);
    let reader = Box::pin(chunks).into_async_read();
    (sender, Body::from_reader(reader, None))
}
