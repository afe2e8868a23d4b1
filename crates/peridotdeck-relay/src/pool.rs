//! Connections to endpoints, and the pool that keeps idle ones for the next requests.
//!
//! After a request a connection is kept only if the answer was complete, so one that saw a fault is
//! never used again.
//! An idle connection may be dead. It is therefore used only within the endpoint's idle timeout,
//! and the kernel probes it meanwhile.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_io::Async;
use async_std::future::timeout;
use futures_lite::future;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    client::conn::http1::{self, SendRequest},
    rt::{Read, Write},
};
use peridotdeck_core::{
    dispatch::{Key, Node},
    id::Time,
};
use peridotdeck_io::{
    Bounded, Head,
    connections::{Connections, Kept},
};
use socket2::{SockRef, TcpKeepalive};

use crate::{clock, server::Activity};

/// Longest time to open a connection.
///
/// The limit is below one second, after which TCP would first retransmit a lost first packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time before the kernel's first keepalive probe, and the time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Longest time for which sent data may stay unacknowledged before the kernel closes a connection.
///
/// It overrides the number of keepalive probes, so it is the time that these take.
const UNACKNOWLEDGED_TIMEOUT: Duration = KEEPALIVE_INTERVAL.saturating_mul(KEEPALIVE_PROBES + 1);

/// Longest time for which an idle connection may wait for its next use.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Fraction of the endpoint's own idle timeout for which an idle connection may be used.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Longest idle time of a connection to an endpoint that announces no idle timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_millis(800);

/// Largest number of idle connections that are kept for one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// Largest buffer for the head of an answer, in bytes; a longer head is an error.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Largest number of bytes that are read before the head of an answer is complete.
///
/// Interim heads (1xx) come before it, and the first bytes of the body are read together with it.
const MAX_BYTES_TO_HEAD: usize = 8 * MAX_HEAD_BYTES;

/// Sets the socket options that let the kernel detect a dead connection, and `TCP_NODELAY`.
///
/// # Errors
/// If the system refuses an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Opens a TCP connection within [`CONNECT_TIMEOUT`] whose close is a reset.
///
/// An orderly close would go on sending undelivered data long after the request was abandoned, and
/// the other end could take it for the end of what is sent. The kernel resets the connection also if
/// the process ends.
///
/// # Errors
/// If the address refuses the connection or does not answer in time.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let connected = timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(stream.get_ref())?;
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Guard that ends a connection's task, and so closes the connection, when it is dropped.
#[derive(Debug)]
struct CloseOnDrop {
    // Dropping the sender wakes the task, and so does closing its channel.
    sender: async_channel::Sender<()>,
}

/// How a connection leads to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Path {
    /// Peer through which the connection leads, if it is not over the own path.
    pub detour: Option<Node>,
    /// Whether an orderly end of the connection shows that the endpoint has closed it.
    pub shows_end: bool,
}

impl Path {
    /// The own path, on which no program stands before the endpoint.
    pub const OWN: Self = Self {
        detour: None,
        shows_end: true,
    };
}

/// An open connection to an endpoint, either idle or used by one exchange.
#[derive(Debug)]
pub struct Connection {
    /// Sender of requests on this connection.
    sender: SendRequest<Full<Bytes>>,
    head: Head,
    /// How the connection leads to the endpoint.
    pub path: Path,
    /// Address to which it was opened, unless a peer has opened it.
    pub address: Option<SocketAddrV4>,
    /// Time at which the connection was open.
    pub opened: Time,
    in_use: Arc<AtomicBool>,
    close_on_drop: CloseOnDrop,
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// If the connection breaks, or what comes is no head or too long for one.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.head.expect();
        let response = self.sender.send_request(request).await?;
        self.head.complete();
        Ok(response)
    }

    /// Waits until the next request can be sent, after a complete answer.
    ///
    /// # Errors
    /// If the connection has ended.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Returns whether the connection is open, as far as is known, and no request is in progress.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether more came before the end of an answer's head than is read.
    #[must_use]
    pub fn is_flooded(&self) -> bool {
        self.head.is_exceeded()
    }
}

/// An idle connection, and the times that limit its use.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    _kept: Kept<Activity>,
    since: Time,
    until: Time,
}

impl Idle {
    /// Returns whether the connection is open, as far as is known, and may still be used.
    fn is_open(&self, now: Time) -> bool {
        let is_given_up = self.connection.close_on_drop.sender.is_closed();
        !is_given_up && !self.connection.sender.is_closed() && self.until > now
    }
}

/// Idle connections, sorted by endpoint; the newest of each endpoint comes last.
type Table = Vec<(Key, Vec<Idle>)>;

/// Idle connections to endpoints, kept for the next requests.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<Table>,
    /// All connections, of which idle ones are the first to go.
    connections: Arc<Connections<Activity>>,
}

impl Pool {
    /// Creates an empty pool, whose idle connections count towards the bound of all.
    #[must_use]
    pub fn new(connections: Arc<Connections<Activity>>) -> Self {
        let idle = Mutex::default();
        Self { idle, connections }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the newest connection to an endpoint that has been idle for less than `max_idle`.
    ///
    /// It must lead to the endpoint's address through the peer `detour`, or over the own path. Others are
    /// closed when they have been idle for too long.
    #[must_use]
    pub fn reuse(
        &self,
        key: Key,
        address: SocketAddrV4,
        detour: Option<Node>,
        max_idle: Duration,
    ) -> Option<Connection> {
        self.take(
            key,
            |Idle {
                 connection, since, ..
             },
             now| {
                let leads_there = connection.address.is_none_or(|own| own == address);
                leads_there
                    && connection.path.detour == detour
                    && now.saturating_sub(*since) < max_idle
            },
        )
    }

    /// Takes the newest connection over a path that was open by a time.
    ///
    /// One that was opened later may lead to another process, and stays for the next requests.
    #[must_use]
    pub fn reuse_older(&self, key: Key, path: Path, time: Time) -> Option<Connection> {
        self.take(key, |idle, _| {
            idle.connection.path == path && idle.connection.opened <= time
        })
    }

    /// Takes the newest connection to an endpoint that is ready and usable.
    fn take(&self, key: Key, is_usable: impl Fn(&Idle, Time) -> bool) -> Option<Connection> {
        let now = clock::now();
        let mut table = self.table();
        let index = table.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        let idle = &mut table[index].1;
        idle.retain(|entry| entry.is_open(now));
        let index = idle
            .iter()
            .rposition(|entry| entry.connection.is_ready() && is_usable(entry, now))?;
        let connection = idle.remove(index).connection;
        connection.in_use.store(true, Ordering::Relaxed);
        Some(connection)
    }

    /// Keeps a connection after a complete answer or a probe.
    ///
    /// `limit` is the idle timeout that the endpoint announced. If the endpoint has too many idle
    /// connections, the oldest is closed. It is closed instead if there is no room for it.
    pub fn keep(&self, key: Key, connection: Connection, limit: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let close = connection.close_on_drop.sender.clone();
        let Some(kept) = self.connections.keep(close) else {
            return;
        };
        let now = clock::now();
        let max_idle = limit.map_or(DEFAULT_MAX_IDLE, |limit| {
            limit.mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE)
        });
        connection.in_use.store(false, Ordering::Relaxed);
        let mut table = self.table();
        let index = match table.binary_search_by_key(&key, |(key, _)| *key) {
            Ok(index) => index,
            Err(index) => {
                table.insert(index, (key, Vec::new()));
                index
            }
        };
        let idle = &mut table[index].1;
        if idle.len() == MAX_IDLE_PER_ENDPOINT {
            idle.remove(0);
        }
        idle.push(Idle {
            connection,
            _kept: kept,
            since: now,
            until: now + max_idle,
        });
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, key: Key) {
        let mut table = self.table();
        table.retain(|(other, _)| *other != key);
    }

    /// Closes the connections that have been idle for too long.
    pub fn expire(&self) {
        let now = clock::now();
        let mut table = self.table();
        for (_, idle) in table.iter_mut() {
            idle.retain(|entry| entry.is_open(now));
        }
        table.retain(|(_, idle)| !idle.is_empty());
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        let table = self.table();
        table.iter().map(|(_, idle)| idle.len()).sum()
    }

    /// Returns whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Bounds what is read from a connection in a row, and before the head of an answer.
pub(crate) fn bounded(stream: Async<TcpStream>) -> Bounded<Async<TcpStream>> {
    Bounded::new(stream, MAX_BYTES_TO_HEAD)
}

/// Sets up the HTTP client, and calls `on_broken` if the connection breaks while no request uses it.
///
/// `head` bounds the heads of the answers.
///
/// # Errors
/// If the client cannot be set up; no request was sent then.
pub async fn handshake<T, F>(
    io: T,
    head: Head,
    path: Path,
    on_broken: F,
) -> Result<Connection, hyper::Error>
where
    T: Read + Write + Unpin + Send + 'static,
    F: FnOnce() + Send + 'static,
{
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(io)
        .await?;
    let (close, closed) = async_channel::bounded::<()>(1);
    let in_use = Arc::new(AtomicBool::new(true));
    let task_in_use = Arc::clone(&in_use);
    async_std::task::spawn(async move {
        let work = async { driver.await.is_err() };
        let close = async {
            // An error means that the sender was dropped.
            let _ = closed.recv().await;
            false
        };
        let broken = future::or(work, close).await;
        if broken && !task_in_use.load(Ordering::Relaxed) {
            on_broken();
        }
    });
    Ok(Connection {
        sender,
        head,
        path,
        address: None,
        opened: clock::now(),
        in_use,
        close_on_drop: CloseOnDrop { sender: close },
    })
}
