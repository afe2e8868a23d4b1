//! What one node may send to an endpoint that names a rate.

use std::time::Duration;

use super::USE_WINDOW;
use crate::id::Time;

/// Time after which a granted request may no longer be sent.
///
/// It bounds how much the sum can exceed the rate after a pause without requests.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Shortest time between two demands for the same endpoint.
const DEMAND_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a request that still waits is demanded again; a grant has arrived by then.
const RENEWAL: Duration = Duration::from_millis(150);

/// Time for which a less urgent request leaves a grant to a more urgent one that found none.
const RESERVATION: Duration = Duration::from_millis(250);

/// Most requests that one demand asks for.
pub(super) const MAX_DEMAND: u32 = 16;

/// Most sent requests that are remembered for the reported use.
const MAX_SENT: usize = 256;

/// Requests that this node could send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Rank of the most urgent of them; 0 is the first.
    pub rank: u8,
    /// Number of requests.
    pub count: u32,
}

/// Grants that this node holds for an endpoint, and its demand for more.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    /// Ends of the grants' lifetimes, in order.
    grants: Vec<Time>,
    demand: Option<Demand>,
    demanded: Option<Time>,
    /// Rank of the most urgent request that found no grant, and until when one is left to it.
    reserved: Option<(u8, Time)>,
    /// Times of the requests that were sent lately.
    sent: Vec<Time>,
}

impl Allowance {
    /// Returns the number of grants that may still be spent.
    #[must_use]
    pub fn unspent(&self, now: Time) -> u32 {
        self.grants.iter().filter(|end| **end > now).count() as u32
    }

    /// Adds a grant that ends at a time.
    pub(super) fn deposit_until(&mut self, end: Time, now: Time) {
        self.expire(now);
        self.grants.push(end);
        self.grants.sort_unstable();
    }

    /// Adds granted requests.
    pub fn deposit(&mut self, count: u32, now: Time) {
        self.expire(now);
        let count = count.min(MAX_DEMAND);
        self.grants.extend((0..count).map(|_| now + GRANT_LIFETIME));
    }

    /// Returns whether a request of a rank may be sent.
    ///
    /// The last grant is left to a more urgent request that found none a moment ago.
    #[must_use]
    pub fn admits(&self, rank: u8, now: Time) -> bool {
        let valid = self.grants.iter().filter(|end| **end > now).count();
        let is_reserved = |(first, until): (u8, Time)| first < rank && until > now;
        let reserved = usize::from(self.reserved.is_some_and(is_reserved));
        valid > reserved
    }

    /// Uses a grant for a request of a rank.
    pub fn spend(&mut self, rank: u8, now: Time) {
        self.expire(now);
        if !self.grants.is_empty() {
            self.grants.remove(0);
        }
        if self.reserved.is_some_and(|(first, _)| rank <= first) {
            self.reserved = None;
        }
        if self.sent.len() == MAX_SENT {
            self.sent.remove(0);
        }
        self.sent.push(now);
    }

    /// Records that a request of a rank found no grant, for the first time or again.
    pub fn want(&mut self, rank: u8, is_new: bool, now: Time) {
        self.reserve(rank, now);
        let is_recent = |demanded: Time| now.saturating_sub(demanded) < RENEWAL;
        if !is_new && self.demanded.is_some_and(is_recent) {
            return;
        }
        let demand = self.demand.get_or_insert(Demand { rank, count: 0 });
        demand.rank = demand.rank.min(rank);
        demand.count = (demand.count + 1).min(MAX_DEMAND);
    }

    /// Leaves a grant to requests that are at least as urgent, for a while.
    fn reserve(&mut self, rank: u8, now: Time) {
        let is_over = |(first, until): (u8, Time)| rank <= first || until <= now;
        if self.reserved.is_none_or(is_over) {
            self.reserved = Some((rank, now + RESERVATION));
        }
    }

    /// Returns the demand that is due to be sent, which then starts anew.
    pub fn take_demand(&mut self, now: Time) -> Option<Demand> {
        let is_early = |demanded: Time| now.saturating_sub(demanded) < DEMAND_INTERVAL;
        if self.demanded.is_some_and(is_early) {
            return None;
        }
        let demand = self.demand.take()?;
        self.demanded = Some(now);
        Some(demand)
    }

    /// Returns how many requests per second this node has sent lately.
    #[must_use]
    pub fn used(&self, now: Time) -> f64 {
        per_second(&self.sent, now)
    }

    /// Returns the number of grants that have not been dropped yet.
    pub(super) fn granted(&self) -> usize {
        self.grants.len()
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.grants.retain(|end| *end > now);
        self.sent
            .retain(|sent| now.saturating_sub(*sent) < USE_WINDOW);
    }
}

/// Returns how many of `times` lie in the last [`USE_WINDOW`], per second.
pub(super) fn per_second(times: &[Time], now: Time) -> f64 {
    let recent = times
        .iter()
        .filter(|time| now.saturating_sub(**time) < USE_WINDOW);
    recent.count() as f64 / USE_WINDOW.as_secs_f64()
}
