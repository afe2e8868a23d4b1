//! Kept connections to endpoints.
//!
//! A connection that saw anything odd is never used again: it is kept only after a whole answer. An
//! idle one may be dead, so it is used only for as long as the endpoint says that it keeps it, and
//! the kernel probes it meanwhile.

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
    body::Bytes,
    client::conn::http1::{self, SendRequest},
};
use peridotdeck_core::{dispatch::Key, id::Time};
use quick_error::quick_error;
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use crate::clock;

/// Longest time to open a connection; a lost first packet is sent again only after a second.
pub const CONNECT: Duration = Duration::from_millis(400);

/// Time without a sign of life after which the kernel probes a connection, and between probes.
const PROBE: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is dead.
const PROBES: u32 = 3;

/// Time after which unacknowledged data prove a connection dead.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);

/// Longest time for which an idle connection is trusted.
const TRUST: Duration = Duration::from_secs(4);

/// Part of the endpoint's own limit for idle connections that is used.
const KEPT_PART: f64 = 0.7;

/// Longest idle time of a connection to an endpoint that does not say how long it keeps them.
const UNSAID: Duration = Duration::from_millis(800);

/// Idle connections kept for one endpoint.
const MOST_KEPT: usize = 32;

quick_error! {
    /// Why no connection was opened; nothing was sent.
    #[derive(Debug)]
    pub enum Error {
        /// The peer refused, or cannot be reached.
        Connect(cause: io::Error) {
            display("cannot connect: {cause}")
            from()
            source(cause)
        }
        /// The protocol could not be set up.
        Handshake(cause: hyper::Error) {
            display("handshake failed: {cause}")
            from()
            source(cause)
        }
    }
}

/// Sets what makes a dead connection show.
///
/// # Errors
/// If the system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Opens a connection within [`CONNECT`].
///
/// # Errors
/// If the peer refuses or does not answer in time.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let connected = timeout(CONNECT, Async::<TcpStream>::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    tune(stream.get_ref())?;
    Ok(stream)
}

/// Ends a connection's task, and with it the connection, when it is dropped.
#[derive(Debug)]
struct Cord {
    // Dropping the sender wakes the task.
    _end: async_channel::Sender<()>,
}

/// An open connection with nothing in progress, or the one that an exchange uses.
#[derive(Debug)]
pub struct Link {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    busy: Arc<AtomicBool>,
    _cord: Cord,
}

#[derive(Debug)]
struct Kept {
    link: Link,
    since: Time,
    until: Time,
}

impl Kept {
    /// Returns whether both ends still keep the connection, as far as is known.
    fn is_open(&self, now: Time) -> bool {
        !self.link.sender.is_closed() && self.until > now
    }
}

/// Kept connections, sorted by endpoint; the newest of each endpoint comes last.
type Table = Vec<(Key, Vec<Kept>)>;

/// Connections that wait for their next use, by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    kept: Mutex<Table>,
}

impl Pool {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a kept connection that has been idle for less than `fresh`.
    #[must_use]
    pub fn reuse(&self, key: Key, fresh: Duration) -> Option<Link> {
        let now = clock::now();
        let mut table = self.table();
        let at = table.binary_search_by_key(&key, |(each, _)| *each).ok()?;
        let kept = &mut table[at].1;
        kept.retain(|each| each.is_open(now));
        let usable =
            |each: &Kept| each.link.sender.is_ready() && now.saturating_sub(each.since) < fresh;
        let at = kept.iter().rposition(usable)?;
        let link = kept.remove(at).link;
        link.busy.store(true, Ordering::Relaxed);
        Some(link)
    }

    /// Keeps a connection after a whole answer; `limit` is how long the endpoint says it does.
    pub fn keep(&self, key: Key, link: Link, limit: Option<Duration>) {
        if link.sender.is_closed() {
            return;
        }
        let now = clock::now();
        let trust = limit.map_or(UNSAID, |limit| limit.mul_f64(KEPT_PART).min(TRUST));
        link.busy.store(false, Ordering::Relaxed);
        let mut table = self.table();
        let at = match table.binary_search_by_key(&key, |(each, _)| *each) {
            Ok(at) => at,
            Err(at) => {
                table.insert(at, (key, Vec::new()));
                at
            }
        };
        let kept = &mut table[at].1;
        if kept.len() == MOST_KEPT {
            kept.remove(0);
        }
        kept.push(Kept {
            link,
            since: now,
            until: now + trust,
        });
    }

    /// Closes the connections to an endpoint.
    pub fn forget(&self, key: Key) {
        let mut table = self.table();
        table.retain(|(each, _)| *each != key);
    }

    /// Closes what has been idle for too long.
    pub fn expire(&self) {
        let now = clock::now();
        let mut table = self.table();
        for (_, kept) in table.iter_mut() {
            kept.retain(|each| each.is_open(now));
        }
        table.retain(|(_, kept)| !kept.is_empty());
    }

    /// Returns the number of kept connections.
    #[must_use]
    pub fn len(&self) -> usize {
        let table = self.table();
        table.iter().map(|(_, kept)| kept.len()).sum()
    }

    /// Returns whether no connection is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Opens a new connection; `lost` is called if it breaks while nothing is in progress.
///
/// # Errors
/// If no connection was opened; nothing was sent.
pub async fn dial<F>(address: SocketAddrV4, lost: F) -> Result<Link, Error>
where
    F: FnOnce() + Send + 'static,
{
    let stream = connect(address.into()).await?;
    // A connection that is dropped is reset: an orderly close would go on sending what has not been
    // delivered, long after the request was given up.
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
    let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    let (end, ended) = async_channel::bounded::<()>(1);
    let busy = Arc::new(AtomicBool::new(true));
    let in_use = Arc::clone(&busy);
    async_std::task::spawn(async move {
        let work = async { connection.await.is_err() };
        let cut = async {
            // An error means that the sender was dropped.
            let _ = ended.recv().await;
            false
        };
        let broken = future::or(work, cut).await;
        if broken && !in_use.load(Ordering::Relaxed) {
            lost();
        }
    });
    Ok(Link {
        sender,
        busy,
        _cord: Cord { _end: end },
    })
}
