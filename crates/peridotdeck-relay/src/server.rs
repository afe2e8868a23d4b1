//! An HTTP/1 server with limits for each connection and a graceful shutdown.
//!
//! A response of unknown length ends with its connection if its caller's version knows no chunks. The
//! connection is closed in an orderly way only when the body has ended and is written. Any other end
//! is a reset, also the end of the process, because an orderly close would look like the body's end.

mod activity;
mod socket;

use std::{
    error::Error,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    pin::pin,
    sync::{Arc, OnceLock},
    time::Duration,
};

pub(crate) use activity::Receipt;
pub use activity::{Activity, Answers, Tracked};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use hyper::{
    Method, Request, Response, StatusCode, Version,
    body::{Body, Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use peridotdeck_io::connections::{Activity as _, Connections, Place, Wait};
use smol_hyper::rt::FuturesIo;
pub(crate) use socket::Socket;
use socket2::{Domain, Type};

use crate::pool;

/// Largest number of connections that the kernel queues until they are accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Delay after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest read buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Limits of a connection, as currently configured.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest size of a request's head in bytes.
    pub head_bytes: usize,
    /// Longest time for which a connection may stay without a request in progress.
    pub idle_timeout: Duration,
}

/// Opens a listening socket at an address.
///
/// # Errors
/// If the address does not belong to this VM or is in use.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Accepts connections and answers their requests until the sender of `closing` is dropped.
///
/// Then the listener and idle connections are closed. Other connections are closed after the answer
/// in progress. `answers` counts the answers in progress, and `connections` bounds the open ones.
pub async fn accept<L, F, Fut, B>(
    listener: Async<TcpListener>,
    closing: Receiver<()>,
    (answers, connections): (Arc<Answers>, Arc<Connections<Activity>>),
    limits: L,
    respond: F,
) where
    L: Fn() -> Limits + Clone + Send + Sync + 'static,
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let closed = async {
            // An error means that the sender was dropped.
            let _ = closing.recv().await;
            None
        };
        let accepted = future::or(async { Some(listener.accept().await) }, closed).await;
        let Some(accepted) = accepted else { return };
        match accepted {
            Ok((stream, _)) => {
                let activity = Arc::new(Activity::new(Arc::clone(&answers)));
                let Some(place) = connections.enter(&activity) else {
                    continue;
                };
                let (closing, limits, respond) = (closing.clone(), limits.clone(), respond.clone());
                async_std::task::spawn(async move {
                    let open = (activity, place);
                    if let Err(cause) = serve(stream, closing, open, limits, respond).await {
                        log::debug!("event=connection_ended cause=\"{cause}\"");
                    }
                });
                connections.settle().await;
            }
            Err(cause) => {
                log::warn!("event=accept_failed cause=\"{cause}\"");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Address of the other end of a connection, as an extension of its requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Remote(pub(crate) SocketAddr);

/// Id of the answered request for the log, as an extension of a response.
#[derive(Clone, Debug)]
pub(crate) struct Label(pub(crate) String);

/// Reason why a connection ends or is shut down.
enum Stop {
    Ended(Result<(), hyper::Error>),
    Closing,
    Idle,
    /// Its place is needed for another connection.
    Taken,
}

/// Serves one connection until it ends, is idle for too long, or the server shuts down.
async fn serve<L, F, Fut, B>(
    stream: Async<TcpStream>,
    closing: Receiver<()>,
    (activity, place): (Arc<Activity>, Place<Activity>),
    limits: L,
    respond: F,
) -> Result<(), Box<dyn Error + Send + Sync>>
where
    L: Fn() -> Limits,
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    pool::set_options(stream.get_ref())?;
    let remote = Remote(stream.get_ref().peer_addr()?);
    let socket = Socket::new(stream, Arc::clone(&activity));
    if place.is_bounded() {
        socket.bound_unsent()?;
    }
    let label = OnceLock::new();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(remote);
        request
            .extensions_mut()
            .insert(Receipt::new(Arc::clone(&activity), place.number()));
        let busy = activity.begin();
        let knows_chunks = request.version() != Version::HTTP_10;
        let is_head = request.method() == Method::HEAD;
        let response = respond(request);
        let (label, socket) = (&label, &socket);
        async move {
            let response = response.await;
            let has_body = !is_head && may_have_body(response.status());
            if has_body && !knows_chunks && response.body().size_hint().exact().is_none() {
                socket.reset_on_close()?;
                busy.end_with_connection();
                let id = response.extensions().get::<Label>();
                label.get_or_init(|| id.map_or_else(|| "-".to_owned(), |id| id.0.clone()));
            }
            Ok::<_, io::Error>(response.map(|body| Tracked::new(body, busy)))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits().head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(FuturesIo::new(socket.clone()), service)
        .with_upgrades();
    let mut connection = pin!(connection);
    let ended = async { Stop::Ended(connection.as_mut().await) };
    let closed = async {
        // An error means that the sender was dropped.
        let _ = closing.recv().await;
        Stop::Closing
    };
    let idle = async {
        wait_idle(&activity, &limits).await;
        Stop::Idle
    };
    let taken = async {
        place.taken().await;
        Stop::Taken
    };
    let stop = future::or(ended, future::or(closed, future::or(idle, taken))).await;
    let is_taken = matches!(stop, Stop::Taken);
    let rest = async {
        match stop {
            Stop::Ended(result) => return result,
            Stop::Taken if activity.wait().is_some() => return Ok(()),
            Stop::Closing | Stop::Idle | Stop::Taken => connection.as_mut().graceful_shutdown(),
        }
        let idle = async {
            if is_taken {
                wait_given_up(&activity).await;
            } else {
                wait_idle(&activity, &limits).await;
            }
            Ok(())
        };
        future::or(connection.as_mut(), idle).await
    };
    let result = rest.await;
    if matches!(activity.wait(), Some(Wait::Read(_))) {
        // What the caller has not read would stay in the kernel, and could look complete.
        if let Err(cause) = socket.reset_on_close() {
            log::debug!("event=reset_failed cause=\"{cause}\"");
        }
    }
    if let Some(id) = label.get() {
        let end = if activity.is_closed() {
            "orderly"
        } else {
            "reset"
        };
        log::info!(
            "event=unframed_closed id={id} caller={} end={end} cause=\"{}\"",
            remote.0,
            result.as_ref().err().map_or_else(String::new, cause_text),
        );
    }
    Ok(result?)
}

/// Returns whether a response may have a body; one that has none ends with its head.
fn may_have_body(status: StatusCode) -> bool {
    !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns an error and its cause, for the log.
fn cause_text(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Waits until a connection that was given up waits for its caller, so that no answer in progress is cut.
async fn wait_given_up(activity: &Activity) {
    /// Time between two checks.
    const INTERVAL: Duration = Duration::from_millis(50);
    while activity.wait().is_none() {
        Timer::after(INTERVAL).await;
    }
}

/// Waits until a connection has been idle for the configured time.
async fn wait_idle(activity: &Activity, limits: &impl Fn() -> Limits) {
    loop {
        let limit = limits().idle_timeout;
        match activity.idle() {
            Some(idle) if idle >= limit => return,
            Some(idle) => Timer::after(limit.saturating_sub(idle)).await,
            None => Timer::after(limit).await,
        };
    }
}
