//! The named rates of all endpoints.

use std::time::Duration;

use super::{Allowance, Ledger, Limit, Places, Room, Terms};
use crate::{dispatch::Key, id::Time};

/// Time for which the end of a rate is reported to peers.
const ANNOUNCE: Duration = Duration::from_secs(5);

/// Time by which a peer's report must be later than the known one to change it.
///
/// Reports travel with their age, to which each hop adds its delay.
const MIN_NEWER: Duration = Duration::from_millis(150);

/// Time after an endpoint was found to be brittle from which requests need a place there.
const PLACES_AFTER: Duration = Duration::from_secs(1);

/// A change of what is believed of an endpoint's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// Endpoint whose rate it is.
    pub endpoint: Key,
    /// What was believed before.
    pub before: Terms,
    /// What is believed now.
    pub now: Terms,
}

/// What this node knows of what an endpoint takes, and its part in sharing it out.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Digest of the endpoint.
    pub endpoint: Key,
    /// What the endpoint is believed to take.
    pub limit: Limit,
    /// What this node may send within the rate.
    pub allowance: Allowance,
    /// What this node has granted, if it shares out the rate.
    pub ledger: Ledger,
    /// Places that this node holds at a brittle endpoint and does not use.
    pub places: Places,
    /// What this node has granted of the endpoint's room, if it shares it out.
    pub room: Room,
    /// Time since which the endpoint is known to be brittle.
    pub brittle_since: Option<Time>,
    /// Requests of this node that the endpoint has rejected since the last report.
    pub rejected: u32,
    /// Number of the last grant of places that was received.
    pub seen: u32,
    /// Time of the last report of held places, and their number.
    pub reported: Option<(Time, u32)>,
    /// Whether this node shares out what the endpoint takes.
    pub is_owner: bool,
}

impl Entry {
    /// Returns whether a request needs a place, as nodes have had time to learn what others hold.
    #[must_use]
    pub fn needs_place(&self, now: Time) -> bool {
        let is_known = |since: Time| now.saturating_sub(since) >= PLACES_AFTER;
        self.brittle_since.is_some_and(is_known)
    }
}

/// Named rates, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Entry>,
}

impl Table {
    /// Records what an answer said that its endpoint takes; returns the change, if there is one.
    ///
    /// `sent` is when the answered request was sent. An answer that says nothing, to a request that
    /// was sent before the need became known, may have been overtaken.
    pub fn note(&mut self, key: Key, terms: Terms, sent: Time, now: Time) -> Option<News> {
        if !terms.is_any()
            && self
                .get(key)
                .is_none_or(|entry| entry.limit.observed > sent)
        {
            return None;
        }
        let limit = Limit {
            terms: Terms {
                rate: terms.rate.map(rounded),
                ..terms
            },
            observed: now,
        };
        self.set(key, limit)
    }

    /// Applies a peer's report; returns the change, if there is one.
    pub fn receive(&mut self, key: Key, limit: Limit) -> Option<News> {
        let known = self.get(key).map(|entry| entry.limit);
        let is_newer = match known {
            None => limit.terms.is_any(),
            Some(known) if known.terms == limit.terms => limit.observed > known.observed,
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

    /// Returns the entry of an endpoint.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Entry> {
        let index = self.find(key).ok()?;
        Some(&mut self.entries[index])
    }

    /// Returns the entry of an endpoint that names a rate, and the rate.
    pub fn named_mut(&mut self, key: Key) -> Option<(&mut Entry, f64)> {
        let index = self.find(key).ok()?;
        let entry = &mut self.entries[index];
        let rate = entry.limit.terms.rate?;
        Some((entry, rate))
    }

    /// Returns whether an endpoint is brittle.
    #[must_use]
    pub fn is_brittle(&self, key: Key) -> bool {
        let entry = self.get(key);
        entry.is_some_and(|entry| entry.brittle_since.is_some())
    }

    /// Returns the entry of an endpoint that is brittle.
    pub fn brittle_mut(&mut self, key: Key) -> Option<&mut Entry> {
        let index = self.find(key).ok()?;
        let entry = &mut self.entries[index];
        entry.brittle_since.is_some().then_some(entry)
    }

    /// Requires places at an endpoint from now on, and takes it for brittle, as others of its service
    /// are.
    pub fn require_places(&mut self, key: Key, rejections: u32, now: Time) {
        let known = self.get(key).map(|entry| entry.limit.terms);
        let terms = known.unwrap_or_default();
        if terms.rejections.is_none() {
            let terms = Terms {
                rejections: Some(rejections),
                ..terms
            };
            let limit = Limit {
                terms,
                observed: now,
            };
            self.set(key, limit);
        }
        if let Some(entry) = self.brittle_mut(key) {
            entry.brittle_since = Some(now.saturating_sub(PLACES_AFTER));
        }
    }

    /// Returns the endpoints that are in need.
    pub fn named(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(|entry| entry.limit.terms.is_any())
    }

    /// Returns up to `most` beliefs to report to peers, with their ages; `turn` shifts the choice.
    pub fn reports(&self, most: usize, turn: usize, now: Time) -> Vec<(Key, Limit, Duration)> {
        let age = |entry: &Entry| now.saturating_sub(entry.limit.observed);
        let mut due: Vec<&Entry> = self
            .entries
            .iter()
            .filter(|entry| entry.limit.terms.is_any() || age(entry) < ANNOUNCE)
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

    /// Forgets the needs that ended a while ago.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| {
            entry.limit.terms.is_any() || now.saturating_sub(entry.limit.observed) < ANNOUNCE
        });
    }

    fn set(&mut self, endpoint: Key, limit: Limit) -> Option<News> {
        let before = match self.find(endpoint) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                let before = std::mem::replace(&mut entry.limit, limit).terms;
                if limit.terms.rejections.is_none() {
                    entry.brittle_since = None;
                    entry.room.reset();
                } else {
                    entry.brittle_since.get_or_insert(limit.observed);
                }
                before
            }
            Err(index) => {
                let entry = Entry {
                    endpoint,
                    limit,
                    allowance: Allowance::default(),
                    ledger: Ledger::default(),
                    places: Places::default(),
                    room: Room::default(),
                    brittle_since: limit.terms.rejections.map(|_| limit.observed),
                    rejected: 0,
                    seen: 0,
                    reported: None,
                    is_owner: false,
                };
                self.entries.insert(index, entry);
                Terms::default()
            }
        };
        let news = News {
            endpoint,
            before,
            now: limit.terms,
        };
        (news.before != news.now).then_some(news)
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&key, |entry| entry.endpoint)
    }
}

/// Returns a rate in the precision and range of reports, so that a peer's report of it is no change.
fn rounded(rate: f64) -> f64 {
    /// Largest number of requests in a thousand seconds that a report holds.
    const MAX_MILLIS: f64 = u32::MAX as f64;
    (rate * 1e3).round().min(MAX_MILLIS) / 1e3
}
