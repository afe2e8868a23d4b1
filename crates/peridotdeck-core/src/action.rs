//! What a node asks of its shell.

use peridotdeck_wire::{Body, Member};

use crate::{id, request};

/// Something that the shell must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the endpoint now.
    Dispatch {
        /// The request.
        request: id::Request,
        /// Id that the endpoint must echo.
        attempt: id::Attempt,
        /// Where to send it.
        endpoint: id::Endpoint,
    },
    /// Tell the caller that there will be no answer.
    Refuse {
        /// The request.
        request: id::Request,
        /// Verdict and cause.
        refusal: request::Refusal,
    },
    /// Give the caller the answer of the earlier call with the same idempotency key.
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
    /// Send a message to the peers that the settings name as seeds.
    SendToSeeds {
        /// The message.
        body: Body,
    },
    /// Start or stop watching the configuration service and the VM list.
    Watch(bool),
    /// Read the load report of an endpoint.
    Poll {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// A configuration came into force.
    Adopted {
        /// Its revision.
        revision: id::Revision,
    },
    /// A configuration was refused whole.
    Rejected {
        /// Its revision.
        revision: id::Revision,
        /// Every mistake, by name.
        errors: Vec<String>,
    },
}
