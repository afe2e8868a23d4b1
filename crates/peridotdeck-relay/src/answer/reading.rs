//! Reads answers of endpoints up to the deadline of their request.

use std::time::Duration;

use async_std::future::timeout;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use peridotdeck_core::dispatch::{attempt::End, flight::Flight};
use peridotdeck_io::budget::Buffer;

use super::{Events, Failure};
use crate::clock;

/// Largest plain answer, in bytes; a failing endpoint may send bytes without end.
pub(crate) const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Largest part of a plain answer that is kept, in bytes; a whole answer may still be tried again.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Longest time to read bytes behind a stream without framing.
const REST_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs `work` until the deadline of the request.
async fn before_deadline<T>(
    flight: &Flight,
    work: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let done = timeout(flight.time_left(clock::now()), work).await;
    done.unwrap_or_else(|_| Err(Failure::new(End::TimedOut, "answer not complete in time")))
}

/// The body of a plain answer, as far as it was read.
#[derive(Debug)]
pub(crate) struct Start {
    /// What was read and kept.
    pub(crate) kept: Bytes,
    /// What was read and not kept, and the rest; none if the body has ended.
    pub(crate) rest: Option<(Bytes, Incoming)>,
}

/// Reads a body up to its end, or to the size that is kept, before the deadline of the request.
///
/// The size is smaller if there is no memory for the buffer.
///
/// # Errors
/// If the body breaks off, is not read in time, or states a length above the largest one.
pub(crate) async fn read_start(
    mut body: Incoming,
    mut buffer: Buffer,
    flight: &Flight,
) -> Result<Start, Failure> {
    if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return Err(Failure::new(End::Garbled, "answer is too large"));
    }
    let read = async {
        loop {
            let Some(bytes) = read_data(&mut body).await? else {
                let kept = Bytes::from_owner(buffer);
                return Ok(Start { kept, rest: None });
            };
            let is_kept = buffer.as_ref().len() + bytes.len() <= MAX_KEPT_BYTES;
            if !is_kept || buffer.extend(&bytes).is_err() {
                let kept = Bytes::from_owner(buffer);
                let rest = Some((bytes, body));
                return Ok(Start { kept, rest });
            }
        }
    };
    before_deadline(flight, read).await
}

/// Reads up to the first complete event, and returns whether more may follow.
///
/// # Errors
/// If the stream ends inside the first event, or before it where that is no end. Without a framing that
/// shows the end, only a stream that goes on after an event may have none.
pub(crate) async fn read_first_event(
    body: &mut Incoming,
    may_be_empty: bool,
    events: &mut Events,
    flight: &Flight,
) -> Result<bool, Failure> {
    let read = async {
        loop {
            match read_data(body).await? {
                None if may_be_empty => {
                    events.check_end()?;
                    return Ok(false);
                }
                None => {
                    let cause = "connection ended before the first event";
                    return Err(Failure::new(End::Broken, cause));
                }
                Some(bytes) => events.push(&bytes)?,
            }
            if events.has_complete() {
                return Ok(true);
            }
        }
    };
    before_deadline(flight, read).await
}

/// Reads what follows a stream without framing, up to the end of the connection.
///
/// # Errors
/// If the stream was not over, or the connection does not end soon and in an orderly way.
pub(crate) async fn read_rest(
    body: &mut Incoming,
    events: &mut Events,
    flight: &Flight,
) -> Result<(), Failure> {
    let read = async {
        loop {
            events.check_rest()?;
            match read_data(body).await? {
                None => return Ok(()),
                Some(bytes) => events.push(&bytes)?,
            }
        }
    };
    let late = |_| Failure::new(End::Garbled, "bytes behind the stream have no end");
    let limit = REST_TIMEOUT.min(flight.time_left(clock::now()));
    timeout(limit, read).await.map_err(late)?
}

/// Returns the next data of a body, or none at its end; trailers are skipped.
pub(crate) async fn read_data(body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(cause)) => return Err(Failure::new(End::Broken, &cause)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
