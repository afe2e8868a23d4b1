//! Lists of endpoints' caches, which a node asks for when it starts.
//!
//! Where there are too many endpoints for one node, each node lists some of them and tells others of
//! the parts, by the parts' digests, and of the endpoints that have listed theirs. So the list of all
//! is shared out, and a node that needs to know who holds a part asks the same nodes. What nobody has
//! listed, since it joined after the start or did not answer, is called again by its own data centre.

use std::time::Duration;

use crate::{
    dispatch::{Key, Prefix},
    id::Time,
};

/// Time after the first list at which most peers that start together know each other.
const ACQUAINTANCE: Duration = Duration::from_millis(400);

/// Times after a list at which other nodes are told of it, once most of them are known: all that start
/// together are by the second one, and later ones have started by the last.
const TURNS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(4),
];

/// Shortest time between two lists of all endpoints, which delay their work.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time between two looks at what is to be told, since all that is known is sorted each time.
const TOLD_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two searches for endpoints that this node should have listed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a call without an answer has failed.
const MAX_CALL: Duration = Duration::from_millis(1_200);

/// The calls for one endpoint's list.
#[derive(Clone, Copy, Debug)]
struct Call {
    key: Key,
    /// Time of the first call that is not answered.
    begun: Option<Time>,
    /// Time of the last call that was answered.
    answered: Option<Time>,
    /// Whether a list has been kept to tell others of it.
    is_kept: bool,
}

/// The parts of one endpoint, of which others are told.
#[derive(Clone, Debug)]
struct List {
    key: Key,
    parts: Vec<Prefix>,
    added: Time,
    /// Turns at which others have been told.
    turns: usize,
}

/// The caches that a node has listed since its start, while others need to be told of them.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    calls: Vec<Call>,
    is_wanted: bool,
    repeated: Option<Time>,
    is_partial: bool,
    lists: Vec<List>,
    /// Endpoints whose parts others are told of, but not yet that these are all.
    unmarked: Vec<Key>,
    /// Time of the first list.
    begun: Option<Time>,
    told: Time,
    checked: Time,
}

impl Listing {
    /// Records that some endpoints are not called by this node, since there are too many.
    pub fn skip(&mut self, now: Time) {
        self.is_partial = true;
        self.checked = now;
    }

    /// Returns whether to look for endpoints that this node should have listed, and has not.
    pub fn take_check(&mut self, now: Time) -> bool {
        let is_due = self.is_partial && now.saturating_sub(self.checked) >= CHECK_INTERVAL;
        if is_due {
            self.checked = now;
        }
        is_due
    }

    /// Returns whether there is no list of an endpoint that others could be told of, and no call for one.
    #[must_use]
    pub fn lacks(&self, key: Key, now: Time) -> bool {
        let is_running = |begun: Time| now.saturating_sub(begun) < MAX_CALL;
        let mut calls = self.calls.iter().filter(|call| call.key == key);
        calls.all(|call| !call.is_kept && !call.begun.is_some_and(is_running))
    }

    /// Returns whether this node lists some of the endpoints only.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Asks for new lists, since a stream waits for them.
    pub fn want(&mut self) {
        self.is_wanted = true;
    }

    /// Returns whether to list all endpoints again, or to ask others for the lists that they have.
    pub fn take_wanted(&mut self, now: Time) -> bool {
        let is_recent = |at: Time| now.saturating_sub(at) < INTERVAL;
        if !self.is_wanted || self.repeated.is_some_and(is_recent) {
            return false;
        }
        self.is_wanted = false;
        self.repeated = Some(now);
        true
    }

    /// Records that an endpoint is called for its list.
    pub fn begin(&mut self, key: Key, now: Time) {
        let call = self.call(key);
        let is_lost = |begun: Time| now.saturating_sub(begun) >= MAX_CALL;
        if call.begun.is_none_or(is_lost) {
            call.begun = Some(now);
        }
    }

    /// Returns whether an endpoint has answered a call that began after a time.
    #[must_use]
    pub fn shows_since(&self, key: Key, since: Time) -> bool {
        let mut calls = self.calls.iter().filter(|call| call.key == key);
        calls.any(|call| call.answered.is_some_and(|begun| begun >= since))
    }

    /// Returns whether an endpoint has answered any call.
    #[must_use]
    pub fn shows(&self, key: Key) -> bool {
        self.shows_since(key, Time::ZERO)
    }

    fn call(&mut self, key: Key) -> &mut Call {
        let index = match self.calls.binary_search_by_key(&key, |call| call.key) {
            Ok(index) => index,
            Err(index) => {
                let call = Call {
                    key,
                    begun: None,
                    answered: None,
                    is_kept: false,
                };
                self.calls.insert(index, call);
                index
            }
        };
        &mut self.calls[index]
    }

    /// Keeps the parts that an endpoint has cached, if other nodes need to be told of them.
    pub fn add(&mut self, key: Key, parts: &[Prefix], now: Time) {
        let is_partial = self.is_partial;
        let call = self.call(key);
        call.answered = call.begun.take().max(call.answered);
        if is_partial && !call.is_kept {
            call.is_kept = true;
            self.begun.get_or_insert(now);
            self.lists.push(List {
                key,
                parts: parts.to_vec(),
                added: now,
                turns: 0,
            });
        }
    }

    /// Returns the parts of each endpoint that others are to be told of now, if it is time to.
    pub fn take_due(&mut self, now: Time) -> Vec<(Key, Vec<Prefix>)> {
        let is_acquainted = |begun: Time| now.saturating_sub(begun) >= ACQUAINTANCE;
        let is_due = now.saturating_sub(self.told) >= TOLD_INTERVAL;
        if self.lists.is_empty() || !is_due || !self.begun.is_some_and(is_acquainted) {
            return Vec::new();
        }
        self.told = now;
        let mut due = Vec::new();
        for list in &mut self.lists {
            if now.saturating_sub(list.added) >= TURNS[list.turns] {
                list.turns += 1;
                due.push((list.key, list.parts.clone()));
            }
        }
        self.lists.retain(|list| list.turns < TURNS.len());
        self.unmarked.extend(due.iter().map(|(key, _)| *key));
        due
    }

    /// Returns the endpoints that others may be told are listed, once they know of all parts.
    pub fn take_unmarked(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.unmarked)
    }
}
