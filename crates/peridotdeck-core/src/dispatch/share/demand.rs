//! Arrivals of each class at this node, and how long its requests hold a slot.
//!
//! By Little's law their product is the number of slots that a class needs. A node learns the need of
//! the whole fleet from its own one and from the loads that heartbeats carry.

use std::time::Duration;

use super::Decayed;
use crate::id::Time;

/// Time over which arrivals are averaged.
const WINDOW: Duration = Duration::from_secs(2);

/// Weight of the newest sample in the mean holding time.
const NEWEST_WEIGHT: f64 = 0.05;

/// The requests of one service and rank.
#[derive(Clone, Debug)]
struct Flow {
    service: String,
    rank: u8,
    arrivals: Decayed,
    /// Mean seconds for which a request holds a slot, once one has ended.
    hold: Option<f64>,
}

/// Arrivals and holding times at this node, sorted by service and rank.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    flows: Vec<Flow>,
}

impl Demand {
    /// Counts the arrival of a request.
    pub fn arrive(&mut self, service: &str, rank: u8, now: Time) {
        let flow = self.flow_mut(service, rank);
        flow.arrivals.add(1.0, WINDOW, now);
    }

    /// Adds the time for which a request with a complete answer held a slot.
    pub fn record_hold(&mut self, service: &str, rank: u8, hold: Duration) {
        let flow = self.flow_mut(service, rank);
        let sample = hold.as_secs_f64();
        let mean = flow.hold.unwrap_or(sample);
        flow.hold = Some(mean + NEWEST_WEIGHT * (sample - mean));
    }

    /// Returns the slots that this node's requests of more urgent ranks need.
    #[must_use]
    pub fn need_above(&self, service: &str, rank: u8, now: Time) -> f64 {
        let above = self.flows_of(service).filter(|flow| flow.rank < rank);
        above.map(|flow| flow.need(now)).sum()
    }

    /// Returns the slots that this node's requests of a rank need.
    #[must_use]
    pub fn need(&self, service: &str, rank: u8, now: Time) -> f64 {
        let same = self.flows_of(service).filter(|flow| flow.rank == rank);
        same.map(|flow| flow.need(now)).sum()
    }

    /// Returns the mean time for which a request of a rank holds a slot; zero before the first end.
    #[must_use]
    pub fn hold(&self, service: &str, rank: u8) -> Duration {
        let mut same = self.flows_of(service).filter(|flow| flow.rank == rank);
        let hold = same.find_map(|flow| flow.hold);
        Duration::from_secs_f64(hold.unwrap_or_default())
    }

    fn flows_of(&self, service: &str) -> impl Iterator<Item = &Flow> {
        let begin = self
            .flows
            .partition_point(|flow| flow.service.as_str() < service);
        self.flows[begin..]
            .iter()
            .take_while(move |flow| flow.service == service)
    }

    fn flow_mut(&mut self, service: &str, rank: u8) -> &mut Flow {
        let found = self
            .flows
            .binary_search_by(|flow| (flow.service.as_str(), flow.rank).cmp(&(service, rank)));
        let index = found.unwrap_or_else(|index| {
            let flow = Flow {
                service: service.to_owned(),
                rank,
                arrivals: Decayed::default(),
                hold: None,
            };
            self.flows.insert(index, flow);
            index
        });
        &mut self.flows[index]
    }
}

impl Flow {
    fn need(&self, now: Time) -> f64 {
        let rate = self.arrivals.value(WINDOW, now) / WINDOW.as_secs_f64();
        rate * self.hold.unwrap_or_default()
    }
}
