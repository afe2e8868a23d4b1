//! What peers tell, and what they are told.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Ahead, Dispatcher};
use crate::{
    dispatch::{
        Node,
        due::Errand,
        endpoint::Load,
        fleet::{Changes, Status},
        place,
        registry::Area,
    },
    id::Time,
};

/// Time for which a peer may be ahead before a node that watches the publisher itself asks it.
const BEHIND: Duration = Duration::from_millis(150);

/// The same for a peer in another data centre: one in the own will soon know as much.
const FAR: Duration = Duration::from_millis(300);

/// The same for a node that learns from peers.
const FOLLOW: Duration = Duration::from_millis(20);

impl Dispatcher {
    /// Takes in a peer's beat and returns the answer that it wants, if any, and whether it is new.
    pub fn hear(&mut self, beat: &beat::Beat, now: Time) -> (Option<beat::Beat>, bool) {
        let heard = self.fleet.receive(beat, now);
        self.follow_loads(&heard);
        let near = beat.place == place(&self.options.place);
        for holding in &beat.holdings {
            if self.find(holding.endpoint).is_err() {
                continue;
            }
            let (prefix, endpoint) = (holding.prefix, holding.endpoint);
            self.prefixes.record_use(prefix, endpoint, now);
            if !near && self.prefixes.mark_announced_if_due(prefix, endpoint, now) {
                self.fleet.announce_prefix(prefix, endpoint, false, now);
            }
        }
        for health in &beat.health {
            if let Some(state) = self.state_mut(health.endpoint) {
                let (good, bad) = (f64::from(health.good) / 8.0, f64::from(health.bad) / 8.0);
                state.peer_health.set(good, bad, now);
            }
        }
        for strike in &beat.strikes {
            self.strikes.add(strike.fingerprint, strike.endpoint, now);
        }
        self.note_ahead(beat, now);
        let node = Node::from(beat.node);
        let answer = heard.reply_requested.then(|| {
            let status = self.status(now);
            self.fleet.reply(node, &status, now)
        });
        (answer, heard.joined)
    }

    pub(super) fn follow_loads(&mut self, heard: &Changes) {
        for (key, load) in &heard.removed {
            if let Some(state) = self.state_mut(*key) {
                state.peer_load.subtract(*load);
            }
        }
        for (key, load) in &heard.added {
            if let Some(state) = self.state_mut(*key) {
                state.peer_load.add(*load);
            }
        }
    }

    fn note_ahead(&mut self, beat: &beat::Beat, now: Time) {
        let node = Node::from(beat.node);
        let near = beat.place == place(&self.options.place);
        for (area, revision) in [(Area::Policy, beat.policy), (Area::Roster, beat.roster)] {
            let known = self.registry.revision(area).changed;
            if revision == known {
                self.registry.confirm(area, now);
            }
            if revision <= known {
                continue;
            }
            let errand = Errand { node, area, known };
            let ahead = Ahead {
                errand,
                revision,
                near,
            };
            match self
                .ahead
                .iter_mut()
                .find(|(each, _)| each.errand.area == area)
            {
                // The way to a node of the own data centre is shorter, and not paid for.
                Some((each, _)) if near && !each.near => *each = ahead,
                Some(_) => {}
                None => self.ahead.push((ahead, now)),
            }
        }
    }

    pub(super) fn status(&self, now: Time) -> Status {
        /// Endpoints whose health is told: those that failed most.
        const MOST_HEALTH: usize = 8;
        /// Strikes that are told.
        const MOST_STRIKES: usize = 8;
        let busy = self
            .states
            .iter()
            .filter(|state| state.own_load != Load::default());
        let eighths = |weight: f64| (weight * 8.0).round() as u32;
        let mut health: Vec<beat::Health> = self
            .states
            .iter()
            .map(|state| (state.key, state.health.weights(now)))
            .filter(|(_, (_, bad))| *bad > 0.1)
            .map(|(endpoint, (good, bad))| beat::Health {
                endpoint,
                good: eighths(good),
                bad: eighths(bad),
            })
            .collect();
        health.sort_unstable_by_key(|each| std::cmp::Reverse(each.bad));
        health.truncate(MOST_HEALTH);
        let strikes = self.strikes.news(now).take(MOST_STRIKES);
        Status {
            policy: self.registry.revision(Area::Policy).changed,
            roster: self.registry.revision(Area::Roster).changed,
            loads: busy.map(|state| (state.key, state.own_load)).collect(),
            health,
            strikes: strikes
                .map(|strike| beat::Strike {
                    endpoint: strike.endpoint,
                    fingerprint: strike.fingerprint,
                })
                .collect(),
        }
    }

    /// What peers know better for a while: this node's own way to the publisher may be cut.
    pub(super) fn errands(&mut self, now: Time) -> Vec<Errand> {
        let own = if self.is_watcher(now) { BEHIND } else { FOLLOW };
        let late = |(ahead, since): &mut (Ahead, Time)| {
            let patience = if ahead.near { own } else { own.max(FAR) };
            now.saturating_sub(*since) >= patience
        };
        let due: Vec<(Ahead, Time)> = self.ahead.extract_if(.., late).collect();
        let errands = due.into_iter().map(|(ahead, _)| ahead);
        errands
            .filter(|ahead| ahead.revision > self.registry.revision(ahead.errand.area).changed)
            .map(|ahead| ahead.errand)
            .collect()
    }
}
