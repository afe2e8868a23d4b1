//! The waiting requests of a pool, and which of them is served next.
//!
//! Order: a class below its guaranteed share, then the most urgent tier, then the customer with the
//! least service for its weight, then the oldest request.

use crate::id;

/// One waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Entry node that asks.
    pub node: id::Node,
    /// Name of the class.
    pub class: String,
    /// Urgency of the class.
    pub tier: u8,
    /// Whether the class may wait and be preempted.
    pub bulk: bool,
    /// Name of the customer.
    pub organisation: String,
    /// Share of the customer.
    pub weight: u32,
    /// Expected output in tokens.
    pub output_tokens: u32,
    /// Prompt in tokens.
    pub prompt_tokens: u32,
    /// Digest of the prompt's beginning; 0 for none.
    pub prefix: u64,
    /// Digest of the whole request.
    pub fingerprint: id::Fingerprint,
    /// Endpoints that died while they ran this request.
    pub crashes: u8,
    /// Endpoints that failed this request.
    pub avoid: Vec<id::Endpoint>,
    /// When the request arrived at the entry node, on the owner's clock.
    pub arrived: id::Time,
}

/// Waiting requests in order of arrival, and the service that each customer has had.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
    service: Vec<(String, f64)>,
}

impl Queue {
    /// Returns the waiting requests.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns whether an attempt waits.
    #[must_use]
    pub fn contains(&self, attempt: id::Attempt) -> bool {
        self.entries.iter().any(|entry| entry.attempt == attempt)
    }

    /// Adds a request; a customer that returns after a pause starts level with the others.
    pub fn push(&mut self, entry: Entry) {
        let floor = self.floor();
        match self.find(&entry.organisation) {
            Ok(at) => self.service[at].1 = self.service[at].1.max(floor),
            Err(at) => self.service.insert(at, (entry.organisation.clone(), floor)),
        }
        self.entries.push(entry);
    }

    /// Removes a request.
    pub fn remove(&mut self, attempt: id::Attempt) -> Option<Entry> {
        let at = self
            .entries
            .iter()
            .position(|entry| entry.attempt == attempt)?;
        Some(self.entries.remove(at))
    }

    /// Removes and returns all requests that match.
    pub fn drain(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        self.entries
            .extract_if(.., |entry| matches(entry))
            .collect()
    }

    /// Returns the next request among those that `allowed` accepts.
    ///
    /// `starved` tells whether a class runs less than its guaranteed share.
    #[must_use]
    pub fn next(
        &self,
        starved: impl Fn(&Entry) -> bool,
        allowed: impl Fn(&Entry) -> bool,
    ) -> Option<id::Attempt> {
        let best = self
            .entries
            .iter()
            .filter(|entry| allowed(entry))
            .min_by(|one, other| {
                let key = |entry: &Entry| (!starved(entry), entry.tier);
                key(one)
                    .cmp(&key(other))
                    .then(
                        self.had(&one.organisation)
                            .total_cmp(&self.had(&other.organisation)),
                    )
                    .then(one.arrived.cmp(&other.arrived))
            });
        best.map(|entry| entry.attempt)
    }

    /// Returns the oldest request, whatever its class.
    #[must_use]
    pub fn oldest(&self) -> Option<id::Attempt> {
        self.entries.first().map(|entry| entry.attempt)
    }

    /// Charges a customer for a granted request.
    pub fn charge(&mut self, entry: &Entry) {
        /// Cost of a prompt token relative to an output token: prefill runs in large batches.
        const PROMPT_COST: f64 = 0.1;
        let cost = f64::from(entry.output_tokens) + PROMPT_COST * f64::from(entry.prompt_tokens);
        if let Ok(at) = self.find(&entry.organisation) {
            self.service[at].1 += cost / f64::from(entry.weight.max(1));
        }
        self.forget_idle();
    }

    /// Forgets customers that could not lag behind: nothing waits and they are not ahead.
    fn forget_idle(&mut self) {
        /// Customers kept before the table is cleaned.
        const KEPT: usize = 1_024;
        if self.service.len() > KEPT {
            let waiting = &self.entries;
            self.service
                .retain(|(name, _)| waiting.iter().any(|entry| entry.organisation == *name));
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.service
            .binary_search_by(|(each, _)| each.as_str().cmp(name))
    }

    fn had(&self, name: &str) -> f64 {
        self.find(name).map_or(0.0, |at| self.service[at].1)
    }

    /// Least service among the customers that wait; 0 if none does.
    fn floor(&self) -> f64 {
        let waiting = self
            .entries
            .iter()
            .map(|entry| self.had(&entry.organisation));
        let least = waiting.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            return least;
        }
        self.service.iter().map(|(_, had)| *had).fold(0.0, f64::max)
    }
}
