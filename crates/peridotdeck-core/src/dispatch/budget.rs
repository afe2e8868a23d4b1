//! How many repeats a service bears, summed over all nodes.
//!
//! The operators bound the repeats in any window by a part of the requests and a fixed number.
//! Nodes do not ask each other: each takes its part of the fixed number, divided by the most nodes
//! that were alive lately, and repeats only a part of its own callers' requests. The sum over any
//! set of nodes that cannot hear each other is then within the bound.

use std::time::Duration;

use crate::id::Time;

/// Slices that a window is counted in.
const SLICES: usize = 10;

/// Part of the bound that is used: windows of the operators and of this count do not align.
const CAUTION: f64 = 0.8;

/// Bound on repeats of one service over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those, over all nodes.
    pub fixed: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// Requests and repeats of one service at this node.
#[derive(Clone, Debug, Default)]
struct Count {
    service: String,
    slices: [(u64, u32, u32); SLICES],
}

/// Repeats of all services at this node.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Bound,
    counts: Vec<Count>,
}

impl Budget {
    /// Starts with nothing counted.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            counts: Vec::new(),
        }
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&mut self, service: &str, now: Time) {
        self.slice(service, now).1 += 1;
    }

    /// Takes one repeat and returns whether this node's share allowed it.
    pub fn take_retry(&mut self, service: &str, nodes: usize, now: Time) -> bool {
        let (requests, repeats) = self.totals(service, now);
        let fixed = self.bound.fixed / nodes.max(1) as f64;
        let allowed = (self.bound.ratio * f64::from(requests) + fixed) * CAUTION;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.slice(service, now).2 += 1;
        true
    }

    /// Returns requests and repeats within the last window.
    #[must_use]
    pub fn totals(&self, service: &str, now: Time) -> (u32, u32) {
        let newest = self.number(now);
        let Some(count) = self.counts.iter().find(|each| each.service == service) else {
            return (0, 0);
        };
        let recent = count
            .slices
            .iter()
            .filter(|(number, ..)| number + SLICES as u64 > newest);
        recent.fold((0, 0), |(requests, repeats), (_, more, again)| {
            (requests + more, repeats + again)
        })
    }

    fn number(&self, now: Time) -> u64 {
        let slice = self.bound.window / SLICES as u32;
        (now.as_nanos() / slice.as_nanos().max(1)) as u64
    }

    fn slice(&mut self, service: &str, now: Time) -> &mut (u64, u32, u32) {
        let number = self.number(now);
        let known = self.counts.iter().position(|each| each.service == service);
        let at = known.unwrap_or_else(|| {
            self.counts.push(Count {
                service: service.to_owned(),
                ..Count::default()
            });
            self.counts.len() - 1
        });
        let slice = &mut self.counts[at].slices[number as usize % SLICES];
        if slice.0 != number {
            *slice = (number, 0, 0);
        }
        slice
    }
}
