//! Places that one node holds at a brittle endpoint.

use std::time::Duration;

use super::{Allowance, Demand};
use crate::id::Time;

/// Time after which a place that a request has left is returned, unless the next one takes it.
const IDLE_LIFETIME: Duration = Duration::from_millis(100);

/// Time after which a granted place is returned unless a request takes it.
///
/// A request that still waits looks for a place sooner; others have gone to another endpoint.
const GRANT_LIFETIME: Duration = Duration::from_millis(50);

/// Time after its grant in which a place passes from one request of its node to the next.
///
/// Later its owner decides anew who gets it, so that fewer are held where the room shrinks, and a
/// node that is cut off from the owner soon holds none.
const LEASE: Duration = Duration::from_secs(1);

/// Most places that one message grants.
const MAX_GRANT: u32 = 256;

/// Places of this node at one endpoint, and its demand for more.
#[derive(Clone, Debug, Default)]
pub struct Places {
    unused: Allowance,
    /// Ends of the leases of all places, used or not, in order.
    leases: Vec<Time>,
}

impl Places {
    /// Adds granted places.
    pub fn deposit(&mut self, count: u32, now: Time) {
        self.expire(now);
        for _ in 0..count.min(MAX_GRANT) {
            self.unused.deposit_until(now + GRANT_LIFETIME, now);
            self.leases.push(now + LEASE);
        }
    }

    /// Returns whether a request of a rank may take a place.
    #[must_use]
    pub fn admits(&self, rank: u8, now: Time) -> bool {
        self.unused.admits(rank, now)
    }

    /// Gives a place to a request of a rank.
    pub fn spend(&mut self, rank: u8, now: Time) {
        self.expire(now);
        self.unused.spend(rank, now);
    }

    /// Takes back the place of a request that has ended, while its lease lasts.
    pub fn release(&mut self, now: Time) {
        self.expire(now);
        let unused = self.unused.unspent(now) as usize;
        if self.leases.len() > unused {
            let end = self.leases[unused].min(now + IDLE_LIFETIME);
            self.unused.deposit_until(end, now);
        }
    }

    /// Records that a request of a rank found no place, for the first time or again.
    pub fn want(&mut self, rank: u8, is_new: bool, now: Time) {
        self.unused.want(rank, is_new, now);
    }

    /// Returns the demand that is due to be sent, which then starts anew.
    pub fn take_demand(&mut self, now: Time) -> Option<Demand> {
        self.unused.take_demand(now)
    }

    /// Returns the number of places that no request uses.
    #[must_use]
    pub fn unused(&self, now: Time) -> u32 {
        self.unused.unspent(now)
    }

    /// Drops the places that no request took in time, with their leases, and the leases that ended.
    fn expire(&mut self, now: Time) {
        let before = self.unused.granted();
        self.unused.expire(now);
        let lapsed = before - self.unused.granted();
        self.leases.drain(..lapsed.min(self.leases.len()));
        self.leases.retain(|end| *end > now);
    }
}
