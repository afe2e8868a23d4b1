//! Actions that a node returns for its shell to carry out.

use peridotdeck_wire::{Body, Member};

use crate::{id, request};

/// One step that the shell must carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the endpoint now.
    Dispatch {
        /// The request.
        request: id::Request,
        /// Id of the attempt, which the endpoint must echo.
        attempt: id::Attempt,
        /// The endpoint that receives the request.
        endpoint: id::Endpoint,
    },
    /// Refuse the request: answer the caller with a verdict and its cause.
    Refuse {
        /// The request.
        request: id::Request,
        /// Verdict, cause and time to wait before a retry.
        refusal: request::Refusal,
    },
    /// Send the caller the stored answer of an earlier request with the same idempotency key.
    Replay {
        /// The request.
        request: id::Request,
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// Close the attempt's connection; its end comes back as [`crate::Event::Ended`].
    Stop {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        body: Body,
    },
    /// Send a message to the seed nodes named in the settings.
    SendToSeeds {
        /// The message.
        body: Body,
    },
    /// Start or stop watching the configuration service and the VM list.
    Watch(bool),
    /// Fetch the load report of an endpoint.
    Poll {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// Record that a new configuration is in force.
    Adopted {
        /// Its revision.
        revision: id::Revision,
    },
    /// Report that a configuration was rejected as a whole.
    Rejected {
        /// Its revision.
        revision: id::Revision,
        /// All errors found by the check.
        errors: Vec<String>,
    },
}
