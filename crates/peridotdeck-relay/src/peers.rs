//! Datagrams between nodes, and what they fetch from each other.

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
    registry::{Area, Snapshot},
};
use peridotdeck_wire::{MAX_DATAGRAM, beat::Beat, pack, unpack};
use quick_error::quick_error;

use crate::{
    Ingress, Shared, clock,
    fetch::{self, Source},
};

/// Longest time for an errand.
const PATIENCE: Duration = Duration::from_millis(800);

/// Rest after a failed receive.
const REST: Duration = Duration::from_millis(20);

quick_error! {
    /// Why an errand brought nothing.
    #[derive(Debug)]
    pub enum Error {
        /// The peer cannot be read.
        Fetch(cause: fetch::Error) {
            display("{cause}")
            from()
            source(cause)
        }
        /// The answer cannot be decoded.
        Decode(cause: postcard::Error) {
            display("answer malformed: {cause}")
            from()
            source(cause)
        }
    }
}

/// The node's ends towards its peers.
#[derive(Clone, Debug)]
pub struct Peers {
    socket: Arc<UdpSocket>,
    port: u16,
    control: u16,
}

impl Peers {
    /// Binds the datagram socket; peers use the same ports.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, control: u16) -> io::Result<Self> {
        Ok(Self {
            socket: Arc::new(UdpSocket::bind(address).await?),
            port: address.port(),
            control,
        })
    }

    /// Hears peers for as long as the process lives.
    pub async fn hear<I: Ingress>(self, shared: Arc<Shared<I>>) {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(cause) => {
                    log::warn!("event=peer_receive_failed cause=\"{cause}\"");
                    Timer::after(REST).await;
                    continue;
                }
            };
            match unpack::<Beat>(&buffer[..length]) {
                Ok(beat) if from.ip() == Node::from(beat.node) => {
                    self.take_in(&shared, &beat).await;
                }
                Ok(_) => shared.metrics.messages("foreign", 1),
                Err(cause) => {
                    shared.metrics.messages("malformed", 1);
                    log::debug!("event=peer_malformed from={from} cause=\"{cause}\"");
                }
            }
        }
    }

    async fn take_in<I: Ingress>(&self, shared: &Shared<I>, beat: &Beat) {
        shared.metrics.messages("received", 1);
        let node = Node::from(beat.node);
        let (answer, joined) = shared.dispatcher().receive(beat, clock::now());
        if joined {
            log::info!(
                "event=peer_joined node={node} incarnation={:016x} policy={} roster={}",
                beat.incarnation,
                beat.policy,
                beat.roster
            );
        }
        if let Some(answer) = answer {
            self.tell(shared, node, &answer).await;
        }
    }

    /// Sends one beat.
    pub async fn tell<I: Ingress>(&self, shared: &Shared<I>, node: Node, beat: &Beat) {
        let bytes = match pack(beat) {
            Ok(bytes) => bytes,
            Err(cause) => {
                log::warn!("event=beat_too_large node={node} cause=\"{cause}\"");
                return;
            }
        };
        shared.metrics.messages("sent", 1);
        let address = SocketAddrV4::new(node, self.port);
        if let Err(cause) = self.socket.send_to(&bytes, address).await {
            log::debug!("event=peer_send_failed node={node} cause=\"{cause}\"");
        }
    }

    /// Fetches what a peer knows better, and takes it in.
    pub async fn fetch<I: Ingress>(&self, shared: &Shared<I>, request: SnapshotRequest) {
        let SnapshotRequest { node, area, known } = request;
        match self.ask(request).await {
            Ok(snapshot) => {
                let change = shared.dispatcher().adopt(snapshot, clock::now());
                log::info!("event=peer_asked node={node} area={area} known={known}");
                shared.note_change(&change, "peer");
            }
            Err(cause) => {
                log::info!("event=peer_ask_failed node={node} area={area} cause=\"{cause}\"");
            }
        }
    }

    async fn ask(&self, request: SnapshotRequest) -> Result<Snapshot, Error> {
        let address = SocketAddrV4::new(request.node, self.control);
        let path = match request.area {
            Area::Policy => "/fleet/policy".to_owned(),
            Area::Roster => format!("/fleet/roster?known={}", request.known),
        };
        let body = Source::new(address).get(&path, PATIENCE).await?;
        Ok(postcard::from_bytes(&body)?)
    }
}
