//! Streams that are open, or that their callers may still take up.

use super::Id;
use crate::{dispatch::Software, id::Time};

/// Most streams that are remembered; beyond it those that end first are forgotten.
const MAX_STREAMS: usize = 32_768;

/// A stream and the software version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Digest of the id of the request that began the stream, or of a cached part of a prompt.
    pub stream: Id,
    /// Software version of the endpoint that sent the first event, or that has cached the part.
    pub software: Software,
    /// Time until which the caller may take the stream up.
    pub until: Time,
    /// Whether other nodes have been told, or need not be told by this one.
    pub told: bool,
    /// Whether this node passed on the first event itself.
    pub is_own: bool,
}

impl Entry {
    fn key(&self) -> (Id, Software) {
        (self.stream, self.software)
    }
}

/// Streams, sorted by their digests and versions.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Entry>,
    untold: usize,
}

impl Table {
    /// Adds a stream, or prolongs a known one, whose caller may take it up more than once.
    pub fn insert(&mut self, entry: Entry) {
        match self.find(&entry) {
            Ok(index) => self.prolong(index, entry),
            Err(index) => {
                self.entries.insert(index, entry);
                self.untold += usize::from(!entry.told);
                self.forget_earliest();
            }
        }
    }

    /// Remembers a known stream for as long as another entry of it; others are told of the later end.
    fn prolong(&mut self, index: usize, entry: Entry) {
        let known = &mut self.entries[index];
        if entry.until <= known.until {
            return;
        }
        known.until = entry.until;
        if known.told && !entry.told {
            known.told = false;
            self.untold += 1;
        }
    }

    /// Adds many streams; others are told of them again, even if they are known.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = Entry>) {
        self.entries.extend(entries);
        // Of two entries of one stream, the one that others are still to be told of comes first.
        self.entries
            .sort_unstable_by_key(|entry| (entry.key(), entry.told));
        self.entries
            .dedup_by(|later, first| later.key() == first.key());
        self.forget_earliest();
        self.count_untold();
    }

    /// Returns what is known of a stream: one entry for each version that is said to have begun it.
    #[must_use]
    pub fn get(&self, stream: Id) -> &[Entry] {
        let begin = self.entries.partition_point(|entry| entry.stream < stream);
        let rest = &self.entries[begin..];
        let count = rest.partition_point(|entry| entry.stream == stream);
        &rest[..count]
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

    /// Returns whether others have been told of all streams that they are to know.
    #[must_use]
    pub fn is_told(&self) -> bool {
        self.untold == 0
    }

    /// Forgets the streams that no caller may take up any more.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| entry.until > now);
        self.count_untold();
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

    /// Forgets those that end first, with room for some more, if there are too many.
    fn forget_earliest(&mut self) {
        const ROOM: usize = MAX_STREAMS / 16;
        let surplus = self.entries.len().saturating_sub(MAX_STREAMS);
        if surplus == 0 {
            return;
        }
        let mut ends: Vec<Time> = self.entries.iter().map(|entry| entry.until).collect();
        let mut left = surplus + ROOM;
        let (_, last, _) = ends.select_nth_unstable(left - 1);
        self.entries.retain(|entry| {
            let goes = entry.until <= *last && left > 0;
            left -= usize::from(goes);
            !goes
        });
        self.count_untold();
    }

    fn count_untold(&mut self) {
        self.untold = self.entries.iter().filter(|entry| !entry.told).count();
    }

    fn find(&self, entry: &Entry) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&entry.key(), Entry::key)
    }
}
