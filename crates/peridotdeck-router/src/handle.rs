//! The way to the driver, for all other tasks.

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

/// Inputs that may wait; more slow their senders down.
const INPUTS: usize = 4_096;

/// A look at the node, not on the request path.
pub type Inspection = Box<dyn FnOnce(&Node, Duration) + Send>;

/// Something for the core to handle.
pub enum Input {
    /// An event.
    Event(Event),
    /// A message, with the address that it came from.
    Message(Envelope, IpAddr),
    /// A new request.
    Submit(Call, Sender<(id::Request, Receiver<Command>)>),
    /// A look at the node.
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

/// What a request's task is told.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send the request to an endpoint.
    Run {
        /// Id that the endpoint must echo.
        attempt: id::Attempt,
        /// Where to send it.
        endpoint: Endpoint,
    },
    /// Close the attempt's connection.
    Stop {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Tell the caller that there will be no answer.
    Refuse(Refusal),
    /// Give the caller an earlier answer.
    Replay {
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
}

/// The way to the driver, for all other tasks.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: Sender<Input>,
    /// What the platform's watches need to know without asking.
    pub shared: Arc<Shared>,
}

/// Facts that the driver publishes to the other tasks.
#[derive(Debug, Default)]
pub struct Shared {
    /// Configuration revision in force.
    pub config_revision: AtomicU64,
    /// Index of the VM list in use.
    pub vm_list_revision: AtomicU64,
    /// Whether this node watches the platform.
    pub watching: AtomicBool,
    /// Time in nanoseconds that decisions have taken.
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
    /// Creates the channel to a driver.
    #[must_use]
    pub fn new() -> (Self, Receiver<Input>) {
        let (inputs, receiver) = async_channel::bounded(INPUTS);
        (
            Self {
                inputs,
                shared: Arc::default(),
            },
            receiver,
        )
    }

    /// Hands over an event.
    pub async fn send(&self, event: Event) {
        self.send_input(Input::Event(event)).await;
    }

    /// Hands over an input; after the driver has stopped, nothing happens.
    pub async fn send_input(&self, input: Input) {
        let _ = self.inputs.send(input).await;
    }

    /// Hands over a request and returns its id and orders; none after the driver has stopped.
    pub async fn submit(&self, call: Call) -> Option<(id::Request, Receiver<Command>)> {
        let (reply, answer) = async_channel::bounded(1);
        self.send_input(Input::Submit(call, reply)).await;
        answer.recv().await.ok()
    }

    /// Looks at the node; none after the driver has stopped.
    pub async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&Node, Duration) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        let inspection = move |node: &Node, now| {
            let _ = reply.try_send(inspect(node, now));
        };
        self.send_input(Input::Inspect(Box::new(inspection))).await;
        answer.recv().await.ok()
    }
}
