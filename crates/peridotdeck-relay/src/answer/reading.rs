//! Reads answers of endpoints up to the deadline of their request.

use std::time::Duration;

use async_std::future::timeout;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use peridotdeck_core::dispatch::{attempt::End, flight::Flight};

use super::{Events, Failure};
use crate::clock;

/// Largest answer that is read as a whole, in bytes.
///
/// A failing endpoint may send bytes without end.
const MAX_ANSWER_BYTES: usize = 4 << 20;

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

/// Reads a complete body before the deadline of the request.
pub(crate) async fn read_body(body: Incoming, flight: &Flight) -> Result<Bytes, Failure> {
    let read = async {
        match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(cause) if cause.is::<LengthLimitError>() => Err(Failure::new(End::Garbled, &cause)),
            Err(cause) => Err(Failure::new(End::Broken, &cause)),
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
