//! Sends one HTTP request on a new connection.
//!
//! Connections are not reused. A device on the path may have dropped an idle connection without
//! notice; a request that must not be repeated would then fail on it with an unknown outcome.
//! Within a data centre a new connection costs one round trip of about a millisecond.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{future::timeout, io::ReadExt, net::TcpStream};
use http_types::{
    Body, Request, Response, StatusCode, Url,
    headers::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use peridotdeck_io::Bounded;
use quick_error::quick_error;

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of bytes that are read before the head of a response is complete.
const MAX_BYTES_TO_HEAD: usize = 64 << 10;

/// Bytes of a body that are read at a time.
pub const PIECE_BYTES: usize = 8 << 10;

quick_error! {
    /// Why a request got no response head.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was opened, so the request did not run.
        Unreachable(cause: io::Error) {
            display("cannot connect: {cause}")
            source(cause)
        }
        /// The connection broke after sending had begun, so the request may have run.
        Broken(cause: String) {
            display("connection broke: {cause}")
        }
        /// No response head arrived in time, so the request may have run.
        TimedOut {
            display("no response head within the timeout")
        }
    }
}

/// Opens a connection with Nagle's algorithm disabled.
///
/// # Errors
/// [`Error::Unreachable`] if the peer refuses or does not answer within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let timed_out = |_| {
        io::Error::new(
            io::ErrorKind::TimedOut,
            "no answer to the connection request",
        )
    };
    let stream = attempt
        .map_err(timed_out)
        .and_then(|opened| opened)
        .map_err(Error::Unreachable)?;
    stream.set_nodelay(true).map_err(Error::Unreachable)?;
    Ok(stream)
}

/// Sends a request on an open connection and waits for the response head.
///
/// # Errors
/// [`Error::Broken`] or [`Error::TimedOut`]; either way the request may have run.
pub async fn send(
    stream: TcpStream,
    request: Request,
    response_timeout: Duration,
) -> Result<Response, Error> {
    let stream = Bounded::new(stream, MAX_BYTES_TO_HEAD);
    let head = stream.head();
    head.expect();
    match timeout(response_timeout, async_h1::connect(stream, request)).await {
        Ok(Ok(response)) => {
            head.complete();
            check_status(&response)?;
            Ok(response)
        }
        Ok(Err(cause)) => Err(Error::Broken(cause.to_string())),
        Err(_) => Err(Error::TimedOut),
    }
}

/// Checks that a response has the status of a final one; no request asks for another protocol.
fn check_status(response: &Response) -> Result<(), Error> {
    let status = response.status();
    if status.is_informational() {
        let cause = format!("status {status} is none of a final answer");
        return Err(Error::Broken(cause));
    }
    Ok(())
}

/// Connects, sends a request and waits for the response head.
///
/// # Errors
/// Those of [`connect`] and [`send`].
pub async fn request(
    address: SocketAddr,
    request: Request,
    response_timeout: Duration,
) -> Result<Response, Error> {
    let stream = connect(address).await?;
    send(stream, request, response_timeout).await
}

/// The body of a response, which may have at most a number of bytes, read piece by piece.
#[derive(Debug)]
pub struct Incoming {
    body: Body,
    length: Option<usize>,
    limit: usize,
    read: usize,
}

impl Incoming {
    /// Takes the body out of a response.
    ///
    /// # Errors
    /// If the response states a longer body, or has neither a length nor chunks: its connection's end
    /// would not show that the body is complete, and `async-h1` hides such a body.
    pub fn new(response: &mut Response, limit: usize) -> io::Result<Self> {
        check_framing(response)?;
        let length = response.len();
        let incoming = Self {
            body: response.take_body(),
            length,
            limit,
            read: 0,
        };
        if length.is_some_and(|length| length > limit) {
            return Err(incoming.too_long());
        }
        Ok(incoming)
    }

    /// Returns the length in bytes that the response states, if it states one.
    #[must_use]
    pub fn length(&self) -> Option<usize> {
        self.length
    }

    /// Reads into a buffer that is not empty and returns the number of bytes; 0 ends a complete body.
    ///
    /// # Errors
    /// If the body is longer than its limit, or the connection breaks before its end.
    pub async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let bytes = self.body.read(buffer).await?;
        self.read += bytes;
        if self.read > self.limit {
            return Err(self.too_long());
        }
        // `async-h1` does not check that as many bytes arrive as the length states.
        if bytes == 0 && self.length.is_some_and(|length| length != self.read) {
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "connection closed before the end of the body",
            ));
        }
        Ok(bytes)
    }

    fn too_long(&self) -> io::Error {
        let cause = format!("body is longer than {} bytes", self.limit);
        io::Error::new(io::ErrorKind::InvalidData, cause)
    }
}

/// Reads a response's complete body, which may have at most `limit` bytes.
///
/// A failing peer may send bytes without end, so no more than the limit is ever held.
///
/// # Errors
/// Those of [`Incoming`].
pub async fn read_body(response: &mut Response, limit: usize) -> io::Result<Vec<u8>> {
    let mut incoming = Incoming::new(response, limit)?;
    let mut body = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        match incoming.read(&mut piece).await? {
            0 => return Ok(body),
            bytes => body.extend_from_slice(&piece[..bytes]),
        }
    }
}

/// Checks that a response shows where its body ends, and that its body is not encoded further.
fn check_framing(response: &Response) -> io::Result<()> {
    let is_framed = match response.header(TRANSFER_ENCODING) {
        // `async-h1` hides a body whose last encoding is not written like this.
        Some(encodings) => encodings.iter().all(|encoding| encoding == "chunked"),
        None => response.header(CONTENT_LENGTH).is_some(),
    };
    if is_framed || response.status() == StatusCode::NoContent {
        return Ok(());
    }
    Err(io::Error::new(
        io::ErrorKind::InvalidData,
        "response has neither a length nor only chunks",
    ))
}

/// Returns the URL of a path at an address.
///
/// # Errors
/// If the path is not valid in a URL.
pub fn url(address: SocketAddr, path: &str) -> Result<Url, http_types::url::ParseError> {
    Url::parse(&format!("http://{address}{path}"))
}
