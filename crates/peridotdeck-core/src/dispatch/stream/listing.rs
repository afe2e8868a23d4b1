//! Lists of endpoints' caches, which a node asks for when it starts.
//!
//! Where there are too many endpoints for one node, each node lists some of them and tells others of
//! the parts, by the parts' digests. So the list of all is shared out, and a node that needs to know
//! who holds a part asks the same nodes.

use std::time::Duration;

use crate::{
    dispatch::{Key, Prefix},
    id::Time,
};

/// Times after the first list at which other nodes are told: peers that start together know each other
/// at the first one, and later ones have started by the second one.
const TURNS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];

/// The caches that a node has listed since its start, while others need to be told of them.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    is_partial: bool,
    begun: Option<Time>,
    turns: usize,
    parts: Vec<(Key, Vec<Prefix>)>,
}

impl Listing {
    /// Records that an endpoint is not asked by this node, since there are too many.
    pub fn skip(&mut self) {
        self.is_partial = true;
    }

    /// Keeps the parts that an endpoint has cached, if other nodes need to be told of them.
    pub fn add(&mut self, key: Key, parts: &[Prefix], now: Time) {
        if self.is_partial && self.turns < TURNS.len() {
            self.begun.get_or_insert(now);
            self.parts.push((key, parts.to_vec()));
        }
    }

    /// Returns the parts of each endpoint that others are to be told of now, if it is time to.
    pub fn take_due(&mut self, now: Time) -> Vec<(Key, Vec<Prefix>)> {
        let Some(begun) = self.begun else {
            return Vec::new();
        };
        let is_due = |turn: &Duration| now.saturating_sub(begun) >= *turn;
        if !TURNS.get(self.turns).is_some_and(is_due) {
            return Vec::new();
        }
        self.turns += 1;
        if self.turns == TURNS.len() {
            std::mem::take(&mut self.parts)
        } else {
            self.parts.clone()
        }
    }
}
