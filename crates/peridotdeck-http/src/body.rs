//! A response body fed chunk by chunk.

use std::io;

use async_channel::{Receiver, Sender};
use futures_util::TryStreamExt;
use http_types::Body;

/// Chunks between a producer and its connection: a slow caller slows its producer down.
const BUFFERED_CHUNKS: usize = 16;

/// The producer's end; a send fails once the connection is gone.
pub type ChunkSender = Sender<io::Result<Vec<u8>>>;

/// Returns a body and the feed for it.
///
/// Each chunk is written to the connection as it comes. An error cuts the connection, so that the
/// caller cannot take a broken answer for a whole one; dropping the feed ends the body well.
#[must_use]
pub fn channel() -> (ChunkSender, Body) {
    let (sender, chunks): (ChunkSender, Receiver<io::Result<Vec<u8>>>) =
        async_channel::bounded(BUFFERED_CHUNKS);
    let reader = Box::pin(chunks).into_async_read();
    (sender, Body::from_reader(reader, None))
}
