//! How the node that shares out an endpoint's rate grants requests to nodes.

use std::time::Duration;

use super::{
    Demand, USE_WINDOW,
    allowance::{MAX_DEMAND, per_second},
};
use crate::{dispatch::Node, id::Time};

/// Fraction of a rate that is granted; the rest covers grants that are spent late.
const GRANTED_FRACTION: f64 = 0.9;

/// Time after which a demand lapses; a node that still needs requests has renewed it by then.
const DEMAND_LIFETIME: Duration = Duration::from_millis(300);

/// Time in which unused grants accumulate, beyond [`MIN_SAVED`].
const MAX_SAVED: Duration = Duration::from_millis(250);

/// Grants that accumulate at any rate: one to use, and one for an urgent request that may come.
const MIN_SAVED: f64 = 2.0;

/// Time after a demand in which a grant is kept ready for the next demand that is as urgent.
const URGENT_MEMORY: Duration = Duration::from_secs(3);

/// Each so many grants, one goes to the oldest demand, so that no rank waits without end.
const OLDEST_TURN: u32 = 8;

/// Most grants that are remembered for the reported use.
const MAX_GRANTED: usize = 256;

/// A node's demand.
#[derive(Clone, Copy, Debug)]
struct Request {
    node: Node,
    demand: Demand,
    /// Time since which the node has waited for a grant.
    since: Time,
    renewed: Time,
}

/// Grants of one endpoint's rate.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    level: f64,
    filled: Option<Time>,
    requests: Vec<Request>,
    turn: u32,
    /// Rank of the most urgent demand of late, and when it came.
    urgent: Option<(u8, Time)>,
    granted: Vec<Time>,
}

impl Ledger {
    /// Records or renews a node's demand.
    pub fn demand(&mut self, node: Node, demand: Demand, now: Time) {
        let demand = Demand {
            count: demand.count.min(MAX_DEMAND),
            ..demand
        };
        let is_over =
            |(rank, at): (u8, Time)| demand.rank <= rank || now.saturating_sub(at) >= URGENT_MEMORY;
        if self.urgent.is_none_or(is_over) {
            self.urgent = Some((demand.rank, now));
        }
        let known = self.requests.iter_mut().find(|one| one.node == node);
        match known {
            Some(request) => {
                request.demand = demand;
                request.renewed = now;
            }
            None => self.requests.push(Request {
                node,
                demand,
                since: now,
                renewed: now,
            }),
        }
    }

    /// Grants what a rate in requests per second allows by now; returns a node for each grant.
    ///
    /// The first grant of a new ledger becomes possible only after the time for one request, since
    /// another node may have shared out the rate until now.
    pub fn share_out(&mut self, rate: f64, now: Time) -> Vec<Node> {
        let rate = rate * GRANTED_FRACTION;
        let elapsed = now.saturating_sub(self.filled.unwrap_or(now));
        let most = (rate * MAX_SAVED.as_secs_f64()).max(MIN_SAVED);
        self.level = (self.level + elapsed.as_secs_f64() * rate).min(most);
        self.filled = Some(now);
        self.grant_all(now)
    }

    /// Grants so many requests that are free now; returns a node for each grant.
    pub fn share_out_free(&mut self, free: f64, now: Time) -> Vec<Node> {
        self.level = free;
        self.grant_all(now)
    }

    /// Grants what the level allows.
    fn grant_all(&mut self, now: Time) -> Vec<Node> {
        self.requests
            .retain(|request| now.saturating_sub(request.renewed) < DEMAND_LIFETIME);
        let mut nodes = Vec::new();
        while let Some(index) = self.next_request(now) {
            self.level -= 1.0;
            self.turn += 1;
            nodes.push(self.grant(index, now));
        }
        nodes
    }

    /// Forgets all demands and the saved rate, as another node shares it out now.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns how many requests per second have been granted lately.
    #[must_use]
    pub fn used(&self, now: Time) -> f64 {
        per_second(&self.granted, now)
    }

    /// Returns the level that a grant needs; a less urgent one leaves another grant behind.
    fn needed_level(&self, index: usize, now: Time) -> f64 {
        let rank = self.requests[index].demand.rank;
        let is_recent = |at: Time| now.saturating_sub(at) < URGENT_MEMORY;
        let urgent = self.urgent.filter(|(_, at)| is_recent(*at));
        let leaves_one = urgent.is_some_and(|(first, _)| first < rank);
        if leaves_one { MIN_SAVED } else { 1.0 }
    }

    /// Returns the request that gets the next grant, if the level suffices for it.
    fn next_request(&self, now: Time) -> Option<usize> {
        let requests = || self.requests.iter().enumerate();
        let oldest = requests().min_by_key(|(_, request)| (request.since, request.node));
        let has_turn = self.turn % OLDEST_TURN == OLDEST_TURN - 1;
        let urgent = requests()
            .min_by_key(|(_, request)| (request.demand.rank, request.since, request.node));
        let candidates = [oldest.filter(|_| has_turn), urgent];
        let mut indexes = candidates.into_iter().flatten().map(|(index, _)| index);
        indexes.find(|index| self.level >= self.needed_level(*index, now))
    }

    fn grant(&mut self, index: usize, now: Time) -> Node {
        let request = &mut self.requests[index];
        let node = request.node;
        request.since = now;
        request.demand.count = request.demand.count.saturating_sub(1);
        if request.demand.count == 0 {
            self.requests.remove(index);
        }
        self.granted
            .retain(|granted| now.saturating_sub(*granted) < USE_WINDOW);
        if self.granted.len() == MAX_GRANTED {
            self.granted.remove(0);
        }
        self.granted.push(now);
        node
    }
}
