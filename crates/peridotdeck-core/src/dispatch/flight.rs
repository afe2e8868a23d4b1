//! One caller's request, and what may still be done with it.

use std::{sync::Arc, time::Duration};

use super::{
    Key, Prefix,
    config::{Organisation, Route},
};
use crate::id::{Fingerprint, Time};

/// A part of a prompt, as the caller names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the part's id, which also stands for everything before it.
    pub prefix: Prefix,
    /// Tokens up to its end.
    pub tokens: u32,
}

/// Size and beginning of a prompt; empty for calls without one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: u32,
    /// Tokens that the answer may have.
    pub output: u32,
    /// Parts that other prompts may share, shortest prefix first.
    pub shared: Vec<Part>,
}

/// What a request asks for, as the ingress has read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodedRequest {
    /// Id that the caller gave.
    pub id: String,
    /// Host that the caller names.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Key of an organisation.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub max_wait: Option<Duration>,
    /// Size and beginning of the prompt.
    pub prompt: Prompt,
}

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Id that the caller gave.
    pub id: String,
    /// Its route, as configured when it came.
    pub route: Arc<Route>,
    /// Whose request it is, where keys are needed.
    pub organisation: Option<Arc<Organisation>>,
    /// Urgency among all requests; 0 comes first.
    pub rank: u8,
    /// Version of the configuration that admitted it.
    pub version: u64,
    /// Size and beginning of the prompt.
    pub prompt: Prompt,
    /// Digest of organisation and whole request.
    pub fingerprint: Fingerprint,
    /// When it came.
    pub arrived: Time,
    /// When caller or route give up.
    pub deadline: Time,
    /// Service that it is for.
    pub service: String,
    /// Endpoints that have been tried.
    pub tried: Vec<Key>,
    /// Attempts that may have run.
    pub runs: u32,
    /// Attempts that endpoints took back.
    pub rejections: u32,
    /// When it began to wait for an endpoint, if it waits.
    pub waiting_since: Option<Time>,
}

impl Flight {
    /// Starts a request of nobody on a route, which has all the time that the route allows.
    #[must_use]
    pub fn new(route: Arc<Route>, version: u64, now: Time) -> Self {
        Self {
            id: String::new(),
            organisation: None,
            rank: route.priority,
            version,
            prompt: Prompt::default(),
            fingerprint: 0,
            arrived: now,
            deadline: now + route.timeout,
            service: String::new(),
            tried: Vec::new(),
            runs: 0,
            rejections: 0,
            waiting_since: None,
            route,
        }
    }

    /// Returns the name of the organisation, or an empty one.
    #[must_use]
    pub fn organisation_name(&self) -> &str {
        self.organisation
            .as_ref()
            .map_or("", |organisation| &organisation.name)
    }

    /// Returns whether a region may serve the request.
    #[must_use]
    pub fn may_run_in(&self, region: &str) -> bool {
        let allows =
            |regions: &[String]| regions.is_empty() || regions.iter().any(|each| each == region);
        let organisation = self.organisation.as_ref();
        allows(&self.route.regions) && organisation.is_none_or(|each| allows(&each.regions))
    }

    /// Returns whether the request may run again after so many runs.
    #[must_use]
    pub fn may_run_after(&self, runs: u32) -> bool {
        self.route.is_repeatable() && runs < self.route.attempts
    }

    /// Returns the time that is left.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
