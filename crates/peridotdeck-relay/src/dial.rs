//! Opens connections to endpoints, over the own path or through a peer.

use std::{io, net::SocketAddrV4, sync::Arc};

use peridotdeck_core::dispatch::{Key, Node};
use quick_error::quick_error;
use smol_hyper::rt::FuturesIo;

use crate::{
    Ingress, Shared,
    pool::{self, Connection, Path},
    tunnel::{self, Purpose},
};

quick_error! {
    /// Reason why a connection could not be opened; no request was sent.
    #[derive(Debug)]
    pub enum Error {
        /// The connection was refused, timed out, or a socket option could not be set.
        Connect(cause: io::Error) {
            display("cannot connect: {cause}")
            from()
            source(cause)
        }
        /// A peer opened no connection to the endpoint.
        Detour(cause: tunnel::Error) {
            display("no connection through the peer: {cause}")
            from()
            source(cause)
        }
        /// The HTTP client could not be set up on the connection.
        Handshake(cause: hyper::Error) {
            display("handshake failed: {cause}")
            from()
            source(cause)
        }
    }
}

/// Opens a connection for a purpose, through the peer `detour` or over the own path.
pub(crate) async fn dial<I: Ingress>(
    shared: &Arc<Shared<I>>,
    key: Key,
    address: SocketAddrV4,
    detour: Option<Node>,
    purpose: Purpose,
) -> Result<Connection, Error> {
    match detour {
        Some(peer) => through(shared, key, peer, purpose).await,
        None => directly(shared, key, address).await,
    }
}

/// Opens a connection that marks its endpoint as suspected if it breaks while idle.
pub(crate) async fn directly<I: Ingress>(
    shared: &Arc<Shared<I>>,
    key: Key,
    address: SocketAddrV4,
) -> Result<Connection, Error> {
    let observer = Arc::clone(shared);
    let dialed = open(address, move || observer.suspect(key)).await;
    shared.metrics.count_dial(dialed.is_ok());
    dialed
}

/// Opens a connection to an endpoint through a peer.
pub(crate) async fn through<I: Ingress>(
    shared: &Arc<Shared<I>>,
    key: Key,
    peer: Node,
    purpose: Purpose,
) -> Result<Connection, Error> {
    let dialed = tunnel::dial(shared, key, peer, purpose).await;
    shared.metrics.count_detour(dialed.is_ok());
    Ok(dialed?)
}

/// Opens a connection, and calls `on_broken` if it breaks while no request uses it.
///
/// # Errors
/// If the connection cannot be opened; no request was sent then.
pub async fn open<F>(address: SocketAddrV4, on_broken: F) -> Result<Connection, Error>
where
    F: FnOnce() + Send + 'static,
{
    let stream = pool::bounded(pool::connect(address.into()).await?);
    let head = stream.head();
    let io = FuturesIo::new(stream);
    let mut opened = pool::handshake(io, head, Path::OWN, on_broken).await?;
    opened.address = Some(address);
    Ok(opened)
}
