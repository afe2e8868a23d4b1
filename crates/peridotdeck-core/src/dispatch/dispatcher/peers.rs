//! Heartbeats from peers, and the status that this node sends to them.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Dispatcher, NewerState, outcomes::MAX_PAUSE};
use crate::{
    dispatch::{
        Node,
        crashes::{self, Subject},
        data_centre,
        due::SnapshotRequest,
        endpoint::Load,
        fleet::{Changes, Status},
        registry::{Area, Position},
    },
    id::Time,
};

/// Time that a node which watches the publisher waits before it fetches a newer revision from
/// a peer.
const WATCHER_FETCH_DELAY: Duration = Duration::from_millis(150);

/// Shortest time that any node waits before it fetches a newer revision from another data
/// centre, since a peer in its own will soon have the revision too.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(300);

/// Time that a node which does not watch the publisher waits before it fetches a newer
/// revision from a peer.
const FOLLOWER_FETCH_DELAY: Duration = Duration::from_millis(20);

/// Returns a time in milliseconds, at most the largest number of the message.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn strike(report: &crashes::Report) -> beat::Strike {
    beat::Strike {
        is_part: matches!(report.subject, Subject::Part(_)),
        subject: report.subject.id(),
        endpoint: report.endpoint,
        age_ms: millis(report.age),
        idle_ms: millis(report.idle),
    }
}

fn report(strike: &beat::Strike) -> crashes::Report {
    let subject = if strike.is_part {
        Subject::Part(strike.subject)
    } else {
        Subject::Request(strike.subject)
    };
    crashes::Report {
        subject,
        endpoint: strike.endpoint,
        age: Duration::from_millis(strike.age_ms.into()),
        idle: Duration::from_millis(strike.idle_ms.into()),
    }
}

impl Dispatcher {
    /// Handles a peer's heartbeat.
    ///
    /// Returns the replies that the peer requests, if any, and whether the peer is new.
    pub fn receive(&mut self, beat: &beat::Beat, now: Time) -> (Vec<beat::Beat>, bool) {
        let changes = self.fleet.receive(beat, now);
        self.learn_flows(&changes, now);
        self.apply_peer_loads(&changes);
        let is_local = beat.place == data_centre(&self.options.data_centre);
        for holding in &beat.holdings {
            if self.find(holding.endpoint).is_err() {
                continue;
            }
            let (prefix, endpoint) = (holding.prefix, holding.endpoint);
            self.prefixes.record_use(prefix, endpoint, now);
            if !is_local && self.prefixes.mark_announced_if_due(prefix, endpoint, now) {
                self.fleet.announce_prefix(prefix, endpoint, false);
            }
        }
        for health in &beat.health {
            if let Some(state) = self.state_mut(health.endpoint) {
                let (good, bad) = (f64::from(health.good) / 8.0, f64::from(health.bad) / 8.0);
                state.peer_health.set(good, bad, now);
            }
        }
        for proof in &beat.proofs {
            let age = Duration::from_millis(proof.age_ms.into());
            self.crashes
                .receive_proof(proof.subject, now.saturating_sub(age));
        }
        for strike in &beat.strikes {
            self.crashes.receive(report(strike), now);
        }
        for key in &beat.departures {
            self.record_departure(*key, now);
        }
        for pause in &beat.pauses {
            let left = Duration::from_millis(pause.left_ms.into()).min(MAX_PAUSE);
            self.note_pause(Node::from(pause.node), pause.endpoint, now + left);
        }
        self.receive_rates(beat, now);
        self.note_newer_states(beat, now);
        let node = Node::from(beat.node);
        let mut replies = if changes.reply_requested {
            let status = self.status(now);
            self.fleet.reply(node, &status, now)
        } else {
            Vec::new()
        };
        replies.append(&mut self.grants_to(node, now));
        replies.append(&mut self.receive_streams(beat, now));
        (replies, changes.joined)
    }

    /// Applies changes of the load that peers have at endpoints.
    pub(super) fn apply_peer_loads(&mut self, changes: &Changes) {
        for (key, load) in &changes.removed {
            if let Some(state) = self.state_mut(*key) {
                state.peer_load.subtract(*load);
            }
        }
        for (key, load) in &changes.added {
            if let Some(state) = self.state_mut(*key) {
                state.peer_load.add(*load);
            }
        }
    }

    /// Records which areas a peer has in a newer state.
    fn note_newer_states(&mut self, beat: &beat::Beat, now: Time) {
        let node = Node::from(beat.node);
        let is_local = beat.place == data_centre(&self.options.data_centre);
        let reported = [
            (Area::Policy, &beat.policy, beat.version),
            (Area::Roster, &beat.roster, 0),
        ];
        for (area, position, version) in reported {
            let position = Position::new(position.era, position.revision);
            let known = self.registry.progress(area).changed;
            let announced = NewerState {
                request: SnapshotRequest { node, area, known },
                position,
                version,
                is_local,
            };
            if area == Area::Roster {
                self.step.announce(position, now);
            }
            if !self.is_newer(&announced) {
                continue;
            }
            match self
                .newer_states
                .iter_mut()
                .find(|(newer, _)| newer.request.area == area)
            {
                // Traffic within a data centre has a shorter path and is not charged.
                Some((newer, _)) if is_local && !newer.is_local => *newer = announced,
                Some(_) => {}
                None => self.newer_states.push((announced, now)),
            }
        }
    }

    /// Returns whether this node lacks the state that a peer has announced.
    fn is_newer(&self, announced: &NewerState) -> bool {
        let known = self.registry.progress(announced.request.area).changed;
        announced.position > known || announced.version > self.registry.version()
    }

    /// Returns the status that this node sends in its heartbeats.
    pub(super) fn status(&self, now: Time) -> Status {
        /// Number of endpoints whose health is sent: those with the most failures.
        const MAX_HEALTH_ENTRIES: usize = 8;
        /// Number of crashes that are sent.
        const MAX_CRASHES: usize = 8;
        /// Number of proofs that are sent.
        const MAX_PROOFS: usize = 6;
        /// Time after which other crashes are sent, if there are too many for one heartbeat.
        const CRASH_TURN: Duration = Duration::from_millis(400);
        /// Number of departures that are sent.
        const MAX_DEPARTURES: usize = 8;
        let busy = self
            .states
            .iter()
            .filter(|state| state.own_load != Load::default());
        let eighths = |weight: f64| (weight * 8.0).round() as u32;
        let mut health: Vec<beat::Health> = self
            .states
            .iter()
            // What is seen over a path that may be lost says nothing about the endpoint.
            .filter(|state| !state.path.is_lost() && !state.path.is_suspected())
            .map(|state| (state.key, state.health.weights(now)))
            .filter(|(_, (_, bad))| *bad > 0.1)
            .map(|(endpoint, (good, bad))| beat::Health {
                endpoint,
                good: eighths(good),
                bad: eighths(bad),
            })
            .collect();
        health.sort_unstable_by_key(|health| std::cmp::Reverse(health.bad));
        health.truncate(MAX_HEALTH_ENTRIES);
        // Nodes start with different parts of a long list.
        let turn =
            now.as_millis() / CRASH_TURN.as_millis() + u128::from(u32::from(self.options.node));
        let crashes = self.crashes.reports(MAX_CRASHES, turn as usize, now);
        let proofs = self.crashes.proofs(MAX_PROOFS, now).into_iter();
        let (unreached, cut_off) = self.unreached(turn as usize);
        Status {
            unreached,
            cut_off,
            pauses: self.pause_reports(now),
            policy: self.registry.progress(Area::Policy).changed,
            roster: self.registry.progress(Area::Roster).changed,
            version: self.registry.version(),
            departures: self.departures.recent(now).take(MAX_DEPARTURES).collect(),
            rates: self.rate_reports(turn as usize, now),
            mixed: self.versions.is_any_mixed(),
            history: self.known_history(now),
            loads: busy.map(|state| (state.key, state.own_load)).collect(),
            health,
            strikes: crashes.iter().map(strike).collect(),
            proofs: proofs
                .map(|(subject, age)| beat::Proof {
                    subject,
                    age_ms: millis(age),
                })
                .collect(),
        }
    }

    /// Returns the requests for revisions that peers have had for a while and this node lacks.
    ///
    /// This node's own connection to the publisher may be cut.
    pub(super) fn snapshot_requests(&mut self, now: Time) -> Vec<SnapshotRequest> {
        if self.newer_states.is_empty() {
            return Vec::new();
        }
        let is_urgent = self.step.is_read_wanted();
        let base_delay = if self.is_watcher(now) {
            WATCHER_FETCH_DELAY
        } else {
            FOLLOWER_FETCH_DELAY
        };
        let is_due = |(newer, since): &mut (NewerState, Time)| {
            let delay = if newer.is_local {
                base_delay
            } else {
                base_delay.max(REMOTE_FETCH_DELAY)
            };
            is_urgent || now.saturating_sub(*since) >= delay
        };
        let due: Vec<(NewerState, Time)> = self.newer_states.extract_if(.., is_due).collect();
        let newer = due.into_iter().map(|(newer, _)| newer);
        newer
            .filter(|newer| self.is_newer(newer))
            .map(|newer| newer.request)
            .collect()
    }
}
