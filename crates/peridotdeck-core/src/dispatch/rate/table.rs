//! The named rates of all endpoints.

use super::Limit;
use crate::{dispatch::Key, id::Time};

/// A change of what is believed of an endpoint's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// Rate that was believed before, in requests per second.
    pub before: Option<f64>,
    /// Rate that is believed now, in requests per second.
    pub now: Option<f64>,
}

/// Named rates, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<(Key, Limit)>,
}

impl Table {
    /// Records whether an answer named a rate; returns the change, if there is one.
    ///
    /// `sent` is when the answered request was sent. An answer without a rate to a request that was
    /// sent before the rate became known says nothing: it may have been overtaken.
    pub fn note(&mut self, key: Key, rate: Option<f64>, sent: Time, now: Time) -> Option<News> {
        let known = self.get(key);
        if rate.is_none() && known.is_none_or(|limit| limit.observed > sent) {
            return None;
        }
        self.set(
            key,
            Limit {
                rate,
                observed: now,
            },
        )
    }

    /// Returns what is known of an endpoint's rate.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<Limit> {
        let index = self.find(key).ok()?;
        Some(self.entries[index].1)
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, key: Key) {
        if let Ok(index) = self.find(key) {
            self.entries.remove(index);
        }
    }

    fn set(&mut self, key: Key, limit: Limit) -> Option<News> {
        let before = match self.find(key) {
            Ok(index) => std::mem::replace(&mut self.entries[index].1, limit).rate,
            Err(index) => {
                self.entries.insert(index, (key, limit));
                None
            }
        };
        let news = News {
            before,
            now: limit.rate,
        };
        (news.before != news.now).then_some(news)
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |(key, _)| *key)
    }
}
