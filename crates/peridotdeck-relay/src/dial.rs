//! Opens connections to endpoints, over the own path or through a peer.

use std::{net::SocketAddrV4, sync::Arc};

use peridotdeck_core::dispatch::{Key, Node};

use crate::{
    Ingress, Shared,
    pool::{self, Connection},
    tunnel::{self, Purpose},
};

/// Opens a connection for a purpose, through the peer `detour` or over the own path.
pub(crate) async fn dial<I: Ingress>(
    shared: &Arc<Shared<I>>,
    key: Key,
    address: SocketAddrV4,
    detour: Option<Node>,
    purpose: Purpose,
) -> Result<Connection, pool::Error> {
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
) -> Result<Connection, pool::Error> {
    let observer = Arc::clone(shared);
    let dialed = pool::dial(address, move || observer.suspect(key)).await;
    shared.metrics.count_dial(dialed.is_ok());
    dialed
}

/// Opens a connection to an endpoint through a peer.
pub(crate) async fn through<I: Ingress>(
    shared: &Arc<Shared<I>>,
    key: Key,
    peer: Node,
    purpose: Purpose,
) -> Result<Connection, pool::Error> {
    let dialed = tunnel::dial(shared, key, peer, purpose).await;
    shared.metrics.count_detour(dialed.is_ok());
    dialed
}
