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
const MAX_IDLE: Duration = Duration::from_secs(90);

/// Time between two news of uses of the same part at the same endpoint.
pub const REFRESH: Duration = Duration::from_secs(3);

/// Time from a send until an endpoint has surely read the part, and another can fetch it.
const READ_DELAY: Duration = Duration::from_millis(300);

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
    pub announced: Option<Time>,
}

/// All holdings that are known, sorted by prefix and endpoint.
#[derive(Clone, Debug, Default)]
pub struct Index {
    holdings: Vec<Holding>,
}

impl Index {
    /// Notes a use.
    pub fn record_use(&mut self, prefix: Prefix, endpoint: Key, now: Time) {
        match self.find(prefix, endpoint) {
            Ok(index) => self.holdings[index].used = now,
            Err(index) => {
                let holding = Holding {
                    prefix,
                    endpoint,
                    since: now,
                    used: now,
                    announced: None,
                };
                self.holdings.insert(index, holding);
                self.bound();
            }
        }
    }

    /// Returns whether peers should hear of a use, and notes that they do.
    pub fn mark_announced_if_due(&mut self, prefix: Prefix, endpoint: Key, now: Time) -> bool {
        let Ok(index) = self.find(prefix, endpoint) else {
            return false;
        };
        let holding = &mut self.holdings[index];
        let due = holding
            .announced
            .is_none_or(|announced| now.saturating_sub(announced) >= REFRESH);
        if due {
            holding.announced = Some(now);
        }
        due
    }

    /// Returns how long ago a prefix was first sent to an endpoint, if it was.
    #[must_use]
    pub fn age(&self, prefix: Prefix, endpoint: Key, now: Time) -> Option<Duration> {
        let index = self.find(prefix, endpoint).ok()?;
        Some(now.saturating_sub(self.holdings[index].since))
    }

    /// Forgets one holding, which has proven wrong.
    pub fn remove(&mut self, prefix: Prefix, endpoint: Key) {
        if let Ok(index) = self.find(prefix, endpoint) {
            self.holdings.remove(index);
        }
    }

    /// Forgets everything about an endpoint that has lost its memory.
    pub fn remove_endpoint(&mut self, endpoint: Key) {
        self.holdings.retain(|holding| holding.endpoint != endpoint);
    }

    /// Forgets what has not been used for long.
    pub fn expire(&mut self, now: Time) {
        self.holdings
            .retain(|holding| now.saturating_sub(holding.used) < MAX_IDLE);
    }

    /// Returns when a prefix was last used at any endpoint.
    #[must_use]
    pub fn last_use(&self, prefix: Prefix) -> Option<Time> {
        let begin = self
            .holdings
            .partition_point(|holding| holding.prefix < prefix);
        let holders = self.holdings[begin..]
            .iter()
            .take_while(|holding| holding.prefix == prefix);
        holders.map(|holding| holding.used).max()
    }

    /// Returns whether a part that was sent this long ago can be fetched.
    #[must_use]
    pub fn is_read(age: Duration) -> bool {
        age >= READ_DELAY
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
            .binary_search_by_key(&(prefix, endpoint), |holding| {
                (holding.prefix, holding.endpoint)
            })
    }

    fn bound(&mut self) {
        if self.holdings.len() > CAPACITY {
            let mut ages: Vec<Time> = self.holdings.iter().map(|holding| holding.used).collect();
            let (_, oldest, _) = ages.select_nth_unstable(CAPACITY / 10);
            let oldest = *oldest;
            self.holdings.retain(|holding| holding.used > oldest);
        }
    }
}
