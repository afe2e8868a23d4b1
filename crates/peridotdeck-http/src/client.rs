//! One HTTP call on a new connection.
//!
//! Connections are not reused: an idle one may have been forgotten by something between the two
//! ends, and a call that may not be repeated must never find that out. Within a data centre a new
//! connection costs one round trip of about a millisecond.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use http_types::{Request, Response, Url};
use quick_error::quick_error;

/// Longest time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a call got no response head.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was opened, so the call did not run.
        Unreachable(cause: io::Error) {
            display("cannot connect: {cause}")
            source(cause)
        }
        /// The connection broke after bytes were sent, so the call may have run.
        Broken(cause: String) {
            display("connection broke: {cause}")
        }
        /// No response head came in time, so the call may have run.
        TimedOut {
            display("no response in time")
        }
    }
}

/// Opens a connection without delay of small packets.
///
/// # Errors
/// [`Error::Unreachable`] if the peer refuses or does not answer within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let late = |_| {
        io::Error::new(
            io::ErrorKind::TimedOut,
            "no answer to the connection request",
        )
    };
    let stream = attempt
        .map_err(late)
        .and_then(|opened| opened)
        .map_err(Error::Unreachable)?;
    stream.set_nodelay(true).map_err(Error::Unreachable)?;
    Ok(stream)
}

/// Sends a request on an open connection and waits for the response head.
///
/// # Errors
/// [`Error::Broken`] or [`Error::TimedOut`]; either way the call may have run.
pub async fn send(
    stream: TcpStream,
    request: Request,
    response_timeout: Duration,
) -> Result<Response, Error> {
    match timeout(response_timeout, async_h1::connect(stream, request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(cause)) => Err(Error::Broken(cause.to_string())),
        Err(_) => Err(Error::TimedOut),
    }
}

/// Connects, sends a request and waits for the response head.
///
/// # Errors
/// See [`connect`] and [`send`].
pub async fn request(
    address: SocketAddr,
    request: Request,
    response_timeout: Duration,
) -> Result<Response, Error> {
    let stream = connect(address).await?;
    send(stream, request, response_timeout).await
}

/// Returns the URL of a path at an address.
///
/// # Errors
/// If the path is no part of a URL.
pub fn url(address: SocketAddr, path: &str) -> Result<Url, http_types::url::ParseError> {
    Url::parse(&format!("http://{address}{path}"))
}
