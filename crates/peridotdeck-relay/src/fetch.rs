//! One read on a connection of its own or on an open one, with a limit of time and size.

use std::{net::SocketAddrV4, time::Duration};

use async_std::future::timeout;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, body::Bytes, header};
use quick_error::quick_error;

use crate::pool::{self, Link};

/// Largest answer.
const MOST_BYTES: usize = 16 << 20;

quick_error! {
    /// Why a read brought nothing.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was opened.
        Connect(cause: pool::Error) {
            display("{cause}")
            from()
            source(cause)
        }
        /// The connection broke.
        Broken(cause: hyper::Error) {
            display("connection broke: {cause}")
            from()
            source(cause)
        }
        /// The path cannot be asked for, or the answer exceeds the limit.
        Invalid(cause: String) {
            display("{cause}")
        }
        /// The answer is a refusal.
        Status(status: StatusCode) {
            display("the answer was {status}")
        }
        /// The answer did not come in time.
        TimedOut {
            display("no answer in time")
        }
    }
}

/// A peer or a publisher that is read.
#[derive(Debug)]
pub struct Client {
    address: SocketAddrV4,
    link: Option<Link>,
}

impl Client {
    /// Names where to read; the connection is opened with the first read.
    #[must_use]
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            link: None,
        }
    }

    /// Reads a path within a time. The connection is kept if there is a whole answer.
    ///
    /// # Errors
    /// If there is no whole answer in time, or a refusal.
    pub async fn get(&mut self, path: &str, time: Duration) -> Result<Bytes, Error> {
        let link = self.link.take().filter(|link| link.sender.is_ready());
        let work = async {
            let mut link = match link {
                Some(link) => link,
                None => pool::dial(self.address, || ()).await?,
            };
            let request = Request::get(path)
                .header(header::HOST, self.address.to_string())
                .body(Full::new(Bytes::new()))
                .map_err(|cause| Error::Invalid(cause.to_string()))?;
            let (head, body) = link.sender.send_request(request).await?.into_parts();
            let body = Limited::new(body, MOST_BYTES).collect().await;
            let body = body.map_err(|cause| Error::Invalid(cause.to_string()))?;
            Ok((link, head.status, body.to_bytes()))
        };
        let read: Result<_, Error> = timeout(time, work).await.unwrap_or(Err(Error::TimedOut));
        let (link, status, body) = read?;
        self.link = Some(link);
        if status == StatusCode::OK {
            Ok(body)
        } else {
            Err(Error::Status(status))
        }
    }
}
