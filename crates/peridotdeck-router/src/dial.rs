//! Outgoing connections and datagrams.

use std::{net::SocketAddr, time::Duration};

use async_std::net::TcpStream;
use peridotdeck_http::client;

/// Opens connections, and delays or drops outgoing datagrams.
///
/// The router uses [`Direct`]. Experiments simulate delays and partitions between data centres
/// here, because a loopback network has none.
pub trait Dial: Clone + Send + Sync + 'static {
    /// Opens a connection to an address in a data centre.
    ///
    /// # Errors
    /// [`client::Error::Unreachable`] if the connection cannot be opened.
    fn connect(
        &self,
        data_centre: &str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<TcpStream, client::Error>> + Send;

    /// Returns the simulated delay of a datagram to a data centre, or `None` to drop it.
    fn datagram_delay(&self, data_centre: &str) -> Option<Duration>;

    /// Returns whether requests to the platform may be sent.
    fn reaches_platform(&self) -> bool;
}

/// The real network, without simulated delays or partitions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

impl Dial for Direct {
    async fn connect(
        &self,
        _data_centre: &str,
        address: SocketAddr,
    ) -> Result<TcpStream, client::Error> {
        client::connect(address).await
    }

    fn datagram_delay(&self, _data_centre: &str) -> Option<Duration> {
        Some(Duration::ZERO)
    }

    fn reaches_platform(&self) -> bool {
        true
    }
}
