//! The configuration in force: routes, services, organisations and limits.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Last of the ranks that an endpoint tells apart; the first is 0.
pub const LAST_RANK: u8 = 9;

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version that the operators gave it; it only grows.
    pub version: u64,
    /// Routes, sorted by host and then by prefix.
    pub routes: Vec<Arc<Route>>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Organisations; none means that requests need no key.
    pub organisations: Vec<Arc<Organisation>>,
    /// Keys and the positions of their organisations, sorted by key.
    pub keys: Vec<(String, usize)>,
    /// Limits of what callers may send.
    pub limits: Limits,
}

/// A class of requests, found by host and path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: String,
    /// Host that the caller names, in lower case.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub gap: Option<Duration>,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services with the weight that each should get.
    pub split: Vec<Share>,
    /// Endpoints that one request may run on.
    pub attempts: u32,
    /// Whether the route needs no key.
    pub public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
    /// Regions that may serve the route; empty for all.
    pub regions: Vec<String>,
}

/// A service's part of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// What may be repeated on a route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Running it twice is harmless.
    #[default]
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// A stream of events; it runs at most once unless the route is resumable.
    Stream,
}

/// A group of endpoints that run the same program.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that endpoints and routes use.
    pub name: String,
    /// Connections that one endpoint accepts from all nodes together.
    pub connections: u32,
    /// Time for which an endpoint is cold after its start.
    pub cold: Duration,
    /// Requests a second that a cold endpoint bears; 0 if it is never cold.
    pub cold_rate: f64,
    /// Batching model engine behind the service, if it is one.
    pub model: Option<Model>,
}

/// What a batching model engine can hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit its memory.
    pub memory_tokens: u32,
    /// Bytes of memory a token.
    pub token_bytes: f64,
    /// Bandwidth between engines in Mbit/s.
    pub link_mbps: f64,
}

/// A customer of the operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name that endpoints are told.
    pub name: String,
    /// Rank that replaces the route's.
    pub priority: Option<u8>,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<String>,
}

/// Limits of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a head or between two parts of a body.
    pub head_time: Duration,
    /// Longest time for which a connection stays open without a request.
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
    /// Sorts what lookups search.
    #[must_use]
    pub fn indexed(mut self) -> Self {
        self.routes
            .sort_by(|one, other| (&one.host, &one.prefix).cmp(&(&other.host, &other.prefix)));
        self.services
            .sort_by(|one, other| one.name.cmp(&other.name));
        self.keys.sort();
        self
    }

    /// Returns the route of a host with the longest prefix that begins the path.
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

    /// Returns the routes that use a service.
    pub fn routes_to(&self, service: &str) -> impl Iterator<Item = &Route> {
        let uses =
            move |route: &&Arc<Route>| route.split.iter().any(|each| each.service == service);
        self.routes.iter().filter(uses).map(Arc::as_ref)
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        let at = self
            .keys
            .binary_search_by(|(each, _)| each.as_str().cmp(key))
            .ok()?;
        self.organisations.get(self.keys[at].1)
    }

    /// Returns the urgency of a request: the organisation's priority, then the route's.
    ///
    /// The two share the ranks that endpoints tell apart, so that an endpoint that is full puts the
    /// right request back.
    #[must_use]
    pub fn rank(&self, route: &Route, organisation: Option<&Organisation>) -> u8 {
        let levels = self.routes.iter().filter(|route| !route.public);
        let levels = levels
            .map(|route| route.priority)
            .max()
            .unwrap_or(0)
            .min(LAST_RANK)
            + 1;
        let own = organisation.and_then(|each| each.priority).unwrap_or(0);
        let rank = own
            .saturating_mul(levels)
            .saturating_add(route.priority.min(levels - 1));
        rank.min(LAST_RANK)
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|each| each.name.as_str().cmp(name))
            .ok()?;
        Some(&self.services[at])
    }
}

impl Route {
    /// Returns whether a request may run at a second endpoint after it may have run at a first.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}
