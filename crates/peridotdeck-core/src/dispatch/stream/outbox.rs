//! Streams of which the nodes of other data centres are told together, since that traffic is charged.

use std::time::Duration;

use super::Entry;
use crate::id::Time;

/// Longest time that a stream waits for others; if its whole data centre ends meanwhile, it is lost.
const INTERVAL: Duration = Duration::from_millis(500);

/// Most streams that wait; with more, they are told at once.
const MAX_WAITING: usize = 1_024;

/// Streams that wait to be told.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    waiting: Vec<Entry>,
    since: Option<Time>,
}

impl Outbox {
    /// Adds streams that the nodes here have been told of.
    pub fn add(&mut self, entries: &[Entry], now: Time) {
        if !entries.is_empty() {
            self.since.get_or_insert(now);
            self.waiting.extend_from_slice(entries);
        }
    }

    /// Returns whether no stream waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns up to `most` streams, if it is time to tell them or they are urgent.
    pub fn take_due(&mut self, most: usize, is_urgent: bool, now: Time) -> Vec<Entry> {
        let is_over = |since: Time| now.saturating_sub(since) >= INTERVAL;
        let is_due = is_urgent || self.waiting.len() > MAX_WAITING;
        if !is_due && !self.since.is_some_and(is_over) {
            return Vec::new();
        }
        let count = self.waiting.len().min(most);
        let due = self.waiting.drain(..count).collect();
        if self.waiting.is_empty() {
            self.since = None;
        }
        due
    }
}
