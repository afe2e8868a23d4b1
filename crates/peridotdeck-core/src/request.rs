//! The properties of a caller's request that decisions depend on, and the causes of refusal.

use strum::{Display, IntoStaticStr};

use crate::id;

/// A caller's request, as the HTTP front end has parsed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the organisation, authenticated by a bearer key.
    pub organisation: String,
    /// Name of the service.
    pub service: String,
    /// Name of the class.
    pub class: String,
    /// Prompt size in tokens, estimated from its size in bytes.
    pub prompt_tokens: u32,
    /// Largest output in tokens that the caller allows; 0 for no limit.
    pub max_tokens: u32,
    /// Digest of the prompt's prefix, to find it in endpoints' prefix caches; 0 for none.
    pub prefix: u64,
    /// Digest of the organisation and the whole request.
    pub fingerprint: id::Fingerprint,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Whether another endpoint can continue a partly delivered answer.
    pub resumable: bool,
    /// Idempotency key that must be reserved before the request runs.
    pub claim: Option<Claim>,
}

/// The idempotency key of a request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Digest of the organisation, the service and the caller's key.
    pub key: String,
    /// Digest of method, path and body; reusing the key with another digest is a caller's error.
    pub digest: u64,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The node has no configuration yet.
    Unconfigured,
    /// The node is shutting down.
    Leaving,
    /// The organisation, the service or the class is not configured.
    Unknown,
    /// The organisation has reached its rate or concurrency limit.
    Limited,
    /// The request cannot meet its deadline.
    Overload,
    /// No endpoint is available for the request.
    NoEndpoint,
    /// The request is quarantined because it has crashed endpoints.
    Quarantined,
    /// Too few witnesses of the idempotency key answered.
    NoWitness,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// The request with this key has run before, and its answer is no longer stored.
    AlreadyRan,
    /// The request with this key may have run before.
    MayHaveRun,
    /// The endpoint failed, and the request cannot be retried.
    EndpointFailed,
}

/// A refusal with a cause of this interface.
pub type Refusal = crate::refusal::Refusal<Cause>;
