//! What time brings, and what probes and lists find.

use std::time::Duration;

use super::{Dispatcher, Suspect};
use crate::{
    dispatch::{
        Key, Prefix,
        due::{Due, Inquiry, Probe},
        fleet::Changes,
    },
    id::Time,
};

/// Time between two clean-ups of what expires slowly.
const CLEAN_UP: Duration = Duration::from_secs(2);

/// Endpoints whose memory a node that has just started asks for.
const MOST_INQUIRIES: usize = 16;

/// Time after a broken attempt in which a failed probe proves that the endpoint crashed.
const CRASH: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Does what time brings.
    pub fn tick(&mut self, now: Time) -> Due {
        let mut due = Due {
            removed: self.registry.expire(now),
            ..Due::default()
        };
        for endpoint in &due.removed {
            self.remove(endpoint);
        }
        let (removed, silent) = self.fleet.expire(now);
        due.silent = silent;
        let heard = Changes {
            removed,
            ..Changes::default()
        };
        self.follow_loads(&heard);
        if self.fleet.is_due(now) {
            let status = self.status(now);
            due.beats = self.fleet.beats(&status, now);
        }
        due.probes = self.probes(now);
        due.inquiries = self.inquiries();
        due.errands = self.errands(now);
        if now >= self.clean_up_due {
            self.clean_up_due = now + CLEAN_UP;
            self.prefixes.expire(now);
            self.strikes.expire(now);
            self.suspects
                .retain(|suspect| now.saturating_sub(suspect.at) < CRASH);
        }
        due
    }

    /// Memory is listed by endpoints with a model only, which the configuration tells; the list
    /// delays the endpoint, so a node of a large fleet asks only some, near ones first.
    fn inquiries(&mut self) -> Vec<Inquiry> {
        let Some(config) = self.registry.config() else {
            return Vec::new();
        };
        let wanted = std::mem::take(&mut self.inquiries);
        let states = wanted
            .iter()
            .filter_map(|inquiry| Some((inquiry, self.state(inquiry.key)?)));
        let mut due: Vec<(bool, Inquiry)> = states
            .filter(|(_, state)| {
                let service = config.service(&state.info.service);
                service.is_some_and(|service| service.model.is_some())
            })
            .map(|(inquiry, state)| (state.info.data_centre != self.options.place, *inquiry))
            .collect();
        due.sort_by_key(|(far, _)| *far);
        due.truncate(MOST_INQUIRIES);
        due.into_iter().map(|(_, inquiry)| inquiry).collect()
    }

    fn probes(&mut self, now: Time) -> Vec<Probe> {
        let mut probes = Vec::new();
        for state in &mut self.states {
            if state.probe_due().is_some_and(|due| due <= now) {
                state.start_probe();
                probes.push(Probe {
                    key: state.key,
                    address: state.info.address,
                });
            }
        }
        probes
    }

    /// Takes in what an endpoint's memory holds.
    pub fn inventory(&mut self, key: Key, parts: &[Prefix], now: Time) {
        if self.find(key).is_ok() {
            for part in parts {
                self.prefixes.record_use(*part, key, now);
            }
        }
    }

    /// Takes in the result of a probe.
    pub fn probed(&mut self, key: Key, accepted: bool, now: Time) {
        let Some(state) = self.state_mut(key) else {
            return;
        };
        if accepted {
            if state.record_reachable() {
                self.treat_as_cold(key, now);
            }
            self.suspects.retain(|suspect| suspect.key != key);
            return;
        }
        state.record_unreachable(now);
        self.prefixes.remove_endpoint(key);
        let crashed = |suspect: &mut Suspect| suspect.key == key;
        let culprits: Vec<Suspect> = self.suspects.extract_if(.., crashed).collect();
        for suspect in culprits {
            if now.saturating_sub(suspect.at) < CRASH {
                self.strikes.add(suspect.fingerprint, key, now);
                self.fleet.mark_changed();
            }
        }
    }

    /// An endpoint that is back after it could not be reached may have restarted, before its new
    /// entry is known.
    fn treat_as_cold(&mut self, key: Key, now: Time) {
        let Some(config) = self.registry.config().cloned() else {
            return;
        };
        let Some(state) = self.state_mut(key) else {
            return;
        };
        if let Some(service) = config.service(&state.info.service)
            && service.cold_rate > 0.0
        {
            state.mark_cold(now + service.cold);
        }
    }

    /// Notes that an idle connection to an endpoint broke.
    pub fn suspect(&mut self, key: Key, now: Time) {
        if let Some(state) = self.state_mut(key) {
            state.suspect(now);
        }
    }
}
