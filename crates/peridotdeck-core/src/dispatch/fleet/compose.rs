//! Composition of the heartbeats that a node sends.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Fleet, Status};
use crate::{
    dispatch::{Key, registry::Position},
    id::Time,
};

/// Time between two lists of members to peers of the same data centre, which know each other.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(2);

/// Members of each other data centre that a list contains, through which its nodes are found.
const CONTACTS: usize = 2;

/// Most cached prefixes in one heartbeat, so that it fits a datagram.
const MAX_HOLDINGS: usize = 24;

/// Most loads in one heartbeat, so that it fits a datagram; more need further heartbeats.
const MAX_LOADS: usize = 36;

/// Most members in one heartbeat, so that it fits a datagram; more need further heartbeats.
const MAX_MEMBERS: usize = 20;

/// What a heartbeat contains, depending on its receivers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Form {
    /// Whether the receivers are in the same data centre, and get the sender's own loads.
    pub(super) local: bool,
    /// Whether a reply is requested.
    pub(super) joining: bool,
    /// Whether all members of the data centre are listed.
    pub(super) complete: bool,
}

impl Fleet {
    /// Returns the heartbeats that report the state of this node.
    ///
    /// The first one is complete, except that loads beyond [`MAX_LOADS`] and members beyond
    /// [`MAX_MEMBERS`] are in further ones. Each has its own sequence number, by which peers
    /// recognise outdated heartbeats.
    pub(super) fn compose(&mut self, status: &Status, form: Form, now: Time) -> Vec<beat::Beat> {
        let loads = self.reported_loads(status, form.local);
        let members = self.listed_members(form.complete, now);
        let loads: Vec<&[beat::Load]> = loads.chunks(MAX_LOADS).collect();
        let members: Vec<&[beat::Member]> = members.chunks(MAX_MEMBERS).collect();
        let count = loads.len().max(members.len()).max(1);
        let mut beats: Vec<beat::Beat> = (0..count)
            .map(|index| beat::Beat {
                loads: loads.get(index).copied().unwrap_or_default().to_vec(),
                members: members.get(index).copied().unwrap_or_default().to_vec(),
                ..self.empty_beat(status, form.joining)
            })
            .collect();
        assign_ranges(&mut beats, loads.len().max(1));
        for beat in &mut beats {
            self.sequence += 1;
            beat.sequence = self.sequence;
        }
        let holdings = if form.joining {
            Vec::new()
        } else {
            self.take_holdings(form.local)
        };
        let first = &mut beats[0];
        first.holdings = holdings;
        first.health.clone_from(&status.health);
        first.strikes.clone_from(&status.strikes);
        first.proofs.clone_from(&status.proofs);
        first.departures.clone_from(&status.departures);
        first.rates.clone_from(&status.rates);
        first.unreached.clone_from(&status.unreached);
        first.cut_off = status.cut_off;
        first.pauses.clone_from(&status.pauses);
        beats
    }

    /// Returns a heartbeat for a single peer, which reports the rates of endpoints but no load.
    pub fn message(&mut self, status: &Status) -> beat::Beat {
        self.sequence += 1;
        beat::Beat {
            sequence: self.sequence,
            first: 1,
            last: 0,
            rates: status.rates.clone(),
            ..self.empty_beat(status, false)
        }
    }

    /// Returns a heartbeat with the sender and the revisions in force that reports no load at all.
    fn empty_beat(&self, status: &Status, joining: bool) -> beat::Beat {
        beat::Beat {
            node: self.me.into(),
            incarnation: self.incarnation,
            sequence: 0,
            place: self.data_centre,
            leaving: self.leaving,
            joining,
            policy: position(status.policy),
            roster: position(status.roster),
            version: status.version,
            members: Vec::new(),
            first: 0,
            last: Key::MAX,
            loads: Vec::new(),
            holdings: Vec::new(),
            health: Vec::new(),
            strikes: Vec::new(),
            proofs: Vec::new(),
            departures: Vec::new(),
            rates: Vec::new(),
            demands: Vec::new(),
            grants: Vec::new(),
            mixed: status.mixed,
            history_ms: u32::try_from(status.history.as_millis()).unwrap_or(u32::MAX),
            streams: Vec::new(),
            lookups: Vec::new(),
            unreached: Vec::new(),
            cut_off: false,
            pauses: Vec::new(),
        }
    }

    /// Returns the announcements that a heartbeat carries, the oldest first.
    ///
    /// Each is counted down, and dropped when all its heartbeats have carried it.
    fn take_holdings(&mut self, local: bool) -> Vec<beat::Holding> {
        let mut holdings = Vec::new();
        for announcement in &mut self.announcements {
            let left = if local {
                &mut announcement.local_left
            } else {
                &mut announcement.remote_left
            };
            if *left > 0 && holdings.len() < MAX_HOLDINGS {
                *left -= 1;
                holdings.push(beat::Holding {
                    endpoint: announcement.endpoint,
                    prefix: announcement.prefix,
                });
            }
        }
        self.announcements
            .retain(|announcement| announcement.local_left + announcement.remote_left > 0);
        holdings
    }

    /// Returns the live nodes that a heartbeat lists.
    ///
    /// A complete list contains those of this data centre, and a few [`CONTACTS`] in each other.
    /// Peers of the same data centre know each other after the first heartbeats, so a part of the
    /// list is sent to them now and then.
    fn listed_members(&mut self, complete: bool, now: Time) -> Vec<beat::Member> {
        if !complete && now < self.members_due {
            return Vec::new();
        }
        let mut members = self.members(now);
        if !self.leaving {
            members.push((self.me, self.data_centre));
        }
        members.sort_by_key(|&(node, data_centre)| (data_centre, node));
        let groups = members.chunk_by(|(_, one), (_, other)| one == other);
        let limited = groups.flat_map(|group| {
            let is_here = group[0].1 == self.data_centre;
            let count = if is_here { group.len() } else { CONTACTS };
            group.iter().take(count)
        });
        let mut listed: Vec<beat::Member> = limited
            .map(|&(node, data_centre)| beat::Member {
                node: node.into(),
                place: data_centre,
            })
            .collect();
        if !complete && !listed.is_empty() {
            self.members_due = now + MEMBERS_INTERVAL;
            let start = self.member_lists * MAX_MEMBERS % listed.len();
            listed.rotate_left(start);
            listed.truncate(MAX_MEMBERS);
            self.member_lists += 1;
        }
        listed
    }

    /// Returns this node's loads, or for other data centres the sum of the whole data centre.
    fn reported_loads(&self, status: &Status, local: bool) -> Vec<beat::Load> {
        let mut loads = status.loads.clone();
        if !local {
            let peers = self
                .peers
                .iter()
                .filter(|peer| peer.data_centre == Some(self.data_centre));
            loads.extend(peers.flat_map(|peer| peer.loads.iter().copied()));
            loads.sort_unstable_by_key(|(key, _)| *key);
            loads.dedup_by(|(other, more), (key, load)| {
                let same = other == key;
                if same {
                    load.add(*more);
                }
                same
            });
        }
        loads
            .iter()
            .map(|(key, load)| beat::Load {
                endpoint: *key,
                running: load.running,
                unread: load.unread,
                urgent: load.urgent,
            })
            .collect()
    }
}

/// Sets the ranges of endpoint keys whose loads the heartbeats report.
///
/// The ranges of the first `reporting` heartbeats together cover every key. The others have empty
/// ranges.
fn assign_ranges(beats: &mut [beat::Beat], reporting: usize) {
    let mut next: Option<Key> = Some(0);
    for (index, beat) in beats.iter_mut().enumerate() {
        let Some(first) = next.filter(|_| index < reporting) else {
            (beat.first, beat.last) = (1, 0);
            continue;
        };
        let last = match beat.loads.last() {
            Some(load) if index + 1 < reporting => load.endpoint,
            _ => Key::MAX,
        };
        (beat.first, beat.last) = (first, last);
        next = last.checked_add(1);
    }
}

fn position(position: Position) -> beat::Position {
    beat::Position {
        era: position.era,
        revision: position.revision,
    }
}
