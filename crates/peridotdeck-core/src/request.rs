//! What the decisions need to know about a caller's request.

use strum::{Display, IntoStaticStr};

use crate::id;

/// A request as the caller's side has read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the customer, proven by a bearer key.
    pub organisation: String,
    /// Name of the service.
    pub service: String,
    /// Name of the class.
    pub class: String,
    /// Prompt size in tokens, estimated from bytes.
    pub prompt_tokens: u32,
    /// Largest output in tokens that the caller allows; 0 if it sets none.
    pub max_tokens: u32,
    /// Digest of the beginning of the prompt; 0 for none.
    pub prefix: u64,
    /// Digest of customer and whole request.
    pub fingerprint: id::Fingerprint,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether a partly delivered answer can go on at another endpoint.
    pub resumable: bool,
    /// Reservation that must be won before the call runs.
    pub claim: Option<Claim>,
}

/// The idempotency key of a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Digest of customer, service and the caller's key.
    pub key: String,
    /// Digest of method, path and body; the same key with another digest is a caller's mistake.
    pub digest: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The node has no configuration yet.
    Unconfigured,
    /// The node is shutting down.
    Leaving,
    /// The service or class is unknown.
    Unknown,
    /// The customer's rate or concurrency limit is reached.
    Limited,
    /// The request cannot meet its deadline.
    Overload,
    /// No endpoint can take it.
    NoEndpoint,
    /// The request has crashed endpoints.
    Quarantined,
    /// Too few witnesses of the idempotency key answered.
    NoWitness,
    /// The idempotency key was used with another call.
    KeyReused,
    /// The call with this key has run before, and its answer is gone.
    AlreadyRan,
    /// The call with this key may have run before.
    MayHaveRun,
    /// The endpoint failed, and the request cannot be tried again.
    EndpointFailed,
}

/// The end of a request without an answer.
pub type Refusal = crate::refusal::Refusal<Cause>;
