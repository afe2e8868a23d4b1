//! The report in which an endpoint names its start.
//!
//! Whoever must know which process serves a connection asks for it there: before a stream goes on
//! ([`crate::liveness`]), and after an answer that ended with its connection ([`crate::answer`]).

use std::net::SocketAddrV4;

use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, header::HOST};
use peridotdeck_core::dispatch::{self, Key};

use crate::{Ingress, pool::Connection};

/// Largest body of a report, in bytes.
const MAX_BYTES: usize = 256 << 10;

/// The process that has reported, compared with the one that an endpoint's entry describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Process {
    /// The start of the entry, or the entry has none and does not tell processes apart.
    Same,
    /// Another start, in milliseconds.
    Other(u64),
    /// The report names no start.
    Unnamed,
}

/// A complete report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Report {
    /// Status of the answer.
    pub(crate) status: StatusCode,
    /// The process that has answered.
    pub(crate) process: Process,
}

/// Asks the endpoint at an address for its report, and reads it to its end.
///
/// `id` and `key` are those of the endpoint's entry.
///
/// # Errors
/// The observed cause, if no complete answer came, or one that is too long.
pub(crate) async fn ask<I: Ingress>(
    ingress: &I,
    connection: &mut Connection,
    address: SocketAddrV4,
    (id, key): (&str, Key),
) -> Result<Report, String> {
    let request = Request::get(ingress.report_path())
        .header(HOST, address.to_string())
        .body(Full::default())
        .map_err(|cause| cause.to_string())?;
    let answer = connection.send(request).await;
    let answer = answer.map_err(|cause| cause.to_string())?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_BYTES).collect().await;
    let body = body.map_err(|cause| cause.to_string())?.to_bytes();
    let start = ingress.decode_start(&body);
    let start = start.filter(|_| status == StatusCode::OK);
    let is = |start| dispatch::key(id, start) == key;
    // An entry without a start counts as one at 0.
    let process = match start {
        _ if is(0) => Process::Same,
        Some(start) if is(start) => Process::Same,
        Some(start) => Process::Other(start),
        None => Process::Unnamed,
    };
    Ok(Report { status, process })
}
