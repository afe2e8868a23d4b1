//! The channel by which all other tasks reach the driver.

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use peridotdeck_core::{
    Event, Node, id,
    request::{Call, Refusal},
};
use peridotdeck_policy::{Endpoint, Snapshot};
use peridotdeck_wire::Envelope;

/// Inputs that may wait for the driver; a full channel makes senders wait.
const MAX_QUEUED_INPUTS: usize = 4_096;

/// A closure that reads the node's state at the given time; not used on the request path.
pub type Inspection = Box<dyn FnOnce(&Node, Duration) + Send>;

/// An input that the driver passes to the core.
pub enum Input {
    /// An event of the core.
    Event(Event),
    /// A peer's message and the IP address of its sender.
    Message(Envelope, IpAddr),
    /// A caller's new request, and the channel for its id and its commands.
    Submit(Call, Sender<(id::Request, Receiver<Command>)>),
    /// A closure that reads the node's state.
    Inspect(Inspection),
}

impl std::fmt::Debug for Input {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Event(_) => "Event",
            Self::Message(..) => "Message",
            Self::Submit(..) => "Submit",
            Self::Inspect(_) => "Inspect",
        })
    }
}

/// A command of the core to the task of one request.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send the request to an endpoint.
    Run {
        /// Id of the attempt, which the endpoint must echo.
        attempt: id::Attempt,
        /// The endpoint that receives the request.
        endpoint: Endpoint,
    },
    /// Close the attempt's connection.
    Stop {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Answer the caller with a refusal.
    Refuse(Refusal),
    /// Send the caller the stored answer of an earlier request with the same idempotency key.
    Replay {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
}

/// The sending side of the driver's channel, and the state that the driver publishes.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: Sender<Input>,
    /// State that tasks read without an input to the driver.
    pub shared: Arc<Shared>,
}

/// State that the driver publishes to the other tasks.
#[derive(Debug, Default)]
pub struct Shared {
    /// Revision of the configuration in force.
    pub config_revision: AtomicU64,
    /// Revision of the VM list in use.
    pub vm_list_revision: AtomicU64,
    /// Whether this node is a watcher, which keeps blocking queries open at the platform.
    pub watching: AtomicBool,
    /// Total time in nanoseconds that the core has spent on events.
    pub busy_ns: AtomicU64,
    snapshot: Mutex<Option<Arc<Snapshot>>>,
}

impl Shared {
    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_snapshot(&self, snapshot: Option<Arc<Snapshot>>) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }
}

impl Handle {
    /// Creates the channel and returns both ends; the receiver is the driver's.
    #[must_use]
    pub fn new() -> (Self, Receiver<Input>) {
        let (inputs, receiver) = async_channel::bounded(MAX_QUEUED_INPUTS);
        (
            Self {
                inputs,
                shared: Arc::default(),
            },
            receiver,
        )
    }

    /// Sends an event to the driver; does nothing after the driver has stopped.
    pub async fn send(&self, event: Event) {
        self.send_input(Input::Event(event)).await;
    }

    /// Sends an input to the driver; does nothing after the driver has stopped.
    pub async fn send_input(&self, input: Input) {
        let _ = self.inputs.send(input).await;
    }

    /// Submits a request and returns its id and the channel of its commands.
    ///
    /// Returns `None` after the driver has stopped.
    pub async fn submit(&self, call: Call) -> Option<(id::Request, Receiver<Command>)> {
        let (reply, response) = async_channel::bounded(1);
        self.send_input(Input::Submit(call, reply)).await;
        response.recv().await.ok()
    }

    /// Runs a closure on the node's state and returns its result.
    ///
    /// Returns `None` after the driver has stopped.
    pub async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&Node, Duration) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, result) = async_channel::bounded(1);
        let inspection = move |node: &Node, now| {
            let _ = reply.try_send(inspect(node, now));
        };
        self.send_input(Input::Inspect(Box::new(inspection))).await;
        result.recv().await.ok()
    }
}
