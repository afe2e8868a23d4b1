//! Connections to endpoints that lead through a peer.
//!
//! A node that lost its own path to an endpoint asks a peer to connect to it, by an HTTP upgrade at
//! the peer's control address. From then on the peer passes bytes on and decides nothing: framing,
//! ends, cancellation and keep-alive concern the node and the endpoint only. An orderly close passes
//! as such and a break as a reset, so that a broken answer never looks complete.
//!
//! Only nodes of the fleet may ask, known by their addresses as with heartbeats, and only for
//! endpoints that the peer lists. A peer uses its own path only, so there are no circles.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddrV4, TcpStream},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_io::Async;
use async_std::{future::timeout, task};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    client::conn::http1,
    header::{CONNECTION, HOST, HeaderValue, UPGRADE},
    upgrade::{self, OnUpgrade, Upgraded},
};
use peridotdeck_core::dispatch::{Key, Node, detour::Denial};
use peridotdeck_io::{Head, TURN_BYTES};
use quick_error::quick_error;
use rustix::io::Errno;
use smol_hyper::rt::FuturesIo;
use socket2::{Domain, SockRef, Type};

use crate::{
    Ingress, Shared, clock,
    pool::{self, CONNECT_TIMEOUT, Connection},
    server::{Remote, Socket},
};

/// Path at the control address that opens a connection to an endpoint.
pub const PATH: &str = "/fleet/tunnel";

/// Protocol that the connection is upgraded to.
const PROTOCOL: HeaderValue = HeaderValue::from_static("tcp");

/// Longest time to open a connection through a peer, which connects to the endpoint meanwhile.
const OPEN_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest number of bytes that are passed on at once.
const BUFFER_BYTES: usize = 8 << 10;

quick_error! {
    /// Reason why a peer opened no connection; no request was sent.
    #[derive(Debug)]
    pub enum Error {
        /// The peer did not accept a connection.
        Connect(cause: io::Error) {
            display("cannot connect to the peer: {cause}")
            from()
            source(cause)
        }
        /// The peer's answer is malformed, or the connection broke.
        Broken(cause: hyper::Error) {
            display("{cause}")
            from()
            source(cause)
        }
        /// The peer refused.
        Refused(status: StatusCode) {
            display("the peer refused with status {status}")
        }
    }
}

/// Opens a connection to an endpoint through a peer.
///
/// # Errors
/// If the peer or the endpoint cannot be reached in time, or the peer refuses.
pub async fn dial<I: Ingress>(
    shared: &Arc<Shared<I>>,
    key: Key,
    peer: Node,
) -> Result<Connection, pool::Error> {
    let observer = Arc::clone(shared);
    let open = async {
        let (upgraded, head) = request_tunnel(shared, key, peer).await?;
        let on_broken = move || observer.suspect(key);
        Ok(pool::handshake(upgraded, head, Some(peer), on_broken).await?)
    };
    timeout(OPEN_TIMEOUT, open)
        .await
        .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}

/// Asks a peer to connect to an endpoint; returns the bytes' way to and from it, and its bound on heads.
async fn request_tunnel<I: Ingress>(
    shared: &Shared<I>,
    key: Key,
    peer: Node,
) -> Result<(Upgraded, Head), Error> {
    let address = SocketAddrV4::new(peer, shared.control_port);
    let stream = connect_from(shared.node, address).await?;
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
    let stream = pool::bounded(stream);
    let head = stream.head();
    let (mut sender, driver) = http1::handshake(FuturesIo::new(stream)).await?;
    task::spawn(async move {
        if let Err(cause) = driver.with_upgrades().await {
            log::debug!("event=tunnel_request_broke cause=\"{cause}\"");
        }
    });
    let mut request = Request::new(Full::<Bytes>::default());
    let target = format!("{PATH}?endpoint={key:08x}");
    *request.uri_mut() = target.parse().expect("a path and a number");
    let host = HeaderValue::from_str(&address.to_string()).expect("digits");
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, PROTOCOL);
    head.expect();
    let response = sender.send_request(request).await?;
    head.complete();
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => Ok((upgrade::on(response).await?, head)),
        status => Err(Error::Refused(status)),
    }
}

/// Opens a connection to a peer from this node's own address, by which the peer knows it.
async fn connect_from(node: Node, address: SocketAddrV4) -> io::Result<Async<TcpStream>> {
    let socket = socket2::Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddrV4::new(node, 0).into())?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(cause) if Errno::from_io_error(&cause) != Some(Errno::INPROGRESS) => return Err(cause),
        _ => {}
    }
    let stream = Async::new(TcpStream::from(socket))?;
    let opened = timeout(CONNECT_TIMEOUT, stream.writable()).await;
    opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if let Some(cause) = stream.get_ref().take_error()? {
        return Err(cause);
    }
    pool::set_options(stream.get_ref())?;
    Ok(stream)
}

/// Counts an open tunnel until it is dropped.
struct Counted<I: Ingress>(Arc<Shared<I>>);

impl<I: Ingress> Counted<I> {
    fn new(shared: &Arc<Shared<I>>) -> Self {
        shared.tunnels.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl<I: Ingress> Drop for Counted<I> {
    fn drop(&mut self) {
        self.0.tunnels.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a peer's request for a connection to an endpoint.
pub(crate) async fn accept<I: Ingress>(
    shared: &Arc<Shared<I>>,
    mut request: Request<Incoming>,
    key: Option<Key>,
) -> Response<Full<Bytes>> {
    let remote = request.extensions().get::<Remote>().map(|remote| remote.0);
    let peer = match remote.map(|address| address.ip()) {
        Some(IpAddr::V4(peer)) => peer,
        _ => Ipv4Addr::UNSPECIFIED,
    };
    let opened = match key {
        Some(key) => open(shared, peer, key).await.map(|far| (key, far)),
        None => Err(Denial::Unknown),
    };
    match opened {
        Ok((key, far)) => {
            let upgraded = upgrade::on(&mut request);
            let counted = Counted::new(shared);
            task::spawn(async move { pass(upgraded, far, peer, key, counted).await });
            switch_protocols()
        }
        Err(denial) => {
            log::info!("event=tunnel_refused peer={peer} cause={denial}");
            let mut response = Response::new(Full::new(Bytes::from(format!("{denial}\n"))));
            *response.status_mut() = status(denial);
            response
        }
    }
}

/// Opens a connection to an endpoint over this node's own path.
async fn open<I: Ingress>(
    shared: &Arc<Shared<I>>,
    peer: Node,
    key: Key,
) -> Result<Async<TcpStream>, Denial> {
    let address = shared.dispatcher().may_relay(peer, key, clock::now())?;
    let dialed = pool::connect(address.into()).await;
    shared.metrics.count_dial(dialed.is_ok());
    dialed.map_err(|cause| {
        log::info!("event=tunnel_failed peer={peer} endpoint_key={key:08x} cause=\"{cause}\"");
        shared.dispatcher().record_unreachable(key, clock::now());
        Denial::Unreached
    })
}

fn switch_protocols() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, PROTOCOL);
    response
}

fn status(denial: Denial) -> StatusCode {
    match denial {
        Denial::Foreign => StatusCode::FORBIDDEN,
        Denial::Unknown => StatusCode::NOT_FOUND,
        Denial::Leaving | Denial::Unreached | Denial::Paused => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The endpoint closed its connection in an orderly way.
    Closed,
    /// The endpoint's connection broke.
    Broken,
    /// The peer closed its connection, or it broke.
    Left,
}

/// Passes bytes between a peer and an endpoint until either ends its connection.
async fn pass<I: Ingress>(
    upgraded: OnUpgrade,
    far: Async<TcpStream>,
    peer: Node,
    key: Key,
    _counted: Counted<I>,
) {
    let parts = match upgraded.await.map(Upgraded::downcast::<FuturesIo<Socket>>) {
        Ok(Ok(parts)) => parts,
        Ok(Err(_)) => unreachable!("every connection of the server is a socket"),
        Err(cause) => {
            log::info!("event=tunnel_unused peer={peer} cause=\"{cause}\"");
            return;
        }
    };
    let near = parts.io.into_inner();
    let ended = join(&near, &parts.read_buf, &far).await;
    let end = ended.unwrap_or_else(|cause| {
        log::debug!("event=tunnel_broke peer={peer} cause=\"{cause}\"");
        End::Broken
    });
    if end != End::Closed {
        // The endpoint stops at once, and the peer sees that the answer broke.
        for reset in [near.reset_on_close(), reset_on_close(&far)] {
            if let Err(cause) = reset {
                log::debug!("event=tunnel_reset_failed peer={peer} cause=\"{cause}\"");
            }
        }
    }
    log::debug!("event=tunnel_ended peer={peer} endpoint_key={key:08x} end={end:?}");
}

fn reset_on_close(stream: &Async<TcpStream>) -> io::Result<()> {
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))
}

/// Passes bytes on in both directions; `early` arrived with the request.
async fn join(near: &Socket, early: &[u8], far: &Async<TcpStream>) -> io::Result<End> {
    let (mut from_near, mut to_near) = (near.clone(), near.clone());
    let (mut from_far, mut to_far) = (far, far);
    let forth = async {
        let sent = async {
            to_far.write_all(early).await?;
            copy(&mut from_near, &mut to_far).await
        };
        if let Err(cause) = sent.await {
            log::debug!("event=tunnel_peer_left cause=\"{cause}\"");
        }
        Ok(End::Left)
    };
    let back = async {
        copy(&mut from_far, &mut to_near).await?;
        to_near.close().await?;
        Ok(End::Closed)
    };
    future::or(back, forth).await
}

/// Passes bytes on until the sender closes its connection in an orderly way.
///
/// The thread is given back now and then, also if both ends are always ready.
async fn copy<R, W>(from: &mut R, to: &mut W) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut turn = 0;
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..length]).await?;
        turn += length;
        if turn >= TURN_BYTES {
            turn = 0;
            future::yield_now().await;
        }
    }
}
