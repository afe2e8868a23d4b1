//! Chained definitions of the configuration's types, with defaults that suit a small site.

use std::fmt::Write as _;

use sha2::{Digest, Sha256};

use crate::{Class, Endpoint, Kind, Organisation, Route, Service};

/// Returns the digest under which a bearer key is published, in lower-case hexadecimal.
///
/// The configuration is readable by every node, so it carries digests and never keys.
#[must_use]
pub fn digest_key(key: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
    }
    text
}

impl Class {
    /// Starts a class whose callers wait for the answer; tier 0 is served first.
    #[must_use]
    pub fn interactive(name: &str, tier: u8) -> Self {
        Self {
            name: name.to_owned(),
            tier,
            bulk: false,
            first_token_ms: 0,
            token_gap_ms: 0,
            whole_ms: 0,
            min_share_percent: 0,
            retry_percent: 20,
        }
    }

    /// Starts a class that may wait for hours and be preempted.
    ///
    /// It still gets 5 % of the slots while it waits, so it always makes progress.
    #[must_use]
    pub fn bulk(name: &str, tier: u8) -> Self {
        Self {
            bulk: true,
            min_share_percent: 5,
            ..Self::interactive(name, tier)
        }
    }

    /// Sets the target for the first token in milliseconds.
    #[must_use]
    pub fn first_token_ms(mut self, target: u32) -> Self {
        self.first_token_ms = target;
        self
    }

    /// Sets the target for the mean gap between tokens in milliseconds.
    #[must_use]
    pub fn token_gap_ms(mut self, target: u32) -> Self {
        self.token_gap_ms = target;
        self
    }

    /// Sets the target for the whole answer in milliseconds.
    #[must_use]
    pub fn whole_ms(mut self, target: u32) -> Self {
        self.whole_ms = target;
        self
    }

    /// Sets the share of slots in percent that the class gets while it waits.
    #[must_use]
    pub fn min_share_percent(mut self, share: u8) -> Self {
        self.min_share_percent = share;
        self
    }

    /// Sets the retries allowed per hundred first attempts.
    #[must_use]
    pub fn retry_percent(mut self, share: u8) -> Self {
        self.retry_percent = share;
        self
    }
}

impl Organisation {
    /// Starts a customer with weight 1 and limits of a small site.
    #[must_use]
    pub fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            key_digests: Vec::new(),
            weight: 1,
            requests_per_second: 50,
            burst: 100,
            concurrency: 500,
        }
    }

    /// Adds a bearer key; only its digest is kept.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key_digests.push(digest_key(key));
        self
    }

    /// Sets the share within a class relative to other customers.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the sustained requests a second and the burst above them, over the whole fleet.
    #[must_use]
    pub fn rate(mut self, requests_per_second: u32, burst: u32) -> Self {
        self.requests_per_second = requests_per_second;
        self.burst = burst;
        self
    }

    /// Sets the requests in progress at one time, over the whole fleet.
    #[must_use]
    pub fn concurrency(mut self, concurrency: u32) -> Self {
        self.concurrency = concurrency;
        self
    }
}

impl Service {
    /// Starts a model service; `class` is for requests that name none.
    #[must_use]
    pub fn model(name: &str, class: &str) -> Self {
        Self::of_kind(name, class, Kind::Model)
    }

    /// Starts a plain HTTP service; `class` is for calls that match no route.
    #[must_use]
    pub fn plain(name: &str, class: &str) -> Self {
        Self::of_kind(name, class, Kind::Plain)
    }

    fn of_kind(name: &str, class: &str, kind: Kind) -> Self {
        Self {
            name: name.to_owned(),
            kind,
            class: class.to_owned(),
            routes: Vec::new(),
            endpoints: Vec::new(),
        }
    }

    /// Adds a route whose calls may run twice without harm.
    #[must_use]
    pub fn repeatable(self, prefix: &str, class: &str) -> Self {
        self.route(prefix, class, true)
    }

    /// Adds a route whose calls must run at most once.
    #[must_use]
    pub fn unrepeatable(self, prefix: &str, class: &str) -> Self {
        self.route(prefix, class, false)
    }

    fn route(mut self, prefix: &str, class: &str, repeatable: bool) -> Self {
        self.routes.push(Route {
            prefix: prefix.to_owned(),
            class: class.to_owned(),
            repeatable,
        });
        self
    }

    /// Adds an endpoint with 8 slots, 2 of them while cold.
    ///
    /// Its number is assigned by [`crate::Policy::service`] in the order of definition.
    #[must_use]
    pub fn endpoint(self, place: &str, address: &str) -> Self {
        self.sized_endpoint(place, address, 8, 2)
    }

    /// Adds an endpoint that runs `slots` requests at one time, `cold_slots` just after its start.
    #[must_use]
    pub fn sized_endpoint(
        mut self,
        place: &str,
        address: &str,
        slots: u32,
        cold_slots: u32,
    ) -> Self {
        self.endpoints.push(Endpoint {
            id: 0,
            address: address.to_owned(),
            place: place.to_owned(),
            slots,
            cold_slots,
            leaving: false,
            resumes: self.kind == Kind::Model,
            fences: false,
        });
        self
    }
}
