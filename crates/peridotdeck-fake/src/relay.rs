//! A TCP path that delays bytes, can lose track of its open connections, and can cut answers.
//!
//! After [`Relay::cut_answers`], the answers on each new connection end after some bytes with an
//! orderly close, at whichever byte that is.
//!
//! After [`Relay::silence`], connections that were open stay open and carry nothing more, while new
//! ones work: what a stateful device between two ends does when it forgets.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};

/// A running relay in front of one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    epoch: Arc<AtomicU64>,
    answer_limit: Arc<AtomicU64>,
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
        let path = Path {
            target,
            delay,
            epoch: Arc::clone(&epoch),
            answer_limit: Arc::clone(&answer_limit),
        };
        let accept = task::spawn(accept(listener, path));
        Ok(Self {
            address,
            epoch,
            answer_limit,
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
            task::spawn(forward(far, near, path, limit));
        });
    }
}

/// Forwards bytes in one direction, at most `left`.
async fn forward(mut from: TcpStream, mut to: TcpStream, path: Path, mut left: u64) {
    /// Bytes forwarded at a time.
    const BUFFER: usize = 16 * 1_024;
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
