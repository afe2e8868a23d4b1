//! How connections and datagrams leave the process.

use std::{net::SocketAddr, time::Duration};

use async_std::net::TcpStream;
use peridotdeck_http::client;

/// Opens connections and decides the fate of datagrams.
///
/// The product uses [`Direct`]; experiments put path delays and cuts between data centres here,
/// which a loopback network does not have.
pub trait Dial: Clone + Send + Sync + 'static {
    /// Opens a connection to an address in a data centre.
    fn connect(
        &self,
        place: &str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<TcpStream, client::Error>> + Send;

    /// Returns the extra delay of a datagram to a data centre, or none if it is lost.
    fn datagram_delay(&self, place: &str) -> Option<Duration>;

    /// Returns whether the platform can be reached.
    fn reaches_platform(&self) -> bool;
}

/// The network as it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

impl Dial for Direct {
    async fn connect(&self, _place: &str, address: SocketAddr) -> Result<TcpStream, client::Error> {
        client::connect(address).await
    }

    fn datagram_delay(&self, _place: &str) -> Option<Duration> {
        Some(Duration::ZERO)
    }

    fn reaches_platform(&self) -> bool {
        true
    }
}
