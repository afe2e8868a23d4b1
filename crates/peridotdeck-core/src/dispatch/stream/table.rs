//! Streams that are open, or that their callers may still take up.

use super::Id;
use crate::{dispatch::Software, id::Time};

/// Most streams that are remembered; beyond it the one that ends first is forgotten.
const MAX_STREAMS: usize = 32_768;

/// A stream and the software version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Digest of the id of the request that began the stream.
    pub stream: Id,
    /// Software version of the endpoint that sent the first event.
    pub software: Software,
    /// Time until which the caller may take the stream up.
    pub until: Time,
    /// Whether other nodes have been told, or need not be told by this one.
    pub told: bool,
}

/// Streams, sorted by their digests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Entry>,
    untold: usize,
}

impl Table {
    /// Adds a stream, unless it is known.
    pub fn insert(&mut self, entry: Entry) {
        let Err(index) = self.find(entry.stream) else {
            return;
        };
        self.entries.insert(index, entry);
        self.untold += usize::from(!entry.told);
        if self.entries.len() > MAX_STREAMS {
            self.remove_earliest();
        }
    }

    /// Returns what is known of a stream.
    #[must_use]
    pub fn get(&self, stream: Id) -> Option<&Entry> {
        let index = self.find(stream).ok()?;
        Some(&self.entries[index])
    }

    /// Marks up to `most` streams as told and returns them.
    pub fn take_untold(&mut self, most: usize) -> Vec<Entry> {
        if self.untold == 0 {
            return Vec::new();
        }
        let untold = self.entries.iter_mut().filter(|entry| !entry.told);
        let mut taken = Vec::new();
        for entry in untold.take(most) {
            entry.told = true;
            taken.push(*entry);
        }
        self.untold -= taken.len();
        taken
    }

    /// Forgets the streams that no caller may take up any more.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| entry.until > now);
        self.untold = self.entries.iter().filter(|entry| !entry.told).count();
    }

    /// Returns the number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_earliest(&mut self) {
        let ends = self.entries.iter().enumerate();
        let earliest = ends.min_by_key(|(_, entry)| entry.until);
        if let Some(index) = earliest.map(|(index, _)| index) {
            let removed = self.entries.remove(index);
            self.untold -= usize::from(!removed.told);
        }
    }

    fn find(&self, stream: Id) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&stream, |entry| entry.stream)
    }
}
