//! A slot in use.

use peridotdeck_wire::Held;

use crate::id;

/// One slot in use and the attempt that runs in it.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) attempt: id::Attempt,
    pub(super) endpoint: id::Endpoint,
    pub(super) node: id::Node,
    pub(super) class: String,
    pub(super) bulk: bool,
    pub(super) fingerprint: id::Fingerprint,
    /// Whether the request was running at an endpoint that crashed.
    pub(super) crash_suspect: bool,
    /// When the slot was granted, or reported to this owner.
    pub(super) started: id::Time,
    /// When the entry node last reported that it holds the slot.
    pub(super) confirmed: id::Time,
    /// Whether the entry node was sent a preemption and has not returned the slot yet.
    pub(super) stopping: bool,
}

impl Run {
    /// Returns the slot as its entry node reports it.
    pub(super) fn to_held(&self) -> Held {
        Held {
            attempt: self.attempt,
            endpoint: self.endpoint,
            class: self.class.clone(),
            fingerprint: self.fingerprint,
        }
    }
}
