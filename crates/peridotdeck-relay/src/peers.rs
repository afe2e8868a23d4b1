//! Communication between nodes: heartbeats in UDP datagrams, and snapshots over HTTP.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use async_io::Timer;
use async_std::net::UdpSocket;
use peridotdeck_core::dispatch::{
    Node,
    due::SnapshotRequest,
    registry::{Ages, Area, Position, Snapshot},
    speed,
};
use peridotdeck_io::budget::Budget;
use peridotdeck_wire::{
    Error as WireError, Extension, MAX_DATAGRAM, VERSION, Versions, beat::Beat, pack_with,
    unpack_with,
};
use quick_error::quick_error;

use crate::{
    Ingress, Shared, clock,
    fetch::{self, Client},
};

/// Time limit for fetching a snapshot from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after a failed receive, so that a lasting error does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

quick_error! {
    /// Reason why a snapshot could not be fetched.
    #[derive(Debug)]
    pub enum Error {
        /// The HTTP request failed.
        Fetch(cause: fetch::Error) {
            display("{cause}")
            from()
            source(cause)
        }
        /// The response is not a valid snapshot.
        Decode(cause: postcard::Error) {
            display("snapshot cannot be decoded: {cause}")
            from()
            source(cause)
        }
    }
}

/// Datagram socket of this node and the ports at which it reaches its peers.
#[derive(Clone, Debug)]
pub struct Peers {
    socket: Arc<UdpSocket>,
    datagram_port: u16,
    control_port: u16,
}

impl Peers {
    /// Binds the datagram socket.
    ///
    /// Peers use the same port for datagrams, and `control_port` for HTTP.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, control_port: u16) -> io::Result<Self> {
        Ok(Self {
            socket: Arc::new(UdpSocket::bind(address).await?),
            datagram_port: address.port(),
            control_port,
        })
    }

    /// Receives heartbeats until the process ends.
    ///
    /// A heartbeat is dropped and counted if its node is not the address that sent it, or if it has
    /// another protocol version.
    pub async fn receive_heartbeats<I: Ingress>(self, shared: Arc<Shared<I>>) {
        let mut buffer = [0; MAX_DATAGRAM];
        let mut versions = Versions::default();
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(cause) => {
                    log::warn!("event=peer_receive_failed cause=\"{cause}\"");
                    Timer::after(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            match unpack_with::<Beat>(&buffer[..length]) {
                Ok((heartbeat, extensions)) if from.ip() == Node::from(heartbeat.node) => {
                    note_version(&mut versions, from, VERSION);
                    handle_extensions(&shared, &heartbeat, &extensions);
                    self.handle_heartbeat(&shared, &heartbeat).await;
                }
                Ok(_) => shared.metrics.count_peer_messages("foreign", 1),
                Err(WireError::Version(version)) => {
                    shared.metrics.count_peer_messages("other-version", 1);
                    note_version(&mut versions, from, version);
                }
                Err(cause) => {
                    shared.metrics.count_peer_messages("malformed", 1);
                    log::debug!("event=peer_malformed from={from} cause=\"{cause}\"");
                }
            }
        }
    }

    /// Updates the dispatcher, and replies if the peer requests it.
    async fn handle_heartbeat<I: Ingress>(&self, shared: &Shared<I>, heartbeat: &Beat) {
        shared.metrics.count_peer_messages("received", 1);
        let node = Node::from(heartbeat.node);
        let (replies, joined) = shared.dispatcher().receive(heartbeat, clock::now());
        if joined {
            log::info!(
                "event=peer_joined node={node} incarnation={:016x} policy={} roster={}",
                heartbeat.incarnation,
                Position::new(heartbeat.policy.era, heartbeat.policy.revision),
                Position::new(heartbeat.roster.era, heartbeat.roster.revision)
            );
        }
        for reply in replies {
            self.send_heartbeat(shared, &[node], &reply, &[]).await;
        }
    }

    /// Sends a heartbeat to peers, with the extensions that fit. Failures are only logged.
    pub async fn send_heartbeat<I: Ingress>(
        &self,
        shared: &Shared<I>,
        receivers: &[Node],
        heartbeat: &Beat,
        extensions: &[Extension<'_>],
    ) {
        let bytes = match pack_with(heartbeat, extensions) {
            Ok(bytes) => bytes,
            Err(cause) => {
                log::warn!("event=beat_too_large cause=\"{cause}\"");
                return;
            }
        };
        shared
            .metrics
            .count_peer_messages("sent", receivers.len() as u64);
        for node in receivers {
            let address = SocketAddrV4::new(*node, self.datagram_port);
            if let Err(cause) = self.socket.send_to(&bytes, address).await {
                log::debug!("event=peer_send_failed node={node} cause=\"{cause}\"");
            }
        }
    }

    /// Fetches a newer revision from a peer and adopts it.
    pub async fn fetch_snapshot<I: Ingress>(&self, shared: &Shared<I>, request: SnapshotRequest) {
        let SnapshotRequest { node, area, known } = request;
        match self.request_snapshot(request, &shared.memory).await {
            Ok(snapshot) => {
                let change = shared.dispatcher().adopt(snapshot, clock::now());
                log::info!("event=peer_asked node={node} area={area} known={known}");
                shared.handle_change(&change, "peer");
            }
            Err(cause) => {
                log::info!("event=peer_ask_failed node={node} area={area} cause=\"{cause}\"");
            }
        }
    }

    async fn request_snapshot(
        &self,
        request: SnapshotRequest,
        memory: &Budget,
    ) -> Result<Snapshot, Error> {
        let address = SocketAddrV4::new(request.node, self.control_port);
        let path = match request.area {
            Area::Policy => "/fleet/policy".to_owned(),
            Area::Roster => format!(
                "/fleet/roster?era={}&known={}",
                request.known.era, request.known.revision
            ),
        };
        let mut client = Client::of_process(address, memory.clone());
        let response = client.get(&path, FETCH_TIMEOUT).await?;
        Ok(postcard::from_bytes(response.body())?)
    }
}

/// Encodes what a node tells of speeds, if there is anything to tell.
#[must_use]
pub fn encode_speeds(message: &speed::Message) -> Option<Vec<u8>> {
    if message.is_empty() {
        return None;
    }
    // Encoding to a growing vector fails only for types without an encoding.
    postcard::to_allocvec(message).ok()
}

/// Encodes how long ago the publisher has confirmed what a node knows.
#[must_use]
pub fn encode_ages(ages: Ages) -> Option<Vec<u8>> {
    postcard::to_allocvec(&ages).ok()
}

/// Takes over what a peer says after a heartbeat.
fn handle_extensions<I: Ingress>(
    shared: &Shared<I>,
    heartbeat: &Beat,
    extensions: &[Extension<'_>],
) {
    let now = clock::now();
    for extension in extensions {
        let handled = match extension.kind {
            Extension::SPEEDS => postcard::from_bytes(extension.bytes)
                .map(|message| shared.dispatcher().receive_speeds(&message, now)),
            Extension::AGES => postcard::from_bytes(extension.bytes)
                .map(|ages| shared.dispatcher().receive_ages(heartbeat, ages, now)),
            _ => Ok(()),
        };
        if let Err(cause) = handled {
            shared.metrics.count_peer_messages("malformed", 1);
            log::debug!(
                "event=peer_malformed kind={} cause=\"{cause}\"",
                extension.kind
            );
        }
    }
}

/// Logs the protocol version of a datagram if its sender spoke another one before.
fn note_version(versions: &mut Versions, from: SocketAddr, version: u8) {
    if versions.record(from.ip(), version) {
        let node = from.ip();
        log::warn!("event=peer_version node={node} version={version} own={VERSION}");
    }
}
