//! Reads bodies of requests within limits of size, time and memory.

use std::{
    net::Shutdown,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use futures_lite::io::AsyncReadExt;
use peridotdeck_http::{
    client::PIECE_BYTES,
    server::{Connection, Receipt},
};
use peridotdeck_io::budget::{Denied, PACE_BYTES, PACE_WINDOW, Reservation};
use tide::Request;

use super::State;
use crate::{api_error::ApiError, dial::Dial, memory::Account};

/// Time after which a caller whose body found no memory may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which a body waits for those of its organisation that are given up for it.
const ROOM_WAIT: Duration = PACE_WINDOW.saturating_mul(2);

/// Time in which a caller reads the answer to a body that is not read to its end.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Reads a body of at most `limit` bytes and returns it with the memory that it holds.
///
/// # Errors
/// If the body is longer, late, broken, or finds no memory; the request has not run then.
pub async fn read<D: Dial>(
    request: &mut Request<State<D>>,
    limit: usize,
    account: &Account,
) -> Result<(Vec<u8>, Reservation), ApiError> {
    let body_timeout = Duration::from_millis(request.state().settings.body_timeout_ms.into());
    let connection = request.ext::<Connection>().cloned();
    let _receiving = request.ext::<Receipt>().map(Receipt::receive);
    let read = timeout(body_timeout, read_pieces(request, limit, account)).await;
    let error = match read {
        Ok(Ok(read)) => return Ok(read),
        Ok(Err(error)) => error,
        Err(_) => ApiError::new(408, "body_timeout", "the body took too long"),
    };
    if let Some(Connection(stream)) = connection {
        // The rest of the body is not needed; the caller gets time to read the answer.
        task::spawn(async move {
            task::sleep(ANSWER_TIME).await;
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
    Err(error)
}

/// Reads the body piece by piece; its memory grows with what has come, whatever length was stated.
///
/// One that comes slowly is given up if its organisation gets no memory for others.
async fn read_pieces<D: Dial>(
    request: &mut Request<State<D>>,
    limit: usize,
    account: &Account,
) -> Result<(Vec<u8>, Reservation), ApiError> {
    let too_large = || {
        let message = format!("the body exceeds {limit} bytes");
        ApiError::new(413, "body_too_large", message)
    };
    // `async-h1` does not check that as many bytes arrive as the length states.
    let length = request.len();
    if length.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let mut reader = request.take_body();
    let mut held = account.reservation();
    let mut body = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    let mut window = (Instant::now(), 0);
    loop {
        if window.0.elapsed() >= PACE_WINDOW {
            if body.len() < window.1 + PACE_BYTES && held.is_contended() {
                return Err(no_memory(Denied::Share));
            }
            window = (Instant::now(), body.len());
        }
        let wait = PACE_WINDOW.saturating_sub(window.0.elapsed());
        let Ok(read) = timeout(wait, reader.read(&mut piece)).await else {
            continue;
        };
        let bytes = read.map_err(|cause| ApiError::new(400, "broken_body", cause.to_string()))?;
        if body.len() + bytes > limit {
            return Err(too_large());
        }
        if bytes == 0 && length.is_some_and(|length| body.len() < length) {
            let cause = "the connection ended before the body's length";
            return Err(ApiError::new(400, "broken_body", cause));
        }
        if bytes == 0 {
            return Ok((body, held));
        }
        if body.len() + bytes > body.capacity() {
            let capacity = (body.len() + bytes).max(2 * body.capacity()).min(limit);
            if account.cover(&mut held, capacity).is_err() {
                // Slow bodies of the organisation now go.
                task::sleep(ROOM_WAIT).await;
                cover(&mut held, account, capacity)?;
            }
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(&piece[..bytes]);
    }
}

/// Reserves memory for a body.
///
/// # Errors
/// If there is none; the request has not run then.
pub fn cover(held: &mut Reservation, account: &Account, bytes: usize) -> Result<(), ApiError> {
    account.cover(held, bytes).map_err(no_memory)
}

/// Returns the refusal of a request whose body finds no memory.
fn no_memory(cause: Denied) -> ApiError {
    ApiError {
        kind: "overloaded_error",
        retry_after: Some(RETRY_AFTER),
        ..ApiError::new(503, "memory", format!("{cause}; try again"))
    }
}
