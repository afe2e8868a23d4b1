//! The current configuration: routes, services, organisations and limits.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::{flight::Target, region};

/// Longest time that the configuration or an endpoint may state.
///
/// Sums and small multiples of it stay far below what a clock counts.
pub const MAX_TIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// Least urgent rank that an endpoint distinguishes; the most urgent is 0.
pub const LAST_RANK: u8 = 9;

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version that the operators assign; it never decreases.
    pub version: u64,
    /// Routes, sorted by host, then by path prefix.
    pub routes: Vec<Arc<Route>>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Organisations; if there are none, requests need no key.
    pub organisations: Vec<Arc<Organisation>>,
    /// Keys, each with the index of its organisation, sorted by key.
    pub keys: Vec<(String, usize)>,
    /// Limits on requests from callers.
    pub limits: Limits,
}

/// A class of requests, matched by host and path prefix.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name that is used in logs and metrics.
    pub name: String,
    /// Host of the request, in lower case.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Kind of the requests, which decides whether they may be retried.
    pub kind: Kind,
    /// Longest time that a caller waits for the complete answer.
    pub timeout: Duration,
    /// Target time to the answer, or to the first event of a stream.
    pub target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub gap: Option<Duration>,
    /// Priority among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests, with their weights.
    pub split: Vec<Share>,
    /// Largest number of endpoints that one request may run on.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Regions that may serve the route; empty if all may.
    pub regions: Vec<String>,
}

/// Share of a route's requests that a service receives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// Kind of the requests on a route, which decides whether they may be retried.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The request may run more than once.
    #[default]
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The answer is an event stream; the request runs at most once unless the route is resumable.
    Stream,
}

/// A group of endpoints that run the same program.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which endpoints and routes refer to the service.
    pub name: String,
    /// Number of connections that one endpoint accepts from all nodes together.
    pub connections: u32,
    /// Time after its start during which an endpoint is cold.
    pub cold: Duration,
    /// Requests per second that a cold endpoint can handle; 0 if endpoints are never cold.
    pub cold_rate: f64,
    /// Capacity of the batching model engine, if the service runs one.
    pub model: Option<Model>,
}

/// Capacity of a batching model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Largest number of requests in one batch.
    pub slots: u32,
    /// Number of tokens that fit into the engine's memory.
    pub memory_tokens: u32,
    /// Bytes of memory for each token.
    pub token_bytes: f64,
    /// Bandwidth between two engines, in Mbit/s.
    pub link_mbps: f64,
}

/// An organisation whose requests the operators serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name that is sent to endpoints.
    pub name: String,
    /// Priority of the organisation, which weighs more than the route's; 0 if absent.
    pub priority: Option<u8>,
    /// Regions that may serve the organisation; empty if all may.
    pub regions: Vec<String>,
}

/// Limits on requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a head, and between two parts of a body.
    pub head_time: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// Returns the configuration with its tables sorted for lookups.
    ///
    /// Numbers that are too large to calculate with are replaced by the largest usable ones.
    #[must_use]
    pub fn indexed(mut self) -> Self {
        for route in &mut self.routes {
            Arc::make_mut(route).bound();
        }
        for service in &mut self.services {
            service.bound();
        }
        self.limits.bound();
        self.routes
            .sort_by(|one, other| (&one.host, &one.prefix).cmp(&(&other.host, &other.prefix)));
        self.services
            .sort_by(|one, other| one.name.cmp(&other.name));
        self.keys.sort();
        self
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let begin = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        let same_host = self.routes[begin..]
            .iter()
            .take_while(|route| route.host == host);
        same_host
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the regions that may serve a request: those that its route and its organisation allow.
    ///
    /// Of several organisations with one name, only the first is looked at.
    #[must_use]
    pub fn regions(&self, target: &Target) -> region::Set {
        let mut regions = region::Set::default();
        if let Some(route) = self.route(&target.host, &target.path) {
            regions.narrow(&route.regions);
        }
        let mut organisations = self.organisations.iter();
        let owner = target
            .organisation
            .as_ref()
            .and_then(|name| organisations.find(|organisation| organisation.name == *name));
        if let Some(organisation) = owner {
            regions.narrow(&organisation.regions);
        }
        regions
    }

    /// Returns the routes that use a service.
    pub fn routes_to(&self, service: &str) -> impl Iterator<Item = &Route> {
        let uses =
            move |route: &&Arc<Route>| route.split.iter().any(|share| share.service == service);
        self.routes.iter().filter(uses).map(Arc::as_ref)
    }

    /// Returns whether a route's streams are the most urgent ones of a service.
    ///
    /// Routes are compared by priority, then by target. A service whose streams are all equally
    /// urgent has no urgent ones, since none should wait for another.
    #[must_use]
    pub fn is_urgent_stream(&self, route: &Route, service: &str) -> bool {
        let urgency = |route: &Route| (route.priority, route.target);
        let streams = self
            .routes_to(service)
            .filter(|route| route.kind == Kind::Stream && !route.public);
        let (mut first, mut last) = (urgency(route), urgency(route));
        for other in streams.map(urgency) {
            first = first.min(other);
            last = last.max(other);
        }
        route.kind == Kind::Stream && urgency(route) == first && first < last
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        let index = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key))
            .ok()?;
        self.organisations.get(self.keys[index].1)
    }

    /// Returns the rank of a request: by its organisation's priority, then by its route's.
    ///
    /// Both are combined into the ranks that endpoints distinguish, so that a full endpoint
    /// displaces the right request.
    #[must_use]
    pub fn rank(&self, route: &Route, organisation: Option<&Organisation>) -> u8 {
        let levels = self.routes.iter().filter(|route| !route.public);
        let levels = levels
            .map(|route| route.priority)
            .max()
            .unwrap_or(0)
            .min(LAST_RANK)
            + 1;
        let organisation_priority = organisation
            .and_then(|organisation| organisation.priority)
            .unwrap_or(0);
        let rank = organisation_priority
            .saturating_mul(levels)
            .saturating_add(route.priority.min(levels - 1));
        rank.min(LAST_RANK)
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        Some(&self.services[index])
    }
}

impl Service {
    /// Returns the number of requests that an endpoint runs at once, which lists `listed` slots itself.
    #[must_use]
    pub fn slots(&self, listed: u32) -> u32 {
        self.model.map_or(listed, |model| model.slots)
    }

    /// Replaces numbers that are too large to calculate with.
    fn bound(&mut self) {
        /// Largest rate in requests per second.
        const MAX_RATE: f64 = 1e6;
        self.cold = self.cold.min(MAX_TIME);
        self.cold_rate = bounded(self.cold_rate, MAX_RATE);
        if let Some(model) = &mut self.model {
            model.bound();
        }
    }
}

impl Model {
    /// Replaces numbers that are too large to calculate with.
    fn bound(&mut self) {
        /// Largest number of bytes for each token, and largest bandwidth in Mbit/s.
        const MAX: f64 = 1e9;
        self.token_bytes = bounded(self.token_bytes, MAX);
        self.link_mbps = bounded(self.link_mbps, MAX);
    }
}

impl Limits {
    /// Replaces times that are too long to calculate with, and those in which nothing can arrive.
    fn bound(&mut self) {
        let usual = Self::default();
        for (time, usual) in [
            (&mut self.head_time, usual.head_time),
            (&mut self.idle_time, usual.idle_time),
        ] {
            *time = if time.is_zero() {
                usual
            } else {
                (*time).min(MAX_TIME)
            };
        }
    }
}

/// Returns a number between zero and `most`; what is no number becomes zero.
fn bounded(number: f64, most: f64) -> f64 {
    if number.is_nan() {
        0.0
    } else {
        number.clamp(0.0, most)
    }
}

impl Route {
    /// Replaces numbers that are too large to calculate with, and a pause that is none.
    fn bound(&mut self) {
        /// Shortest target for the pause between two events.
        const MIN_GAP: Duration = Duration::from_millis(1);
        self.timeout = self.timeout.min(MAX_TIME);
        self.target = self.target.min(MAX_TIME);
        self.gap = self.gap.map(|gap| gap.clamp(MIN_GAP, MAX_TIME));
        let shares = u32::try_from(self.split.len()).unwrap_or(u32::MAX).max(1);
        for share in &mut self.split {
            share.weight = share.weight.min(u32::MAX / shares);
        }
    }

    /// Returns whether the route's answers are streams that callers may take up.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.kind == Kind::Stream && self.resumable
    }

    /// Returns whether a request that may have run at one endpoint may run at another.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.is_resumable(),
        }
    }
}
