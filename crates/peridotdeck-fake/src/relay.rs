//! A TCP path that delays bytes, can lose track of its open connections, and can cut answers.
//!
//! After [`Relay::cut_answers`], the answers on each new connection end after some bytes with an
//! orderly close, at whichever byte that is. After [`Relay::repeat_answers`], they are sent twice.
//!
//! After [`Relay::silence`], connections that were open stay open and carry nothing more, while new
//! ones work: what a stateful device between two ends does when it forgets.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};

/// Bytes forwarded at a time.
const BUFFER: usize = 16 * 1_024;

/// A running relay in front of one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    epoch: Arc<AtomicU64>,
    answer_limit: Arc<AtomicU64>,
    repeats: Arc<AtomicBool>,
    accept: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay on loopback that forwards to `target` with a one-way `delay`.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(crate::ANY).await?;
        let address = listener.local_addr()?;
        let epoch = Arc::new(AtomicU64::new(0));
        let answer_limit = Arc::new(AtomicU64::new(u64::MAX));
        let repeats = Arc::new(AtomicBool::new(false));
        let path = Path {
            target,
            delay,
            epoch: Arc::clone(&epoch),
            answer_limit: Arc::clone(&answer_limit),
            repeats: Arc::clone(&repeats),
        };
        let accept = task::spawn(accept(listener, path));
        Ok(Self {
            address,
            epoch,
            answer_limit,
            repeats,
            accept: Some(accept),
        })
    }

    /// Returns the relay's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends each connection that is opened from now on after so many bytes from the target.
    pub fn cut_answers(&self, bytes: u64) {
        self.answer_limit.store(bytes, Ordering::SeqCst);
    }

    /// Sends each answer a second time, on connections that are opened from now on.
    pub fn repeat_answers(&self, repeats: bool) {
        self.repeats.store(repeats, Ordering::SeqCst);
    }

    /// Forgets all connections that are open now.
    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(accept) = self.accept.take() {
            task::spawn(accept.cancel());
        }
    }
}

/// What the relay does to its connections.
#[derive(Clone, Debug)]
struct Path {
    target: SocketAddr,
    delay: Duration,
    epoch: Arc<AtomicU64>,
    answer_limit: Arc<AtomicU64>,
    repeats: Arc<AtomicBool>,
}

async fn accept(listener: TcpListener, path: Path) {
    while let Ok((near, _)) = listener.accept().await {
        let path = path.clone();
        task::spawn(async move {
            task::sleep(path.delay).await;
            let Ok(far) = TcpStream::connect(path.target).await else {
                return;
            };
            let limit = path.answer_limit.load(Ordering::SeqCst);
            task::spawn(forward(near.clone(), far.clone(), path.clone(), u64::MAX));
            if path.repeats.load(Ordering::SeqCst) {
                task::spawn(forward_twice(far, near));
            } else {
                task::spawn(forward(far, near, path, limit));
            }
        });
    }
}

/// Forwards bytes in one direction, at most `left`.
async fn forward(mut from: TcpStream, mut to: TcpStream, path: Path, mut left: u64) {
    let born = path.epoch.load(Ordering::SeqCst);
    let mut buffer = vec![0; BUFFER];
    while left > 0 {
        let most = left.min(BUFFER as u64) as usize;
        let read = from.read(&mut buffer[..most]).await;
        if path.epoch.load(Ordering::SeqCst) != born {
            // Both ends keep their connection, and neither hears of the other again.
            std::future::pending::<()>().await;
        }
        task::sleep(path.delay).await;
        match read {
            Ok(count) if count > 0 && to.write_all(&buffer[..count]).await.is_ok() => {
                left -= count as u64;
            }
            _ => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// Forwards bytes in one direction, and all of them once more after each pause.
async fn forward_twice(mut from: TcpStream, mut to: TcpStream) {
    /// Time without bytes after which an answer counts as complete.
    const PAUSE: Duration = Duration::from_millis(5);
    let mut buffer = [0; BUFFER];
    let mut answer = Vec::new();
    loop {
        let is_sent = match timeout(PAUSE, from.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => {
                answer.extend_from_slice(&buffer[..count]);
                to.write_all(&buffer[..count]).await.is_ok()
            }
            Ok(_) => return,
            Err(_) => to.write_all(&std::mem::take(&mut answer)).await.is_ok(),
        };
        if !is_sent {
            return;
        }
    }
}
