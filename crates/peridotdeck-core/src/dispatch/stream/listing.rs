//! Lists of endpoints' caches, which a node asks for when it starts.

use crate::dispatch::Key;

/// The endpoints whose caches a node that has started lists, and what it has learnt from them.
///
/// Only where all have answered is a part that none of them holds certainly in no cache.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    pending: Vec<Key>,
    is_started: bool,
    is_partial: bool,
}

impl Listing {
    /// Adds an endpoint whose cache is to be listed.
    pub fn expect(&mut self, key: Key) {
        self.is_started = true;
        if let Err(index) = self.pending.binary_search(&key) {
            self.pending.insert(index, key);
        }
    }

    /// Records that an endpoint has listed its cache, or has none.
    pub fn complete(&mut self, key: Key) {
        if let Ok(index) = self.pending.binary_search(&key) {
            self.pending.remove(index);
        }
    }

    /// Records that an endpoint is not asked, since there are too many.
    pub fn skip(&mut self, key: Key) {
        self.complete(key);
        self.is_partial = true;
    }

    /// Returns whether lists of endpoints that were asked are still to come.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether all endpoints have listed their caches.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.is_started && !self.is_partial && !self.is_pending()
    }
}
