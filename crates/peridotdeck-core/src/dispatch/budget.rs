//! Retry budget of each service, bounded over all nodes.
//!
//! The operators bound the retries in any time window by a ratio of the requests plus a fixed
//! number. A hedged attempt counts as a retry. Nodes do not coordinate: each applies the ratio to
//! its own callers' requests and takes an equal share of the fixed number, divided by the largest
//! number of nodes that were recently alive. The sum therefore stays within the bound even if some
//! nodes cannot reach each other.

use std::time::Duration;

use crate::id::Time;

/// Number of slices in which a window is counted.
const WINDOW_SLICES: usize = 10;

/// Fraction of the bound that is spent, since the operators' windows and these do not align.
const SPENT_FRACTION: f64 = 0.8;

/// Bound on the retries of one service over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, over all nodes.
    pub fixed: f64,
    /// Time over which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries of one service at this node.
///
/// A slice holds its number since the start of the clock, its requests and its retries.
#[derive(Clone, Debug, Default)]
struct Count {
    service: String,
    slices: [(u64, u32, u32); WINDOW_SLICES],
}

/// Retry budget of all services at this node.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Bound,
    counts: Vec<Count>,
}

impl Budget {
    /// Creates a budget without any counted requests.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            counts: Vec::new(),
        }
    }

    /// Counts a caller's request for a service, which adds to the service's budget.
    pub fn count_request(&mut self, service: &str, now: Time) {
        self.slice_mut(service, now).1 += 1;
    }

    /// Counts one retry if this node's share allows it, and returns whether it does.
    ///
    /// `nodes` is the number of nodes among which the fixed number is divided.
    pub fn take_retry(&mut self, service: &str, nodes: usize, now: Time) -> bool {
        let (requests, retries) = self.totals(service, now);
        let fixed = self.bound.fixed / nodes.max(1) as f64;
        let allowed = (self.bound.ratio * f64::from(requests) + fixed) * SPENT_FRACTION;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.slice_mut(service, now).2 += 1;
        true
    }

    /// Returns the numbers of requests and retries of a service in the last window.
    #[must_use]
    pub fn totals(&self, service: &str, now: Time) -> (u32, u32) {
        let newest = self.slice_number(now);
        let Some(count) = self.counts.iter().find(|count| count.service == service) else {
            return (0, 0);
        };
        let recent = count
            .slices
            .iter()
            .filter(|(number, ..)| number + WINDOW_SLICES as u64 > newest);
        recent.fold(
            (0, 0),
            |(requests, retries), (_, more_requests, more_retries)| {
                (requests + more_requests, retries + more_retries)
            },
        )
    }

    fn slice_number(&self, now: Time) -> u64 {
        let slice = self.bound.window / WINDOW_SLICES as u32;
        (now.as_nanos() / slice.as_nanos().max(1)) as u64
    }

    fn slice_mut(&mut self, service: &str, now: Time) -> &mut (u64, u32, u32) {
        let number = self.slice_number(now);
        let known = self
            .counts
            .iter()
            .position(|count| count.service == service);
        let index = known.unwrap_or_else(|| {
            self.counts.push(Count {
                service: service.to_owned(),
                ..Count::default()
            });
            self.counts.len() - 1
        });
        let slice = &mut self.counts[index].slices[number as usize % WINDOW_SLICES];
        if slice.0 != number {
            *slice = (number, 0, 0);
        }
        slice
    }
}
