//! Correction of old reports of load, and the choice among endpoints whose scores are close.

use std::time::Duration;

use super::Dispatcher;
use crate::{
    dispatch::{
        Key,
        balance::{Choice, Correction, Draw},
        data_centre,
        endpoint::Load,
        feature::Feature,
        fleet::Changes,
        placement::Estimate,
    },
    id::Time,
};

impl Dispatcher {
    /// Returns whether old reports of load are corrected.
    pub(super) fn balances(&self) -> bool {
        self.options.features.has(Feature::Balance)
    }

    /// Learns from a heartbeat's changes of load, before they are applied.
    pub(super) fn learn_flows(&mut self, changes: &Changes, now: Time) {
        if !self.balances() {
            return;
        }
        let load_in = |loads: &[(Key, Load)], key: Key| {
            let found = loads.binary_search_by_key(&key, |(other, _)| *other);
            found.map_or_else(|_| Load::default(), |index| loads[index].1)
        };
        let removed = changes.removed.iter().map(|(key, _)| *key);
        let only_removed = removed.filter(|key| {
            let found = changes.added.binary_search_by_key(key, |(other, _)| *other);
            found.is_err()
        });
        let added = changes.added.iter().map(|(key, _)| *key);
        for key in added.chain(only_removed) {
            let Ok(index) = self.find(key) else {
                continue;
            };
            let service = &self.states[index].info.service;
            let (before, after) = (load_in(&changes.removed, key), load_in(&changes.added, key));
            let flow = self.flows.flow_mut(service);
            flow.record(before, after, now);
        }
    }

    /// Corrects what others have reported at the endpoints of a service by its age.
    pub(super) fn correct_views(&mut self, service: &str, now: Time) {
        if !self.balances() {
            return;
        }
        let rates = self.flows.flow(service).rates(now);
        let mut total = Load::default();
        let mut count = 0;
        for state in self.endpoints_of(service) {
            total.add(state.peer_load);
            count += 1;
        }
        let mut ages: Vec<(String, Duration)> = Vec::new();
        for state in self
            .states
            .iter_mut()
            .filter(|state| state.info.service == service)
        {
            let place = &state.info.data_centre;
            let known = ages.iter().position(|(name, _)| name == place);
            let index = known.unwrap_or_else(|| {
                let age = self.fleet.view_age(data_centre(place), now);
                ages.push((place.clone(), age));
                ages.len() - 1
            });
            let age = ages[index].1;
            state.correction = Correction::new(state.peer_load, &rates, total, count, age);
        }
    }

    /// Moves the endpoint to the front that is drawn among those with close scores.
    ///
    /// `step` is the score that one more request adds at the best one.
    pub(super) fn draw(&mut self, ranked: &mut [(Key, Estimate)], step: f64) -> Choice {
        let missed = self.missed_requests(ranked);
        let scores = ranked.iter().map(|(_, estimate)| estimate.score);
        let choice = Draw::new(step, missed).choose(scores, &mut self.rng);
        ranked[..=choice.position].rotate_right(1);
        choice
    }

    /// Returns how many requests the view of the best endpoint's data centre probably misses.
    fn missed_requests(&self, ranked: &[(Key, Estimate)]) -> f64 {
        let Some(best) = ranked.first().and_then(|(key, _)| self.state(*key)) else {
            return 0.0;
        };
        let others = ranked.iter().filter_map(|(key, _)| self.state(*key));
        let nearby = others.filter(|state| state.info.data_centre == best.info.data_centre);
        best.correction.unseen * nearby.count() as f64
    }
}
