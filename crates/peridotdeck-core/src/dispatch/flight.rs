//! One caller's request in flight, and the attempts that it may still make.

use std::{sync::Arc, time::Duration};

use super::{
    Key, Prefix, Software,
    config::{Organisation, Route},
    region,
    share::queue::Ticket,
    stream::{Doubt, Resolution},
};
use crate::id::{Fingerprint, Time};

/// A part of a prompt that the caller declares as shareable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the part's id, which identifies the prompt from its start to the part's end.
    pub prefix: Prefix,
    /// Prompt tokens up to the end of the part.
    pub tokens: u32,
}

/// Size and shareable prefixes of a prompt; empty for requests without one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub tokens: u32,
    /// Largest number of tokens in the answer.
    pub output: u32,
    /// Parts that other prompts may share, sorted from the shortest prefix to the longest.
    pub shared: Vec<Part>,
    /// Last part, which only this request or its session has.
    pub own: Option<Prefix>,
}

/// A request as the ingress decoded it, before admission.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodedRequest {
    /// Id that the caller gave.
    pub id: String,
    /// Host that the request is addressed to.
    pub host: String,
    /// Path of the request without the query string.
    pub path: String,
    /// Key that identifies an organisation.
    pub key: Option<String>,
    /// Id of the request that brought the first event of the stream, if the caller takes one up.
    ///
    /// It is empty if the caller does not say.
    pub resumes: Option<String>,
    /// Longest time that the caller will wait for the answer.
    pub max_wait: Option<Duration>,
    /// Size and shareable prefixes of the prompt.
    pub prompt: Prompt,
}

/// What the regions of a request are looked up by when the configuration changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Host that the request is addressed to.
    pub host: String,
    /// Path of the request without the query string.
    pub path: String,
    /// Name of the organisation whose data the request holds, if it has one.
    pub organisation: Option<String>,
}

/// An admitted request in flight.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Id that the caller gave.
    pub id: String,
    /// Route of the request, as configured when it arrived.
    pub route: Arc<Route>,
    /// Organisation that sent it, if the route requires a key.
    pub organisation: Option<Arc<Organisation>>,
    /// Host, path and organisation, to look up the regions again under a later version.
    pub target: Target,
    /// Regions that may serve the request: those that each version since its admission allows.
    pub regions: region::Set,
    /// Latest version of the configuration by which the regions were narrowed.
    pub narrowed_by: u64,
    /// Id of the request that brought the first event of the stream, if the caller takes one up.
    pub resumes: Option<String>,
    /// Software version at which the stream must go on, once it is known.
    pub software: Option<Software>,
    /// What this version, or the choice of any, was last based on, if the caller takes a stream up.
    pub resolution: Option<Resolution>,
    /// Why the request was refused, if its stream's version is not known.
    pub doubt: Option<Doubt>,
    /// Time at which other nodes were last asked for that version.
    pub looked_up: Option<Time>,
    /// Urgency among all requests; 0 is served first.
    pub rank: u8,
    /// Whether it is one of the most urgent streams of its service.
    pub urgent: bool,
    /// Version of the configuration under which the request was admitted.
    pub version: u64,
    /// Size and shareable prefixes of the prompt.
    pub prompt: Prompt,
    /// Digest of the organisation and the complete request.
    pub fingerprint: Fingerprint,
    /// Whether it is sent although it is in quarantine, to learn whether it still crashes endpoints.
    pub trial: bool,
    /// Whether this node has refused or failed the same request lately.
    pub repeats: bool,
    /// Number of the request among those that wait for room, once it has waited.
    pub ticket: Option<Ticket>,
    /// Time at which the request arrived.
    pub arrived: Time,
    /// Time at which the caller or the route gives up.
    pub deadline: Time,
    /// Service that serves the request.
    pub service: String,
    /// Endpoints that the request has been sent to.
    pub tried: Vec<Key>,
    /// Number of attempts that ran or may have run.
    pub runs: u32,
    /// Number of attempts that ran or may have run and failed, other than by silence.
    pub failures: u32,
    /// Number of attempts that were sent to an endpoint and did not run there.
    pub rejections: u32,
    /// Time at which the request began to wait for an eligible endpoint, if it waits.
    pub waiting_since: Option<Time>,
}

impl Flight {
    /// Creates a request without an organisation, whose deadline is the route's timeout.
    #[must_use]
    pub fn new(route: Arc<Route>, version: u64, now: Time) -> Self {
        let mut regions = region::Set::default();
        regions.narrow(&route.regions);
        Self {
            id: String::new(),
            organisation: None,
            target: Target {
                host: route.host.clone(),
                path: route.prefix.clone(),
                organisation: None,
            },
            regions,
            narrowed_by: version,
            resumes: None,
            software: None,
            resolution: None,
            doubt: None,
            looked_up: None,
            rank: route.priority,
            urgent: false,
            version,
            prompt: Prompt::default(),
            fingerprint: 0,
            trial: false,
            repeats: false,
            ticket: None,
            arrived: now,
            deadline: now + route.timeout,
            service: String::new(),
            tried: Vec::new(),
            runs: 0,
            failures: 0,
            rejections: 0,
            waiting_since: None,
            route,
        }
    }

    /// Returns the name of the organisation, or an empty string.
    #[must_use]
    pub fn organisation_name(&self) -> &str {
        self.organisation
            .as_ref()
            .map_or("", |organisation| &organisation.name)
    }

    /// Returns whether a request that was sent to an endpoint may not be sent there again.
    ///
    /// A stream that goes on at one software version may return to an endpoint, but not at once.
    #[must_use]
    pub fn excludes(&self, key: Key) -> bool {
        if self.software.is_some() {
            self.tried.last() == Some(&key)
        } else {
            self.tried.contains(&key)
        }
    }

    /// Returns whether the request had been sent to an endpoint before the last attempt went there.
    #[must_use]
    pub fn returns_to(&self, key: Key) -> bool {
        let earlier = self
            .tried
            .split_last()
            .map_or(&[][..], |(_, earlier)| earlier);
        earlier.contains(&key)
    }

    /// Returns whether the request goes on with a stream that has begun before.
    #[must_use]
    pub fn goes_on(&self) -> bool {
        self.software.is_some() || self.resumes.is_some()
    }

    /// Returns whether the request may run again after `runs` runs.
    #[must_use]
    pub fn may_run_after(&self, runs: u32) -> bool {
        self.route.is_repeatable() && runs < self.route.attempts && !self.trial
    }

    /// Returns the time until the deadline; zero if it has passed.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
