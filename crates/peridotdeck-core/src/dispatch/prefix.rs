//! Index of the prompt prefixes that endpoints are expected to have in their prefix caches.
//!
//! Engines cache what they have read, so a part of a prompt needs no prefill if the engine also has
//! all parts before it. No engine reports reliably what it still caches. The index therefore
//! records which prefixes this node and its peers have sent to which endpoint, and which prefixes
//! endpoints list when a node starts. Prefixes that have not been used for a while are removed.

use std::time::Duration;

use super::{Key, Prefix};
use crate::id::Time;

/// Time without a use after which a prefix counts as evicted from the cache.
const MAX_IDLE: Duration = Duration::from_secs(90);

/// Shortest time between two announcements of the same prefix at the same endpoint.
pub const REFRESH: Duration = Duration::from_secs(3);

/// Time after which an endpoint has certainly read a prefix, so that another can fetch it.
const READ_DELAY: Duration = Duration::from_millis(300);

/// Most entries of the index; when it is full, the least recently used tenth is removed.
const CAPACITY: usize = 16_384;

/// Bits of a prefix that select its shard.
const SHARD_BITS: u32 = 8;

/// A prefix that an endpoint is expected to cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Digest of the prefix.
    pub prefix: Prefix,
    /// Key of the endpoint.
    pub endpoint: Key,
    /// Time at which it was first sent to the endpoint.
    pub since: Time,
    /// Time at which it was last used.
    pub used: Time,
    /// Time at which its use was last announced to peers.
    pub announced: Option<Time>,
}

/// All known holdings.
///
/// Heartbeats add hundreds of holdings a second. They are kept in shards, since an insertion into a
/// sorted vector moves all entries behind it.
#[derive(Clone, Debug)]
pub struct Index {
    /// Holdings by the first bits of their prefixes, each shard sorted by prefix and endpoint.
    shards: Vec<Vec<Holding>>,
    len: usize,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            shards: vec![Vec::new(); 1 << SHARD_BITS],
            len: 0,
        }
    }
}

/// Returns the number of the shard of a prefix.
fn shard(prefix: Prefix) -> usize {
    (prefix >> (Prefix::BITS - SHARD_BITS)) as usize
}

impl Index {
    /// Records a use of a prefix at an endpoint.
    pub fn record_use(&mut self, prefix: Prefix, endpoint: Key, now: Time) {
        match self.find(prefix, endpoint) {
            Ok(index) => self.shards[shard(prefix)][index].used = now,
            Err(index) => {
                let holding = Holding {
                    prefix,
                    endpoint,
                    since: now,
                    used: now,
                    announced: None,
                };
                self.shards[shard(prefix)].insert(index, holding);
                self.len += 1;
                self.evict_oldest();
            }
        }
    }

    /// Returns whether a use is to be announced to peers, and if so marks it as announced.
    pub fn mark_announced_if_due(&mut self, prefix: Prefix, endpoint: Key, now: Time) -> bool {
        let Ok(index) = self.find(prefix, endpoint) else {
            return false;
        };
        let holding = &mut self.shards[shard(prefix)][index];
        let due = holding
            .announced
            .is_none_or(|announced| now.saturating_sub(announced) >= REFRESH);
        if due {
            holding.announced = Some(now);
        }
        due
    }

    /// Returns the holdings of a prefix, sorted by endpoint.
    #[must_use]
    pub fn holders(&self, prefix: Prefix) -> &[Holding] {
        let shard = &self.shards[shard(prefix)];
        let begin = shard.partition_point(|holding| holding.prefix < prefix);
        let rest = &shard[begin..];
        let count = rest.partition_point(|holding| holding.prefix == prefix);
        &rest[..count]
    }

    /// Returns the prefixes that an endpoint holds.
    pub fn held_by(&self, endpoint: Key) -> impl Iterator<Item = Prefix> {
        let holdings = self.shards.iter().flatten();
        let held = holdings.filter(move |holding| holding.endpoint == endpoint);
        held.map(|holding| holding.prefix)
    }

    /// Removes a holding that was first recorded at or after a time, as it has proved wrong.
    pub fn remove_since(&mut self, prefix: Prefix, endpoint: Key, sent: Time) {
        if let Ok(index) = self.find(prefix, endpoint)
            && self.shards[shard(prefix)][index].since >= sent
        {
            self.shards[shard(prefix)].remove(index);
            self.len -= 1;
        }
    }

    /// Removes all holdings of an endpoint that has lost its cache.
    pub fn remove_endpoint(&mut self, endpoint: Key) {
        self.retain(|holding| holding.endpoint != endpoint);
    }

    /// Removes prefixes that have not been used for the maximum idle time.
    pub fn expire(&mut self, now: Time) {
        self.retain(|holding| now.saturating_sub(holding.used) < MAX_IDLE);
    }

    /// Returns when a prefix was last used at any endpoint.
    #[must_use]
    pub fn last_use(&self, prefix: Prefix) -> Option<Time> {
        let holders = self.holders(prefix).iter();
        holders.map(|holding| holding.used).max()
    }

    /// Returns whether a prefix that was first sent this long ago can be fetched.
    #[must_use]
    pub fn is_read(age: Duration) -> bool {
        age >= READ_DELAY
    }

    /// Returns the number of holdings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the index has no holdings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the index of a holding in the shard of its prefix, or where it belongs.
    fn find(&self, prefix: Prefix, endpoint: Key) -> Result<usize, usize> {
        self.shards[shard(prefix)].binary_search_by_key(&(prefix, endpoint), |holding| {
            (holding.prefix, holding.endpoint)
        })
    }

    fn retain(&mut self, keep: impl Fn(&Holding) -> bool) {
        for shard in &mut self.shards {
            shard.retain(&keep);
        }
        self.len = self.shards.iter().map(Vec::len).sum();
    }

    fn evict_oldest(&mut self) {
        if self.len > CAPACITY {
            let holdings = self.shards.iter().flatten();
            let mut uses: Vec<Time> = holdings.map(|holding| holding.used).collect();
            let (_, oldest, _) = uses.select_nth_unstable(CAPACITY / 10);
            let oldest = *oldest;
            self.retain(|holding| holding.used > oldest);
        }
    }
}
