//! Whether the process that serves a connection is the one that its endpoint's entry describes.
//!
//! An endpoint may start again under its id and address, with other software, and its entry says so
//! only when the publisher can be read. The endpoint itself states the time of its start. It is asked
//! on the connection that the request then uses, so no other process can come between the two. See
//! `docs/design/VERSIONS.md`.

use std::time::Duration;

use async_std::future::timeout;
use hyper::StatusCode;
use peridotdeck_core::dispatch::{
    attempt::{Assignment, End},
    key,
};

use crate::{Ingress, answer::Failure, pool::Connection, report};

/// Longest time for the endpoint's statement; it needs no free slot.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Largest statement in bytes.
const MAX_BYTES: usize = 64 << 10;

/// Asks the endpoint on a new connection when it started, before a stream goes on there.
///
/// # Errors
/// If it has started again since its entry was written, or does not say. The request was not sent.
pub async fn confirm<I: Ingress>(
    ingress: &I,
    connection: &mut Connection,
    assignment: &Assignment,
) -> Result<(), Failure> {
    let asked = timeout(TIMEOUT, read_start(ingress, connection, assignment)).await;
    let report = asked.unwrap_or_else(|_| Err("not answered in time".to_owned()));
    let start = report.map_err(|cause| {
        let cause = format!("start of the endpoint not known: {cause}");
        Failure::new(End::Rejected, &cause)
    })?;
    let is = |start| key(&assignment.instance, start) == assignment.attempt.key();
    // An entry without a start says nothing of the process, and counts as one at 0.
    if is(0) || start.is_some_and(is) {
        return Ok(());
    }
    Err(match start {
        Some(start) => {
            let cause = format!("endpoint started again at {start}");
            Failure::new(End::Replaced, &cause)
        }
        None => Failure::new(End::Rejected, "endpoint does not name its start"),
    })
}

/// Returns the start that the endpoint names, if any; the connection is then ready for the next request.
async fn read_start<I: Ingress>(
    ingress: &I,
    connection: &mut Connection,
    assignment: &Assignment,
) -> Result<Option<u64>, String> {
    let answer = report::ask(ingress, connection, assignment.address).await?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status().as_u16()));
    }
    let body = report::read(answer, MAX_BYTES).await?;
    connection
        .ready()
        .await
        .map_err(|cause| cause.to_string())?;
    Ok(ingress.decode_start(&body))
}
