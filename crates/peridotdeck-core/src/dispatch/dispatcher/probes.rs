//! Probes of this node's own paths to endpoints: connections that only test them.

use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use crate::{dispatch::due::Probe, id::Time};

/// Fewest endpoints of which all must be lost before the paths, not the endpoints, are blamed.
const MIN_CUT_ENDPOINTS: usize = 4;

/// Most own paths that are probed at once while peers' paths are used instead.
const DETOUR_PROBES: usize = 2;

/// Time between two rounds of such probes.
const DETOUR_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time after a path was regained in which all other lost ones are probed.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Longest random delay of such probes.
const RETURN_SPREAD_MS: u64 = 200;

/// Shortest time between two checks of all paths.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Most paths that one check probes.
const MAX_CHECKED: usize = 32;

/// Schedule of the probes that concern all paths.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Schedule {
    detour_probes_due: Time,
    returning_until: Time,
    check_due: Time,
    /// Time at which this node last reached no endpoint at all.
    cut_off_at: Option<Time>,
}

impl Dispatcher {
    /// Starts the probes of own paths that are due, and returns them.
    ///
    /// While peers' paths are used, few own ones are probed, until one of them works again.
    pub(super) fn probes(&mut self, now: Time) -> Vec<Probe> {
        if self.is_cut_off() {
            self.schedule.cut_off_at = Some(now);
        }
        let returning = now < self.schedule.returning_until;
        let mut allowed = match now >= self.schedule.detour_probes_due {
            _ if returning => usize::MAX,
            true => DETOUR_PROBES,
            false => 0,
        };
        let mut probes = Vec::new();
        let mut order: Vec<(Time, usize)> = self
            .states
            .iter()
            .enumerate()
            .filter_map(|(index, state)| Some((state.path.probe_due()?, index)))
            .filter(|(due, _)| *due <= now)
            .collect();
        order.sort_unstable();
        for (_, index) in order {
            let state = &mut self.states[index];
            if state.path.detour().is_some() && !state.path.is_returning() {
                if allowed == 0 {
                    continue;
                }
                allowed -= 1;
                self.schedule.detour_probes_due = now + DETOUR_PROBE_INTERVAL;
            }
            state.path.start_probe();
            probes.push(Probe {
                key: state.key,
                address: state.info.address,
            });
        }
        probes
    }

    /// Makes probes of all lost paths due, because one of them works again.
    pub(super) fn hasten_return(&mut self, now: Time) {
        self.schedule.returning_until = now + RETURN_TIME;
        for state in &mut self.states {
            if state.path.is_lost() {
                let delay = self.rng.random_range(0..RETURN_SPREAD_MS);
                state.path.hasten(now + Duration::from_millis(delay));
            }
        }
    }

    /// Makes probes of all other paths due, because one was lost that a peer still has.
    ///
    /// An open connection that still answers is no proof that the next one opens.
    pub(super) fn check_paths(&mut self, now: Time) {
        if now < self.schedule.check_due {
            return;
        }
        self.schedule.check_due = now + CHECK_INTERVAL;
        let sound = self.states.iter_mut().filter(|state| !state.path.is_lost());
        for state in sound.take(MAX_CHECKED) {
            state.path.suspect(now);
        }
    }

    /// Returns whether this node's paths to all endpoints are lost, of every service and data centre.
    ///
    /// Then the paths are to blame, and no endpoint.
    pub(super) fn is_cut_off(&self) -> bool {
        let (all, lost, _) = self.path_counts();
        all >= MIN_CUT_ENDPOINTS && lost == all
    }

    /// Returns whether this node was cut off until lately, so that endpoints may return together.
    pub(super) fn was_cut_off(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.saturating_sub(at) < RETURN_TIME;
        self.schedule.cut_off_at.is_some_and(is_recent)
    }
}
