//! Endpoints that have left lately, whose streams callers may still take up.
//!
//! The publisher keeps the latest changes of its entries, also those of before this node's start. They
//! name what has left before anyone who is left had listed it.

use super::{origin::Origin, reading::Reading};
use crate::{
    dispatch::{
        Key, Prefix, Software,
        registry::{self, Fact},
    },
    id::Time,
};

/// Most endpoints that are kept; if there are more, the history counts as unknown.
const MAX_DEPARTED: usize = 4_096;

/// A change of the endpoint list that the publisher has kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Past {
    /// What was published.
    pub fact: Fact,
    /// Whether it added an endpoint that was not listed before.
    pub is_new: bool,
}

/// An endpoint that has left or is about to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departed {
    id: String,
    /// Its last entry, unless only its removal is known.
    entry: Option<registry::Endpoint>,
    /// Position among the changes of the list from which it began no streams.
    left: usize,
}

impl Departed {
    /// Returns the key of its process, if that is known.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        self.entry.as_ref().map(registry::Endpoint::key)
    }

    /// Returns its id.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// Returns its last entry, unless only its removal is known.
    pub(super) fn entry(&self) -> Option<&registry::Endpoint> {
        self.entry.as_ref()
    }

    /// Returns the position among the changes of the list from which it began no streams.
    pub(super) fn left(&self) -> usize {
        self.left
    }

    /// Returns whether it was an endpoint of one version of a service.
    pub(super) fn is_of(&self, service: &str, software: Software) -> bool {
        let mut entry = self.entry.iter();
        entry.any(|entry| entry.service == service && entry.software() == software)
    }

    /// Returns whether it may have been an endpoint of a service at another version.
    fn may_be_other(&self, service: &str, software: Software) -> bool {
        let entry = self.entry.as_ref();
        entry.is_none_or(|entry| entry.service == service && entry.software() != software)
    }
}

/// What is known of endpoints that have left, while streams of before the start may be open.
#[derive(Clone, Debug, Default)]
pub struct History {
    departed: Vec<Departed>,
    /// Processes that were added, each with its position among the changes.
    joined: Vec<(Key, usize)>,
    /// Number of changes of the list that are known.
    changes: usize,
    is_read: bool,
    reading: Reading,
}

impl History {
    /// Asks for a read of the publisher's history, unless it has been read.
    pub fn want(&mut self) {
        self.reading.set_wanted(!self.is_read);
    }

    /// Returns whether to begin a read now.
    pub fn begin_read(&mut self, now: Time) -> bool {
        self.reading.begin(now)
    }

    /// Returns whether the endpoints that left before the start are known.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Records the publisher's latest changes of the endpoint list, oldest first.
    ///
    /// `is_listed` tells whether an endpoint's process is listed now.
    pub fn record(&mut self, changes: Vec<Past>, is_listed: impl Fn(Key) -> bool) {
        // What has left since the start has done so after these changes, or is among them.
        let since = std::mem::take(&mut self.departed);
        self.joined.clear();
        self.changes = 0;
        let mut written: Vec<String> = Vec::new();
        for Past { fact, is_new } in changes {
            self.changes += 1;
            match fact {
                Fact::Endpoint(entry) => {
                    self.end_earlier(&entry.id, Some(entry.key()));
                    if is_new && self.joined(entry.key()) == 0 {
                        self.joined.push((entry.key(), self.changes));
                    }
                    if let Err(index) = written.binary_search(&entry.id) {
                        written.insert(index, entry.id.clone());
                    }
                    if entry.draining {
                        self.depart(&entry);
                    } else if !is_listed(entry.key()) {
                        self.add(&entry, usize::MAX);
                    }
                }
                Fact::Gone(id) => {
                    self.end_earlier(&id, None);
                    if written.binary_search(&id).is_err() {
                        self.departed.push(Departed {
                            id,
                            entry: None,
                            left: self.changes,
                        });
                    }
                }
                _ => {}
            }
        }
        for entry in since.iter().filter_map(|one| one.entry.as_ref()) {
            self.depart(entry);
        }
        self.is_read = self.departed.len() <= MAX_DEPARTED;
    }

    /// Returns the position of the change that added a process; 0 if it was there before.
    pub(super) fn joined(&self, key: Key) -> usize {
        let found = self.joined.iter().find(|(each, _)| *each == key);
        found.map_or(0, |(_, position)| *position)
    }

    /// Notes that the processes under an id have ended by now, but for the one with a key.
    fn end_earlier(&mut self, id: &str, current: Option<Key>) {
        let earlier = self.departed.iter_mut().filter(|one| one.id == id);
        for one in earlier.filter(|one| one.key() != current) {
            one.left = one.left.min(self.changes);
        }
    }

    /// Keeps an endpoint that has left or is about to.
    pub fn depart(&mut self, entry: &registry::Endpoint) {
        self.changes += 1;
        self.add(entry, self.changes);
    }

    fn add(&mut self, entry: &registry::Endpoint, left: usize) {
        let key = Some(entry.key());
        if let Some(known) = self.departed.iter_mut().find(|one| one.key() == key) {
            known.left = known.left.min(left);
            return;
        }
        if self.departed.len() <= MAX_DEPARTED {
            self.departed.push(Departed {
                id: entry.id.clone(),
                entry: Some(entry.clone()),
                left,
            });
        }
    }

    /// Returns the endpoints that have left or are about to.
    pub fn departed(&self) -> impl Iterator<Item = &Departed> {
        self.departed.iter()
    }

    /// Forgets the endpoints that have left, since no stream from before the start is open any more.
    pub fn forget(&mut self) {
        self.departed.clear();
        self.joined.clear();
    }

    /// Returns whether a session whose last part one version holds may have begun a stream at another one, of
    /// which an endpoint has left.
    ///
    /// `listed` are the endpoints of the service that do not drain. `has_listed` tells whether an endpoint has
    /// listed its cache, which then lacks the part.
    pub fn may_have_begun<'a>(
        &'a self,
        own: Prefix,
        (service, software): (&str, Software),
        listed: impl Iterator<Item = &'a registry::Endpoint>,
        has_listed: impl Fn(Key) -> bool,
    ) -> bool {
        let origin = Origin::new(own, (service, software), listed, self);
        let mut unlisted = self.departed().filter(|one| {
            let is_listed = one.key().is_some_and(&has_listed);
            one.may_be_other(service, software) && !is_listed
        });
        unlisted.any(|one| origin.may_have_moved_to(one))
    }
}
