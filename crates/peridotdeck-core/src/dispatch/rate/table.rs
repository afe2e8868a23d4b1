//! The named rates of all endpoints.

use std::time::Duration;

use super::{Allowance, Ledger, Limit};
use crate::{dispatch::Key, id::Time};

/// Time for which the end of a rate is reported to peers.
const ANNOUNCE: Duration = Duration::from_secs(5);

/// Time by which a peer's report must be later than the known one to change it.
///
/// Reports travel with their age, to which each hop adds its delay.
const MIN_NEWER: Duration = Duration::from_millis(150);

/// A change of what is believed of an endpoint's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// Endpoint whose rate it is.
    pub endpoint: Key,
    /// Rate that was believed before, in requests per second.
    pub before: Option<f64>,
    /// Rate that is believed now, in requests per second.
    pub now: Option<f64>,
}

/// What this node knows of one endpoint's rate, and its part in sharing it out.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Digest of the endpoint.
    pub endpoint: Key,
    /// Rate that the endpoint is believed to take.
    pub limit: Limit,
    /// What this node may send.
    pub allowance: Allowance,
    /// What this node has granted, if it shares out the rate.
    pub ledger: Ledger,
    /// Whether this node shares out the rate.
    pub is_owner: bool,
}

/// Named rates, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Entry>,
}

impl Table {
    /// Records whether an answer named a rate; returns the change, if there is one.
    ///
    /// `sent` is when the answered request was sent. An answer without a rate to a request that was
    /// sent before the rate became known says nothing: it may have been overtaken.
    pub fn note(&mut self, key: Key, rate: Option<f64>, sent: Time, now: Time) -> Option<News> {
        if rate.is_none()
            && self
                .get(key)
                .is_none_or(|entry| entry.limit.observed > sent)
        {
            return None;
        }
        let limit = Limit {
            rate: rate.map(rounded),
            observed: now,
        };
        self.set(key, limit)
    }

    /// Applies a peer's report; returns the change, if there is one.
    pub fn receive(&mut self, key: Key, limit: Limit) -> Option<News> {
        let known = self.get(key).map(|entry| entry.limit);
        let is_newer = match known {
            None => limit.rate.is_some(),
            Some(known) if known.rate == limit.rate => limit.observed > known.observed,
            Some(known) => limit.observed > known.observed + MIN_NEWER,
        };
        if is_newer { self.set(key, limit) } else { None }
    }

    /// Returns what is known of an endpoint's rate, if it names one or did lately.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Entry> {
        let index = self.find(key).ok()?;
        Some(&self.entries[index])
    }

    /// Returns the entry of an endpoint that names a rate, and the rate.
    pub fn named_mut(&mut self, key: Key) -> Option<(&mut Entry, f64)> {
        let index = self.find(key).ok()?;
        let entry = &mut self.entries[index];
        let rate = entry.limit.rate?;
        Some((entry, rate))
    }

    /// Returns the endpoints that name a rate.
    pub fn named(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(|entry| entry.limit.rate.is_some())
    }

    /// Returns up to `most` beliefs to report to peers, with their ages; `turn` shifts the choice.
    pub fn reports(&self, most: usize, turn: usize, now: Time) -> Vec<(Key, Limit, Duration)> {
        let age = |entry: &Entry| now.saturating_sub(entry.limit.observed);
        let mut due: Vec<&Entry> = self
            .entries
            .iter()
            .filter(|entry| entry.limit.rate.is_some() || age(entry) < ANNOUNCE)
            .collect();
        if due.len() > most {
            let first = turn * most % due.len();
            due.rotate_left(first);
            due.truncate(most);
        }
        due.iter()
            .map(|entry| (entry.endpoint, entry.limit, age(entry)))
            .collect()
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, key: Key) {
        if let Ok(index) = self.find(key) {
            self.entries.remove(index);
        }
    }

    /// Forgets the rates that ended a while ago.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| {
            entry.limit.rate.is_some() || now.saturating_sub(entry.limit.observed) < ANNOUNCE
        });
    }

    fn set(&mut self, endpoint: Key, limit: Limit) -> Option<News> {
        let before = match self.find(endpoint) {
            Ok(index) => std::mem::replace(&mut self.entries[index].limit, limit).rate,
            Err(index) => {
                let entry = Entry {
                    endpoint,
                    limit,
                    allowance: Allowance::default(),
                    ledger: Ledger::default(),
                    is_owner: false,
                };
                self.entries.insert(index, entry);
                None
            }
        };
        let news = News {
            endpoint,
            before,
            now: limit.rate,
        };
        (news.before != news.now).then_some(news)
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&key, |entry| entry.endpoint)
    }
}

/// Returns a rate in the precision of reports, so that a peer's report of it is no change.
fn rounded(rate: f64) -> f64 {
    (rate * 1e3).round() / 1e3
}
