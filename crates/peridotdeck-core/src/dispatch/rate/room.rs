//! How the node that shares out a brittle endpoint's room grants places to nodes.
//!
//! A place is one request in progress at the endpoint. Nodes report how many they hold, with the
//! requests in progress and the grants that they have not used; the rest is granted.

use std::time::Duration;

use super::{Demand, Ledger};
use crate::{dispatch::Node, id::Time};

/// Time in which a new owner learns what the nodes hold, before it grants anything.
const SETTLING: Duration = Duration::from_millis(300);

/// That time while nodes are out of touch, in which the leases of their places end.
const INCOMPLETE_SETTLING: Duration = Duration::from_secs(1);

/// Time after which a grant that its node has not confirmed was lost, or has lapsed there.
const GRANT_LIFETIME: Duration = Duration::from_millis(700);

/// Time without a report after which a node holds nothing; its grants have lapsed by then.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Shortest time between two steps down, as rejections of one moment arrive apart.
const SHRINK_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a rejection after which the room is tried to be larger, and between two such steps.
const GROW_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the slots by which the room shrinks or grows, one place at least.
const STEP_FRACTION: f64 = 0.04;

/// What a node holds at the endpoint.
#[derive(Clone, Debug)]
struct Holder {
    node: Node,
    held: u32,
    reported: Time,
    /// Number of the last grant; the first one is not 0, as another owner may have counted before.
    number: u32,
    /// Times of the last grants, which the report does not contain yet.
    granted: Vec<Time>,
}

impl Holder {
    fn count(&self) -> u32 {
        self.held.saturating_add(self.granted.len() as u32)
    }

    /// Forgets the grants up to the one that the node has received, and those that were lost.
    fn confirm(&mut self, seen: u32, now: Time) {
        let pending = self.number.wrapping_sub(seen) as usize;
        if let Some(confirmed) = self.granted.len().checked_sub(pending) {
            self.granted.drain(..confirmed);
        }
        self.granted
            .retain(|granted| now.saturating_sub(*granted) < GRANT_LIFETIME);
    }

    /// Adds a grant and returns its number.
    fn grant(&mut self, now: Time) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.granted.push(now);
        self.number
    }
}

/// Room of one brittle endpoint.
#[derive(Clone, Debug, Default)]
pub struct Room {
    ledger: Ledger,
    holders: Vec<Holder>,
    /// Places that the endpoint is believed to have, at most its slots; none before the first use.
    capacity: Option<f64>,
    changed: Time,
    since: Option<Time>,
    /// Part of the room that this node shared out last.
    fraction: f64,
}

impl Room {
    /// Records what a node holds, and how many of its requests were rejected since the last report.
    ///
    /// `seen` is the number of the last grant that it has received.
    pub fn report(&mut self, node: Node, held: u32, seen: u32, rejected: u32, now: Time) {
        let holder = self.holder(node, now);
        holder.held = held;
        holder.reported = now;
        holder.confirm(seen, now);
        if rejected > 0 && now.saturating_sub(self.changed) >= SHRINK_INTERVAL {
            self.changed = now;
            let used = f64::from(self.held());
            let step = |capacity: f64| (capacity * STEP_FRACTION).max(1.0);
            self.capacity = self
                .capacity
                .map(|capacity| (capacity.min(used) - step(capacity)).max(1.0));
        }
    }

    /// Records or renews a node's demand.
    pub fn demand(&mut self, node: Node, demand: Demand, now: Time) {
        self.ledger.demand(node, demand, now);
    }

    /// Grants the places that are free; returns a node for each, and the number of the grant.
    ///
    /// `slots` is the number of requests that the endpoint runs at once, `fraction` the part of its
    /// room that this node may share out.
    pub fn share_out(&mut self, slots: u32, fraction: f64, now: Time) -> Vec<(Node, u32)> {
        // Nodes that were cut off, and report to this node again, hold places that it does not know.
        if fraction > self.fraction {
            self.since = Some(now);
        }
        self.fraction = fraction;
        let since = *self.since.get_or_insert(now);
        let slots = f64::from(slots.max(1));
        let known = self.capacity.unwrap_or(slots).min(slots);
        let grows = now.saturating_sub(self.changed) >= GROW_INTERVAL && known < slots;
        let capacity = if grows {
            self.changed = now;
            (known + (slots * STEP_FRACTION).max(1.0)).min(slots)
        } else {
            known
        };
        self.capacity = Some(capacity);
        self.holders
            .retain(|holder| now.saturating_sub(holder.reported) < REPORT_LIFETIME);
        let settling = if fraction < 1.0 {
            INCOMPLETE_SETTLING
        } else {
            SETTLING
        };
        if now.saturating_sub(since) < settling {
            return Vec::new();
        }
        let room = (capacity * fraction).floor();
        let free = room - f64::from(self.held());
        let nodes = self.ledger.share_out_free(free, now).into_iter();
        let numbered: Vec<(Node, u32)> = nodes
            .map(|node| (node, self.holder(node, now).grant(now)))
            .collect();
        numbered
    }

    /// Returns the number of places that are held or granted.
    #[must_use]
    pub fn held(&self) -> u32 {
        let counts = self.holders.iter().map(Holder::count);
        counts.fold(0, u32::saturating_add)
    }

    /// Returns the number of places that the endpoint is believed to have.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity.unwrap_or_default()
    }

    /// Forgets everything, as another node shares the room out now.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn holder(&mut self, node: Node, now: Time) -> &mut Holder {
        let index = match self.holders.binary_search_by_key(&node, |one| one.node) {
            Ok(index) => index,
            Err(index) => {
                let holder = Holder {
                    node,
                    held: 0,
                    reported: now,
                    number: now.as_millis() as u32,
                    granted: Vec::new(),
                };
                self.holders.insert(index, holder);
                index
            }
        };
        &mut self.holders[index]
    }
}
