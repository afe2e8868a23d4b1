//! HTTP client for GET requests to a peer, the publisher or an endpoint.
//!
//! The time of a request and the size of a response are limited.

use std::{net::SocketAddrV4, time::Duration};

use async_std::future::timeout;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header,
};
use peridotdeck_io::budget::{Budget, Buffer, Denied, Holder};
use quick_error::quick_error;

use crate::{answer::read_data, dial, pool::Connection};

/// Largest body of a response.
const MAX_BODY_BYTES: usize = 16 << 20;

quick_error! {
    /// Reason why a request returned no body.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was opened.
        Connect(cause: dial::Error) {
            display("{cause}")
            from()
            source(cause)
        }
        /// The connection broke, or the response was malformed.
        Broken(cause: hyper::Error) {
            display("request failed: {cause}")
            from()
            source(cause)
        }
        /// The path is invalid, or the body broke off or exceeds the size limit.
        Invalid(cause: String) {
            display("{cause}")
        }
        /// The node has no memory left for the body.
        Denied(cause: Denied) {
            display("{cause}")
            from()
            source(cause)
        }
        /// The status of the response is not 200.
        Status(status: StatusCode) {
            display("server answered with status {status}")
        }
        /// The response was not complete in time.
        TimedOut {
            display("response not complete in time")
        }
    }
}

/// Client of one server, with at most one open connection.
#[derive(Debug)]
pub struct Client {
    address: SocketAddrV4,
    connection: Option<Connection>,
    memory: Budget,
    holder: Holder,
}

impl Client {
    /// Creates a client without a connection; the first request opens it.
    ///
    /// The bodies that it reads are kept for `holder`.
    #[must_use]
    pub fn new(address: SocketAddrV4, memory: Budget, holder: Holder) -> Self {
        Self {
            address,
            connection: None,
            memory,
            holder,
        }
    }

    /// Creates a client for what the process reads for itself.
    #[must_use]
    pub fn of_process(address: SocketAddrV4, memory: Budget) -> Self {
        Self::new(address, memory, Holder::PROCESS)
    }

    /// Requests a path and returns the complete response.
    ///
    /// `time_limit` covers connecting, the request and the complete response. The connection is
    /// kept for the next request if the response was complete.
    ///
    /// # Errors
    /// Returns an error if the response is not complete in time, or its status is not 200.
    pub async fn get(
        &mut self,
        path: &str,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let idle = self.connection.take().filter(Connection::is_ready);
        let buffer = Buffer::new(self.memory.reservation(self.holder));
        let exchange = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => dial::open(self.address, || ()).await?,
            };
            let request = Request::get(path)
                .header(header::HOST, self.address.to_string())
                .body(Full::new(Bytes::new()))
                .map_err(|cause| Error::Invalid(cause.to_string()))?;
            let (head, body) = connection.send(request).await?.into_parts();
            let body = read(body, buffer).await?;
            Ok((connection, Response::from_parts(head, body)))
        };
        let result: Result<_, Error> = timeout(time_limit, exchange)
            .await
            .unwrap_or(Err(Error::TimedOut));
        let (connection, response) = result?;
        self.connection = Some(connection);
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(Error::Status(status)),
        }
    }
}

/// Reads a complete body.
async fn read(mut body: Incoming, mut buffer: Buffer) -> Result<Bytes, Error> {
    loop {
        let data = read_data(&mut body).await;
        let Some(bytes) = data.map_err(|failure| Error::Invalid(failure.cause))? else {
            return Ok(Bytes::from_owner(buffer));
        };
        if buffer.as_ref().len() + bytes.len() > MAX_BODY_BYTES {
            return Err(Error::Invalid("body is too large".to_owned()));
        }
        buffer.extend(&bytes)?;
    }
}
