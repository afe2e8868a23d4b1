//! Which endpoints have read which parts of prompts.
//!
//! Engines keep what they have read, and a part need not be read again if all parts before it are
//! there too. Nobody tells for certain what is kept; this index remembers what was sent where, by
//! this node and by its peers, and what endpoints list when a node starts, and forgets what has not
//! been used for a while.

use std::time::Duration;

use super::{Key, Prefix};
use crate::id::Time;

/// Time after which a prefix that nobody used counts as displaced.
const AGE: Duration = Duration::from_secs(90);

/// Time between two news of uses of the same part at the same endpoint.
pub const REFRESH: Duration = Duration::from_secs(3);

/// Time from a send until an endpoint has surely read the part, and another can fetch it.
const READING: Duration = Duration::from_millis(300);

/// Entries that are remembered at most; the oldest tenth gives way.
const CAPACITY: usize = 16_384;

/// An endpoint that has read a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// What it has read.
    pub prefix: Prefix,
    /// The endpoint.
    pub endpoint: Key,
    /// When it was sent there first.
    pub since: Time,
    /// When it was last used.
    pub used: Time,
    /// When peers were last told of its use.
    pub told: Option<Time>,
}

/// All holdings that are known, sorted by prefix and endpoint.
#[derive(Clone, Debug, Default)]
pub struct Index {
    holdings: Vec<Holding>,
}

impl Index {
    /// Notes a use.
    pub fn note(&mut self, prefix: Prefix, endpoint: Key, now: Time) {
        match self.find(prefix, endpoint) {
            Ok(at) => self.holdings[at].used = now,
            Err(at) => {
                let holding = Holding {
                    prefix,
                    endpoint,
                    since: now,
                    used: now,
                    told: None,
                };
                self.holdings.insert(at, holding);
                self.bound();
            }
        }
    }

    /// Returns whether peers should hear of a use, and notes that they do.
    pub fn is_news(&mut self, prefix: Prefix, endpoint: Key, now: Time) -> bool {
        let Ok(at) = self.find(prefix, endpoint) else {
            return false;
        };
        let holding = &mut self.holdings[at];
        let due = holding
            .told
            .is_none_or(|told| now.saturating_sub(told) >= REFRESH);
        if due {
            holding.told = Some(now);
        }
        due
    }

    /// Returns how long ago a prefix was first sent to an endpoint, if it was.
    #[must_use]
    pub fn age(&self, prefix: Prefix, endpoint: Key, now: Time) -> Option<Duration> {
        let at = self.find(prefix, endpoint).ok()?;
        Some(now.saturating_sub(self.holdings[at].since))
    }

    /// Forgets one holding, which has proven wrong.
    pub fn forget(&mut self, prefix: Prefix, endpoint: Key) {
        if let Ok(at) = self.find(prefix, endpoint) {
            self.holdings.remove(at);
        }
    }

    /// Forgets everything about an endpoint that has lost its memory.
    pub fn clear(&mut self, endpoint: Key) {
        self.holdings.retain(|each| each.endpoint != endpoint);
    }

    /// Forgets what has not been used for long.
    pub fn expire(&mut self, now: Time) {
        self.holdings
            .retain(|each| now.saturating_sub(each.used) < AGE);
    }

    /// Returns when a prefix was last used at any endpoint.
    #[must_use]
    pub fn last_use(&self, prefix: Prefix) -> Option<Time> {
        let begin = self.holdings.partition_point(|each| each.prefix < prefix);
        let holders = self.holdings[begin..]
            .iter()
            .take_while(|each| each.prefix == prefix);
        holders.map(|each| each.used).max()
    }

    /// Returns whether a part that was sent this long ago can be fetched.
    #[must_use]
    pub fn is_read(age: Duration) -> bool {
        age >= READING
    }

    /// Returns the number of holdings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holdings.len()
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holdings.is_empty()
    }

    fn find(&self, prefix: Prefix, endpoint: Key) -> Result<usize, usize> {
        self.holdings
            .binary_search_by_key(&(prefix, endpoint), |each| (each.prefix, each.endpoint))
    }

    fn bound(&mut self) {
        if self.holdings.len() > CAPACITY {
            let mut ages: Vec<Time> = self.holdings.iter().map(|each| each.used).collect();
            let (_, oldest, _) = ages.select_nth_unstable(CAPACITY / 10);
            let oldest = *oldest;
            self.holdings.retain(|each| each.used > oldest);
        }
    }
}
