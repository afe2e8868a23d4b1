//! The report in which an endpoint names its start.
//!
//! Whoever must know which process serves a connection asks for it there: before a stream goes on
//! ([`crate::life`]), and after an answer that ended with its connection ([`crate::answer`]).

use std::net::SocketAddrV4;

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    header::HOST,
};

use crate::{Ingress, pool::Connection};

/// Asks the endpoint at an address for its report, and returns the answer once its head has come.
///
/// # Errors
/// The observed cause, if no head came.
pub(crate) async fn ask<I: Ingress>(
    ingress: &I,
    connection: &mut Connection,
    address: SocketAddrV4,
) -> Result<Response<Incoming>, String> {
    let request = Request::get(ingress.life_path())
        .header(HOST, address.to_string())
        .body(Full::default())
        .map_err(|cause| cause.to_string())?;
    let answer = connection.send(request).await;
    answer.map_err(|cause| cause.to_string())
}

/// Reads the body of an answer up to its end, which may be up to `most` bytes long.
///
/// # Errors
/// The observed cause, if the body is longer or not complete.
pub(crate) async fn read(answer: Response<Incoming>, most: usize) -> Result<Bytes, String> {
    let body = Limited::new(answer.into_body(), most).collect().await;
    let body = body.map_err(|cause| cause.to_string())?;
    Ok(body.to_bytes())
}
