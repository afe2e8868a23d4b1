//! Whether the process that serves a connection is the one that its endpoint's entry describes.
//!
//! An endpoint may start again under its id and address, with other software, and its entry says so
//! only when the publisher can be read. The endpoint itself states the time of its start. It is asked
//! on the connection that the request then uses, so no other process can come between the two. See
//! `docs/design/VERSIONS.md`.

use std::time::Duration;

use async_std::future::timeout;
use hyper::StatusCode;
use peridotdeck_core::dispatch::attempt::{Assignment, End};

use crate::{
    Ingress,
    answer::Failure,
    pool::Connection,
    report::{self, Process},
};

/// Longest time for the endpoint's statement; it needs no free slot.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the endpoint on a new connection when it started, before a stream goes on there.
///
/// # Errors
/// If it has started again since its entry was written, or does not say. The request was not sent.
pub async fn confirm<I: Ingress>(
    ingress: &I,
    connection: &mut Connection,
    assignment: &Assignment,
) -> Result<(), Failure> {
    let asked = timeout(TIMEOUT, read_process(ingress, connection, assignment)).await;
    let process = asked.unwrap_or_else(|_| Err("not answered in time".to_owned()));
    let process = process.map_err(|cause| {
        let cause = format!("start of the endpoint not known: {cause}");
        Failure::new(End::Rejected, &cause)
    })?;
    match process {
        Process::Same => Ok(()),
        Process::Other(start) => {
            let cause = format!("endpoint started again at {start}");
            Err(Failure::new(End::Replaced, &cause))
        }
        Process::Unnamed => Err(Failure::new(
            End::Rejected,
            "endpoint does not name its start",
        )),
    }
}

/// Returns the process that answers; the connection is then ready for the next request.
async fn read_process<I: Ingress>(
    ingress: &I,
    connection: &mut Connection,
    assignment: &Assignment,
) -> Result<Process, String> {
    let entry = (assignment.instance.as_str(), assignment.attempt.key());
    let report = report::ask(ingress, connection, assignment.address, entry).await?;
    if report.status != StatusCode::OK {
        return Err(format!("status {}", report.status.as_u16()));
    }
    connection
        .ready()
        .await
        .map_err(|cause| cause.to_string())?;
    Ok(report.process)
}
