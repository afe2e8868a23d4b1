//! Connections to endpoints that lead through a peer.
//!
//! A node that lost its own path to an endpoint asks a peer to connect to it, by an HTTP upgrade at
//! the peer's control address. From then on the peer passes bytes on and decides nothing: framing,
//! ends, cancellation and keep-alive concern the node and the endpoint only. An orderly close passes
//! as such and a break as a reset, so that a broken answer never looks complete. Any other end of the
//! peer's connection is a reset too, also the end of its process.
//!
//! Peers of older builds do not keep the last rule. They are told by the version of the protocol that
//! they accept, and an orderly end of a connection through them proves nothing.
//!
//! Only nodes of the fleet may ask, known by their addresses as with heartbeats, and only for
//! endpoints that the peer lists. A peer uses its own path only, so there are no circles.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddrV4, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_io::Async;
use async_std::{future::timeout, task};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
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
use strum::Display;

use crate::{
    Ingress, Shared, clock,
    pool::{self, CONNECT_TIMEOUT, Connection, Path},
    server::{Remote, Socket},
    shared::Counted,
};

/// Target at the control address that opens a connection to an endpoint.
pub const PATH: &str = "/fleet/tunnel";

/// Protocol in which the peer closes in an orderly way only where the endpoint has done so.
const PROTOCOL: &str = "tcp/2";

/// Protocol of builds whose connections also close in an orderly way when their process ends.
const OLD_PROTOCOL: &str = "tcp";

/// Protocols that a node offers, by preference.
const OFFER: HeaderValue = HeaderValue::from_static("tcp/2, tcp");

/// Parameter of a request for a connection that brings a verdict only; older builds don't read it.
pub const VERDICT: &str = "verdict";

/// What a connection through a peer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Requests of callers.
    Requests,
    /// A verdict on the end of an answer; a peer that leaves opens one too.
    Verdict,
}

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
    purpose: Purpose,
) -> Result<Connection, Error> {
    let observer = Arc::clone(shared);
    let open = async {
        let (upgraded, head, shows_end) = request_tunnel(shared, key, peer, purpose).await?;
        let path = Path {
            detour: Some(peer),
            shows_end,
        };
        let on_broken = move || observer.suspect(key);
        Ok(pool::handshake(upgraded, head, path, on_broken).await?)
    };
    timeout(OPEN_TIMEOUT, open)
        .await
        .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}

/// Asks a peer to connect to an endpoint.
///
/// Returns the bytes' way to and from it, its bound on heads, and whether its orderly end is the
/// endpoint's.
async fn request_tunnel<I: Ingress>(
    shared: &Shared<I>,
    key: Key,
    peer: Node,
    purpose: Purpose,
) -> Result<(Upgraded, Head, bool), Error> {
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
    let purpose = match purpose {
        Purpose::Requests => String::new(),
        Purpose::Verdict => format!("&{VERDICT}=1"),
    };
    let target = format!("{PATH}?endpoint={key:08x}{purpose}");
    *request.uri_mut() = target.parse().expect("a path and a number");
    let host = HeaderValue::from_str(&address.to_string()).expect("digits");
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, OFFER);
    head.expect();
    let response = sender.send_request(request).await?;
    head.complete();
    let shows_end = names_protocol(response.headers());
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => Ok((upgrade::on(response).await?, head, shows_end)),
        status => Err(Error::Refused(status)),
    }
}

/// Returns whether [`PROTOCOL`] is among the protocols that a head names.
fn names_protocol(headers: &HeaderMap) -> bool {
    let values = headers.get_all(UPGRADE).iter();
    let mut names = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    names.any(|name| name.trim() == PROTOCOL)
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

/// Answers a peer's request for a connection to an endpoint.
pub(crate) async fn accept<I: Ingress>(
    shared: &Arc<Shared<I>>,
    mut request: Request<Incoming>,
    key: Option<Key>,
    purpose: Purpose,
) -> Response<Full<Bytes>> {
    let remote = request.extensions().get::<Remote>().map(|remote| remote.0);
    let peer = match remote.map(|address| address.ip()) {
        Some(IpAddr::V4(peer)) => peer,
        _ => Ipv4Addr::UNSPECIFIED,
    };
    let opened = match key {
        Some(key) => open(shared, peer, key, purpose).await.map(|far| (key, far)),
        None => Err(Denial::Unknown),
    };
    match opened {
        Ok((key, far)) => {
            let upgraded = upgrade::on(&mut request);
            let protocol = if names_protocol(request.headers()) {
                PROTOCOL
            } else {
                OLD_PROTOCOL
            };
            let counted = shared.tunnels.begin();
            task::spawn(async move { pass(upgraded, far, peer, key, counted).await });
            switch_protocols(protocol)
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
    purpose: Purpose,
) -> Result<Async<TcpStream>, Denial> {
    let now = clock::now();
    let address = match purpose {
        Purpose::Requests => shared.dispatcher().may_relay(peer, key, now)?,
        Purpose::Verdict => shared.dispatcher().may_judge(peer, key, now)?,
    };
    let dialed = pool::connect(address.into()).await;
    shared.metrics.count_dial(dialed.is_ok());
    dialed.map_err(|cause| {
        log::info!("event=tunnel_failed peer={peer} endpoint_key={key:08x} cause=\"{cause}\"");
        shared.dispatcher().record_unreachable(key, clock::now());
        Denial::Unreached
    })
}

fn switch_protocols(protocol: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(protocol));
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum End {
    /// The endpoint closed its connection in an orderly way.
    Closed,
    /// The endpoint's connection broke.
    Broken,
    /// The peer closed its connection, or it broke.
    Left,
}

/// Passes bytes between a peer and an endpoint until either ends its connection.
async fn pass(upgraded: OnUpgrade, far: Async<TcpStream>, peer: Node, key: Key, _counted: Counted) {
    let parts = match upgraded.await.map(Upgraded::downcast::<FuturesIo<Socket>>) {
        Ok(Ok(parts)) => parts,
        Ok(Err(_)) => unreachable!("every connection of the server is a socket"),
        Err(cause) => {
            log::info!("event=tunnel_unused peer={peer} cause=\"{cause}\"");
            return;
        }
    };
    let near = parts.io.into_inner();
    if let Err(cause) = near.reset_on_close() {
        log::warn!("event=tunnel_unused peer={peer} cause=\"{cause}\"");
        return;
    }
    let opened = clock::now();
    let answered = AtomicU64::new(0);
    let ended = join(&near, &parts.read_buf, &far, &answered).await;
    let (end, cause) = match ended {
        Ok(end) => (end, String::new()),
        Err(cause) => (End::Broken, cause.to_string()),
    };
    log::info!(
        "event=tunnel_ended peer={peer} endpoint_key={key:08x} end={end} answered={} ms={} \
         cause=\"{cause}\"",
        answered.into_inner(),
        clock::now().saturating_sub(opened).as_millis(),
    );
}

/// Passes bytes on in both directions; `early` arrived with the request.
///
/// `answered` counts the bytes that the endpoint has sent.
async fn join(
    near: &Socket,
    early: &[u8],
    far: &Async<TcpStream>,
    answered: &AtomicU64,
) -> io::Result<End> {
    let (mut from_near, mut to_near) = (near.clone(), near.clone());
    let (mut from_far, mut to_far) = (far, far);
    let forth = async {
        let sent = async {
            to_far.write_all(early).await?;
            copy(&mut from_near, &mut to_far, &AtomicU64::new(0)).await
        };
        if let Err(cause) = sent.await {
            log::debug!("event=tunnel_peer_left cause=\"{cause}\"");
        }
        Ok(End::Left)
    };
    let back = async {
        copy(&mut from_far, &mut to_near, answered).await?;
        // Everything that the endpoint sent is written.
        to_near.close().await?;
        Ok(End::Closed)
    };
    future::or(back, forth).await
}

/// Passes bytes on, and counts them, until the sender closes its connection in an orderly way.
///
/// The thread is given back now and then, also if both ends are always ready.
async fn copy<R, W>(from: &mut R, to: &mut W, passed: &AtomicU64) -> io::Result<()>
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
        passed.fetch_add(length as u64, Ordering::Relaxed);
        turn += length;
        if turn >= TURN_BYTES {
            turn = 0;
            future::yield_now().await;
        }
    }
}
