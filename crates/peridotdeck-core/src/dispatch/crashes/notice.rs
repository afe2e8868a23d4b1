//! Changes of what is blamed for crashes, for the log.

use super::Subject;
use crate::dispatch::Key;

/// A change of belief about a subject, or a decision that follows from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A crash was attributed to a part, or a second one to a request.
    Attributed {
        /// The subject.
        subject: Subject,
        /// Endpoint that crashed.
        endpoint: Key,
        /// Crashes of the subject that count, this one included.
        count: usize,
        /// Whether a peer reported the crash.
        from_peer: bool,
    },
    /// A subject has crashed so many endpoints that it is not sent to others.
    Quarantined {
        /// The subject.
        subject: Subject,
        /// Crashes of the subject that count.
        count: usize,
    },
    /// A request was refused, because its subject is in quarantine.
    Refused {
        /// The subject.
        subject: Subject,
        /// Id of the request.
        id: String,
    },
    /// A request with a quarantined subject was sent, to learn whether it still crashes endpoints.
    Tried {
        /// The subject.
        subject: Subject,
        /// Id of the request.
        id: String,
    },
    /// An endpoint has answered on a quarantined part and stayed up.
    Released {
        /// The subject.
        subject: Subject,
    },
    /// A quarantined subject was forgotten, because no request with it came for long.
    Expired {
        /// The subject.
        subject: Subject,
    },
}
