//! The queue of a pool: its waiting requests and the order in which they are served.
//!
//! Classes below their guaranteed share come first, then the most urgent tier, then the
//! organisation with the least service for its weight, then the oldest request.

use crate::id;

/// One waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Attempt that needs a slot.
    pub attempt: id::Attempt,
    /// Entry node that requests the slot.
    pub node: id::Node,
    /// Name of the class.
    pub class: String,
    /// Urgency of the class; 0 is served first.
    pub tier: u8,
    /// Whether the class may wait and be preempted for interactive classes.
    pub bulk: bool,
    /// Name of the organisation.
    pub organisation: String,
    /// Weight of the organisation in the fair sharing of slots.
    pub weight: u32,
    /// Expected output in tokens.
    pub output_tokens: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Digest of the beginning of the prompt; 0 for none.
    pub prefix: u64,
    /// Digest of the whole request.
    pub fingerprint: id::Fingerprint,
    /// Number of endpoints that crashed while they ran this request.
    pub crashes: u8,
    /// Endpoints that failed this request.
    pub avoid: Vec<id::Endpoint>,
    /// When the request arrived at the entry node, by the owner's clock.
    pub arrived: id::Time,
}

/// Waiting requests in order of arrival, and the service that each organisation has received.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
    /// Granted cost divided by the weight, by organisation and sorted by its name.
    service: Vec<(String, f64)>,
}

impl Queue {
    /// Returns the waiting requests in order of arrival.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns whether an attempt waits.
    #[must_use]
    pub fn contains(&self, attempt: id::Attempt) -> bool {
        self.entries.iter().any(|entry| entry.attempt == attempt)
    }

    /// Adds a request.
    ///
    /// An organisation that returns after a pause starts level with the others, so that the pause
    /// earns it no priority.
    pub fn push(&mut self, entry: Entry) {
        let least = self.least_service();
        match self.find(&entry.organisation) {
            Ok(index) => self.service[index].1 = self.service[index].1.max(least),
            Err(index) => self
                .service
                .insert(index, (entry.organisation.clone(), least)),
        }
        self.entries.push(entry);
    }

    /// Removes and returns a request, if it waits.
    pub fn remove(&mut self, attempt: id::Attempt) -> Option<Entry> {
        let index = self
            .entries
            .iter()
            .position(|entry| entry.attempt == attempt)?;
        Some(self.entries.remove(index))
    }

    /// Removes and returns all matching requests.
    pub fn drain(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        self.entries
            .extract_if(.., |entry| matches(entry))
            .collect()
    }

    /// Returns the next request to serve among those that `allowed` accepts.
    ///
    /// `below_share` returns whether the class of a request runs less than its guaranteed share.
    #[must_use]
    pub fn next(
        &self,
        below_share: impl Fn(&Entry) -> bool,
        allowed: impl Fn(&Entry) -> bool,
    ) -> Option<id::Attempt> {
        let best = self
            .entries
            .iter()
            .filter(|entry| allowed(entry))
            .min_by(|left, right| {
                let key = |entry: &Entry| (!below_share(entry), entry.tier);
                key(left)
                    .cmp(&key(right))
                    .then(
                        self.service_of(&left.organisation)
                            .total_cmp(&self.service_of(&right.organisation)),
                    )
                    .then(left.arrived.cmp(&right.arrived))
            });
        best.map(|entry| entry.attempt)
    }

    /// Returns the request that was queued first, regardless of its class.
    #[must_use]
    pub fn oldest(&self) -> Option<id::Attempt> {
        self.entries.first().map(|entry| entry.attempt)
    }

    /// Adds the cost of a granted request to the service of its organisation.
    pub fn charge(&mut self, entry: &Entry) {
        /// Cost of a prompt token relative to an output token.
        ///
        /// Prompt tokens cost less because prefill runs in large batches.
        const PROMPT_COST: f64 = 0.1;
        let cost = f64::from(entry.output_tokens) + PROMPT_COST * f64::from(entry.prompt_tokens);
        if let Ok(index) = self.find(&entry.organisation) {
            self.service[index].1 += cost / f64::from(entry.weight.max(1));
        }
        self.remove_idle();
    }

    /// Removes organisations without waiting requests once the table is large.
    fn remove_idle(&mut self) {
        /// Most organisations that are kept before the idle ones are removed.
        const MAX_ORGANISATIONS: usize = 1_024;
        if self.service.len() > MAX_ORGANISATIONS {
            let waiting = &self.entries;
            self.service
                .retain(|(name, _)| waiting.iter().any(|entry| entry.organisation == *name));
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.service
            .binary_search_by(|(organisation, _)| organisation.as_str().cmp(name))
    }

    fn service_of(&self, name: &str) -> f64 {
        self.find(name).map_or(0.0, |index| self.service[index].1)
    }

    /// Returns the least service among the organisations with waiting requests.
    ///
    /// If none waits, returns the most service of any organisation, or 0 if there is none.
    fn least_service(&self) -> f64 {
        let waiting = self
            .entries
            .iter()
            .map(|entry| self.service_of(&entry.organisation));
        let least = waiting.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            return least;
        }
        self.service
            .iter()
            .map(|(_, service)| *service)
            .fold(0.0, f64::max)
    }
}
