//! A TCP path that delays bytes and can lose track of its open connections.
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
        let accept = task::spawn(accept(listener, target, delay, Arc::clone(&epoch)));
        Ok(Self {
            address,
            epoch,
            accept: Some(accept),
        })
    }

    /// Returns the relay's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
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

async fn accept(listener: TcpListener, target: SocketAddr, delay: Duration, epoch: Arc<AtomicU64>) {
    while let Ok((near, _)) = listener.accept().await {
        let epoch = Arc::clone(&epoch);
        task::spawn(async move {
            task::sleep(delay).await;
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let born = epoch.load(Ordering::SeqCst);
            task::spawn(forward(
                near.clone(),
                far.clone(),
                delay,
                born,
                Arc::clone(&epoch),
            ));
            task::spawn(forward(far, near, delay, born, epoch));
        });
    }
}

async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    delay: Duration,
    born: u64,
    epoch: Arc<AtomicU64>,
) {
    /// Bytes forwarded at a time.
    const BUFFER: usize = 16 * 1_024;
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buffer).await;
        if epoch.load(Ordering::SeqCst) != born {
            // Both ends keep their connection, and neither hears of the other again.
            std::future::pending::<()>().await;
        }
        task::sleep(delay).await;
        match read {
            Ok(count) if count > 0 && to.write_all(&buffer[..count]).await.is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
