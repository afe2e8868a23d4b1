//! HTTP server with connection limits and a graceful stop.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, LazyLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_h1::server::ConnectionStatus;
use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use futures_lite::future::or;
use http_types::{Request, Response, Result};
use peridotdeck_io::{
    Bounded,
    connections::{self, Connections, Place, Wait},
};

/// Status and message for a request head that is not HTTP, is too long or has too many headers.
const MALFORMED_HEAD: (&str, &str) = ("400 Bad Request", "unreadable request head");

/// Largest number of bytes that are read before a request's head is complete.
///
/// `async-h1` checks its own limit only at the end of each line.
const MAX_BYTES_TO_HEAD: usize = 64 << 10;

/// Status and message for a request head that does not arrive in time.
const SLOW_HEAD: (&str, &str) = ("408 Request Timeout", "request head took too long");

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Timeout for a request's head, counted from the previous response on the connection.
    pub head_timeout: Duration,
    /// Maximum number of open connections; a further one takes the place of one that waits for its caller.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            max_connections: 8_192,
        }
    }
}

/// Connection on which a request arrived; stored in the request's extensions.
#[derive(Clone, Debug)]
pub struct Connection(pub TcpStream);

impl Connection {
    /// Waits until the peer has closed the connection.
    ///
    /// Bytes that arrive meanwhile belong to a pipelined request. A close is then not detected
    /// until the next write.
    pub async fn closed(&self) {
        let mut byte = [0];
        match self.0.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }
}

/// What a server knows of a connection: whether a request is in progress, and has come completely.
#[derive(Debug)]
struct Activity {
    /// From the end of a request's head to the end of its response.
    is_busy: AtomicBool,
    is_receiving: AtomicBool,
    /// Time at which the last request began or ended, in milliseconds since the first connection.
    last_ms: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self {
            is_busy: AtomicBool::new(false),
            is_receiving: AtomicBool::new(false),
            last_ms: AtomicU64::new(millis()),
        }
    }

    fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::SeqCst)
    }

    /// Notes whether a request is in progress; returns whether one was.
    fn set_busy(&self, is_busy: bool) -> bool {
        self.last_ms.store(millis(), Ordering::SeqCst);
        self.is_busy.swap(is_busy, Ordering::SeqCst)
    }
}

impl connections::Activity for Activity {
    fn millis() -> u64 {
        millis()
    }

    fn wait(&self) -> Option<Wait> {
        let last = self.last_ms.load(Ordering::SeqCst);
        if !self.is_busy() {
            return Some(Wait::Request(last));
        }
        let is_receiving = self.is_receiving.load(Ordering::SeqCst);
        is_receiving.then_some(Wait::Body(last))
    }
}

/// Returns the time since the first connection in milliseconds.
fn millis() -> u64 {
    static FIRST: LazyLock<Instant> = LazyLock::new(Instant::now);
    FIRST.elapsed().as_millis() as u64
}

/// Receipt of a request; stored in the request's extensions.
#[derive(Clone, Debug)]
pub struct Receipt(Arc<Activity>);

impl Receipt {
    /// Marks the request as incomplete until the guard is dropped.
    ///
    /// Its connection may meanwhile be closed for others.
    #[must_use]
    pub fn receive(&self) -> Receiving {
        self.0.is_receiving.store(true, Ordering::SeqCst);
        Receiving(Arc::clone(&self.0))
    }
}

/// Guard of a request whose body is being read.
#[derive(Debug)]
pub struct Receiving(Arc<Activity>);

impl Drop for Receiving {
    fn drop(&mut self) {
        self.0.is_receiving.store(false, Ordering::SeqCst);
    }
}

/// Running server; dropping it stops accepting connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    state: Arc<AcceptState>,
    accept: Option<JoinHandle<()>>,
}

/// State shared by the accept loop and the connections.
#[derive(Debug, Default)]
pub struct AcceptState {
    rejecting: AtomicBool,
    open: AtomicUsize,
    /// Requests whose heads have come and whose responses are not completely written.
    busy: AtomicUsize,
}

impl AcceptState {
    /// Sets whether every new connection is closed at once, to simulate a crashed process.
    pub fn set_rejecting(&self, rejecting: bool) {
        self.rejecting.store(rejecting, Ordering::SeqCst);
    }

    fn is_rejecting(&self) -> bool {
        self.rejecting.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose responses are not completely written.
    #[must_use]
    pub fn busy_requests(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }
}

/// Counts a connection's request in progress, from the end of its head to the end of its response.
struct Busy<'a> {
    state: &'a AcceptState,
    activity: &'a Activity,
}

impl Busy<'_> {
    fn begin(&self) {
        if !self.activity.set_busy(true) {
            self.state.busy.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn end(&self) {
        if self.activity.set_busy(false) {
            self.state.busy.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn is_busy(&self) -> bool {
        self.activity.is_busy()
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

impl Server {
    /// Binds an address and answers requests with `respond`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start<F, Fut>(address: SocketAddr, limits: Limits, respond: F) -> io::Result<Self>
    where
        F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Result<Response>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(AcceptState::default());
        let accept = task::spawn(accept(listener, limits, Arc::clone(&state), respond));
        Ok(Self {
            address,
            state,
            accept: Some(accept),
        })
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the accept state, with which a fake simulates a crash.
    #[must_use]
    pub fn accept_state(&self) -> Arc<AcceptState> {
        Arc::clone(&self.state)
    }

    /// Stops accepting connections; open connections continue.
    pub async fn stop(mut self) {
        if let Some(accept) = self.accept.take() {
            accept.cancel().await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(accept) = self.accept.take() {
            task::spawn(accept.cancel());
        }
    }
}

async fn accept<F, Fut>(listener: TcpListener, limits: Limits, state: Arc<AcceptState>, respond: F)
where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send + 'static,
{
    /// Delay after a failed accept, which usually means that file descriptors ran out.
    const RETRY_DELAY: Duration = Duration::from_millis(50);
    let connections = Arc::new(Connections::new(limits.max_connections));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if state.is_rejecting() => drop(stream),
            Ok((stream, peer)) => {
                let activity = Arc::new(Activity::new());
                let Some(place) = connections.enter(&activity) else {
                    continue;
                };
                state.open.fetch_add(1, Ordering::SeqCst);
                let (state, respond) = (Arc::clone(&state), respond.clone());
                task::spawn(async move {
                    let handled = handle(stream, limits, (&state, &activity), respond);
                    let taken = async {
                        wait_taken(&place, &activity).await;
                        Ok(())
                    };
                    if let Err(cause) = or(handled, taken).await {
                        log::debug!("event=connection_ended peer={peer} cause=\"{cause}\"");
                    }
                    state.open.fetch_sub(1, Ordering::SeqCst);
                });
                connections.settle().await;
            }
            Err(cause) => {
                log::warn!("event=accept_failed cause=\"{cause}\"");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until a connection's place is needed for another one, and its request in progress has ended.
async fn wait_taken(place: &Place<Activity>, activity: &Activity) {
    /// Time between two looks at a request that was complete just before its place was taken.
    const INTERVAL: Duration = Duration::from_millis(50);
    place.taken().await;
    while connections::Activity::wait(activity).is_none() {
        task::sleep(INTERVAL).await;
    }
}

/// Answers the requests of one connection in turn.
///
/// A request head that does not arrive in time or cannot be parsed is answered here, because
/// `async-h1` would close the connection without a response.
async fn handle<F, Fut>(
    stream: TcpStream,
    limits: Limits,
    (state, activity): (&AcceptState, &Arc<Activity>),
    respond: F,
) -> Result<()>
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Result<Response>>,
{
    stream.set_nodelay(true)?;
    let connection = Connection(stream.clone());
    let busy = Busy { state, activity };
    let bounded = Bounded::new(stream.clone(), MAX_BYTES_TO_HEAD);
    let head = bounded.head();
    let answer = |mut request: Request| {
        head.complete();
        busy.begin();
        request.ext_mut().insert(connection.clone());
        request.ext_mut().insert(Receipt(Arc::clone(activity)));
        respond(request)
    };
    let mut server = async_h1::server::Server::new(bounded, answer);
    loop {
        head.expect();
        busy.end();
        let slow_head = async {
            task::sleep(limits.head_timeout).await;
            if busy.is_busy() {
                std::future::pending::<()>().await;
            }
            None
        };
        match or(async { Some(server.accept_one().await) }, slow_head).await {
            Some(Ok(ConnectionStatus::KeepAlive)) => {}
            Some(Ok(ConnectionStatus::Close)) => return Ok(()),
            Some(Err(cause)) => {
                if !busy.is_busy() {
                    refuse(stream, MALFORMED_HEAD).await;
                }
                return Err(cause);
            }
            None => {
                refuse(stream, SLOW_HEAD).await;
                return Ok(());
            }
        }
    }
}

/// Writes an error in the callers' format and closes the connection.
///
/// Write errors are ignored, since the caller may already have closed it.
async fn refuse(mut stream: TcpStream, (status, message): (&str, &str)) {
    let body = format!(
        r#"{{"error":{{"message":"{message}","type":"invalid_request","verdict":"not_run"}}}}"#
    );
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Returns the result of `work`, or `None` if the caller closes the connection first.
pub async fn run_until_closed<T>(
    connection: &Connection,
    work: impl Future<Output = T>,
) -> Option<T> {
    let closed = async {
        connection.closed().await;
        None
    };
    or(async { Some(work.await) }, closed).await
}
