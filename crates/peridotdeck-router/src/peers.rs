//! Messages between routers.
//!
//! A message that fits travels as a UDP datagram; the core resends lost messages. A larger message
//! travels as a JSON-RPC request to the peer's HTTP address, with the same types.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{net::UdpSocket, task};
use http_types::{Method, Request, mime};
use jsonrpsee_types::{Id, Request as RpcRequest, Response, ResponsePayload};
use peridotdeck_http::client;
use peridotdeck_policy::digest_name;
use peridotdeck_wire::{
    Body, Envelope, Error, MAX_DATAGRAM, Member, VERSION, Versions, decode, encode,
};
use serde_json::value::RawValue;

use crate::{
    dial::Dial,
    handle::{Handle, Input},
    metrics::Metrics,
};

/// Path of the peers' JSON-RPC interface.
pub const PATH: &str = "/rpc/peer";

/// JSON-RPC method that delivers one envelope.
const DELIVER_METHOD: &str = "peer.deliver";

/// Longest wait for a peer's response to a JSON-RPC request.
const RPC_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity under which this node sends messages to its peers.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Number of the VM.
    pub node: u32,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Digest of the data centre's name.
    pub data_centre_digest: u32,
}

impl Identity {
    /// Creates the identity of a node in a data centre.
    #[must_use]
    pub fn new(node: u32, incarnation: u64, data_centre: &str) -> Self {
        Self {
            node,
            incarnation,
            data_centre_digest: digest_name(data_centre) as u32,
        }
    }
}

/// Sender of messages to peers.
#[derive(Clone, Debug)]
pub struct Sender<D> {
    identity: Identity,
    socket: Arc<UdpSocket>,
    dial: D,
    sequence: Arc<AtomicU64>,
    metrics: Arc<Metrics>,
}

impl<D: Dial> Sender<D> {
    /// Creates a sender that sends datagrams from a socket.
    #[must_use]
    pub fn new(identity: Identity, socket: Arc<UdpSocket>, dial: D, metrics: Arc<Metrics>) -> Self {
        Self {
            identity,
            socket,
            dial,
            sequence: Arc::default(),
            metrics,
        }
    }

    fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            sender: self.identity.node,
            incarnation: self.identity.incarnation,
            place: self.identity.data_centre_digest,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body,
        }
    }

    /// Sends a message, by datagram if it fits and by JSON-RPC otherwise.
    pub fn send(&self, to: Member, body: Body) {
        let Some(delay) = self.dial.datagram_delay(&to.place) else {
            return;
        };
        let envelope = self.envelope(body);
        match encode(&envelope) {
            Ok(bytes) => self.send_datagram(&to, bytes, kind(&envelope.body), delay),
            Err(Error::TooLarge(_)) => self.spawn_rpc(to, envelope),
            Err(cause) => log::error!("event=encode_failed cause=\"{cause}\""),
        }
    }

    fn send_datagram(&self, to: &Member, bytes: Vec<u8>, kind: &'static str, delay: Duration) {
        let Ok(address) = to.peers.parse::<SocketAddr>() else {
            log::warn!(
                "event=bad_peer_address node={} address=\"{}\"",
                to.node,
                to.peers
            );
            return;
        };
        self.metrics.count_message("out", kind, bytes.len());
        let socket = Arc::clone(&self.socket);
        task::spawn(async move {
            if !delay.is_zero() {
                task::sleep(delay).await;
            }
            if let Err(cause) = socket.send_to(&bytes, address).await {
                log::debug!("event=send_failed peer={address} cause=\"{cause}\"");
            }
        });
    }

    /// Sends a message by JSON-RPC, whatever its size.
    pub fn send_by_rpc(&self, to: Member, body: Body) {
        let envelope = self.envelope(body);
        self.spawn_rpc(to, envelope);
    }

    fn spawn_rpc(&self, to: Member, envelope: Envelope) {
        let sender = self.clone();
        task::spawn(async move {
            if let Err(cause) = sender.send_rpc(&to, &envelope).await {
                log::debug!("event=deliver_failed node={} cause=\"{cause}\"", to.node);
            }
        });
    }

    async fn send_rpc(&self, to: &Member, envelope: &Envelope) -> http_types::Result<()> {
        let address: SocketAddr = to.callers.parse()?;
        let params = RawValue::from_string(serde_json::to_string(&[envelope])?)?;
        let rpc =
            RpcRequest::borrowed(DELIVER_METHOD, Some(&params), Id::Number(envelope.sequence));
        let text = serde_json::to_string(&rpc)?;
        self.metrics
            .count_message("out", kind(&envelope.body), text.len());
        let mut request = Request::new(Method::Post, client::url(address, PATH)?);
        request.set_body(text);
        request.set_content_type(mime::JSON);
        let bad_gateway = |cause: client::Error| {
            http_types::Error::new(http_types::StatusCode::BadGateway, cause)
        };
        let stream = self
            .dial
            .connect(&to.place, address)
            .await
            .map_err(bad_gateway)?;
        client::send(stream, request, RPC_TIMEOUT)
            .await
            .map_err(bad_gateway)?;
        Ok(())
    }
}

/// Returns the label of a message in the byte counters.
fn kind(body: &Body) -> &'static str {
    match body {
        Body::Gossip(_) => "gossip",
        Body::Ask(_) => "ask",
        Body::Queued(_) => "queued",
        Body::Grant(_) => "grant",
        Body::Deny(_) => "deny",
        Body::Done(_) => "done",
        Body::Preempt(_) => "preempt",
        Body::Holding(_) => "holding",
        Body::Handover(_) => "handover",
        Body::Strike(_) => "strike",
        Body::Claim(_) => "claim",
        Body::Vote(_) => "vote",
        Body::Settle(_) => "settle",
        Body::Sync(_) => "sync",
        Body::Claims(_) => "claims",
        Body::Fetch(_) => "fetch",
        Body::Delta(_) => "delta",
        Body::Borrow(_) => "borrow",
        Body::Lend(_) => "lend",
    }
}

/// Receives datagrams until the task is cancelled.
///
/// Datagrams that cannot be decoded are counted and dropped, those of another protocol version
/// by themselves.
pub async fn receive(socket: Arc<UdpSocket>, handle: Handle, metrics: Arc<Metrics>) {
    let mut buffer = vec![0; MAX_DATAGRAM + 1];
    let mut versions = Versions::default();
    loop {
        let (size, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(cause) => {
                // The closed port of a peer is reported as an error of this socket.
                log::debug!("event=receive_failed cause=\"{cause}\"");
                continue;
            }
        };
        match decode(&buffer[..size]) {
            Ok(envelope) => {
                metrics.count_message("in", kind(&envelope.body), size);
                note_version(&mut versions, from, VERSION);
                handle.send_input(Input::Message(envelope, from.ip())).await;
            }
            Err(Error::Version(version)) => {
                metrics.count_message("in", "other-version", size);
                note_version(&mut versions, from, version);
            }
            Err(cause) => {
                metrics.count_message("in", "malformed", size);
                log::debug!("event=malformed_message peer={from} cause=\"{cause}\"");
            }
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

/// Handles a peer's JSON-RPC request and returns the text of the response.
pub async fn answer_rpc(text: &[u8], from: IpAddr, handle: &Handle, metrics: &Metrics) -> String {
    let Ok(request) = serde_json::from_slice::<RpcRequest<'_>>(text) else {
        return error_response(Id::Null, -32_700, "the call is not JSON-RPC");
    };
    if request.method != DELIVER_METHOD {
        return error_response(request.id, -32_601, "unknown method");
    }
    let params = request.params.as_ref().map_or("", |params| params.get());
    let Ok([envelope]) = serde_json::from_str::<[Envelope; 1]>(params) else {
        return error_response(request.id, -32_602, "the parameter is not one envelope");
    };
    metrics.count_message("in", kind(&envelope.body), text.len());
    handle.send_input(Input::Message(envelope, from)).await;
    let payload = ResponsePayload::success(true);
    serde_json::to_string(&Response::new(payload, request.id)).unwrap_or_default()
}

fn error_response(id: Id<'_>, code: i32, message: &str) -> String {
    let object = jsonrpsee_types::ErrorObject::owned::<()>(code, message, None);
    let payload = ResponsePayload::<()>::error(object);
    serde_json::to_string(&Response::new(payload, id)).unwrap_or_default()
}
