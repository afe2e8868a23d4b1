//! Handling of heartbeats that a node receives.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Changes, Fleet, Remote};
use crate::{
    dispatch::{DataCentre, Key, Node, endpoint::Load},
    id::Time,
};

/// Time for which an observed size of the fleet counts for the recent maximum.
const SIZE_RETENTION: Duration = Duration::from_secs(30);

impl Fleet {
    /// Applies a peer's heartbeat and returns the changes that it leads to.
    ///
    /// A heartbeat that is older than the last one of the same incarnation is ignored, and so is one
    /// of the incarnation before it, which was late on its way.
    pub fn receive(&mut self, beat: &beat::Beat, now: Time) -> Changes {
        let node = Node::from(beat.node);
        let Some(index) = self.find_or_add_peer(node, Some(beat.place), now) else {
            return Changes::default();
        };
        let peer = &mut self.peers[index];
        let restarted = peer.incarnation != beat.incarnation;
        let is_former = restarted && beat.incarnation == peer.former_incarnation;
        if is_former || (!restarted && beat.sequence <= peer.sequence) {
            return Changes::default();
        }
        let was_live = self.is_live(&self.peers[index], now);
        let peer = &mut self.peers[index];
        if restarted {
            peer.former_incarnation = peer.incarnation;
        }
        peer.incarnation = beat.incarnation;
        peer.sequence = beat.sequence;
        peer.received = Some(now);
        peer.last_known = now;
        peer.leaving = beat.leaving;
        // The first heartbeat of a round bears the whole report.
        if beat.first == 0 {
            peer.unreached.clone_from(&beat.unreached);
            peer.cut_off = beat.cut_off;
            peer.reach_reported = now;
        }
        let mut changes = Changes {
            joined: !was_live && !beat.leaving,
            reply_requested: beat.joining,
            ..Changes::default()
        };
        if restarted {
            changes.removed = std::mem::take(&mut self.peers[index].loads);
        }
        self.receive_loads(index, beat, now, &mut changes);
        self.receive_members(beat, now);
        changes
    }

    fn receive_loads(&mut self, index: usize, beat: &beat::Beat, now: Time, changes: &mut Changes) {
        if beat.first > beat.last {
            // The heartbeat only lists members.
            return;
        }
        let reported = loads_in_range(beat);
        let loads = if beat.place == self.data_centre {
            &mut self.peers[index].loads
        } else {
            &mut self.remote_mut(beat.place, now).loads
        };
        // Keys outside the range are reported by the sender's other heartbeats.
        let begin = loads.partition_point(|(key, _)| *key < beat.first);
        let end = loads.partition_point(|(key, _)| *key <= beat.last);
        let known: Vec<(Key, Load)> = loads.splice(begin..end, reported.iter().copied()).collect();
        changes.added.extend(without(&reported, &known));
        changes.removed.extend(without(&known, &reported));
    }

    /// Returns the reported load of another data centre and marks it as received now.
    fn remote_mut(&mut self, data_centre: DataCentre, now: Time) -> &mut Remote {
        let index = self
            .remotes
            .iter()
            .position(|remote| remote.data_centre == data_centre);
        let index = index.unwrap_or_else(|| {
            self.remotes.push(Remote {
                data_centre,
                received: now,
                loads: Vec::new(),
            });
            self.remotes.len() - 1
        });
        self.remotes[index].received = now;
        &mut self.remotes[index]
    }

    fn receive_members(&mut self, beat: &beat::Beat, now: Time) {
        for member in &beat.members {
            let Some(index) =
                self.find_or_add_peer(Node::from(member.node), Some(member.place), now)
            else {
                continue;
            };
            // Only the sender's own data centre counts: it knows others from reports alone.
            if member.place == beat.place && beat.place != self.data_centre {
                self.peers[index].received = Some(now);
                self.peers[index].last_known = now;
                self.peers[index].leaving = false;
            }
        }
    }

    /// Records the current size of the fleet, and of this data centre, for the recent maximum.
    pub(super) fn record_size(&mut self, here: usize, now: Time) {
        let live = self.peers.iter().filter(|peer| self.is_live(peer, now));
        let size = 1 + live.count();
        record_max(&mut self.sizes, size, now);
        record_max(&mut self.local_sizes, here, now);
    }
}

/// Adds an observed size and drops those that can no longer be the recent maximum.
fn record_max(sizes: &mut Vec<(Time, usize)>, size: usize, now: Time) {
    sizes.retain(|&(seen, old)| now.saturating_sub(seen) < SIZE_RETENTION && old > size);
    sizes.push((now, size));
}

/// Returns the entries of `loads` that `others` does not contain; both are sorted by key.
fn without<'a>(
    loads: &'a [(Key, Load)],
    others: &'a [(Key, Load)],
) -> impl Iterator<Item = (Key, Load)> + 'a {
    let is_in_both = |(key, load): &&(Key, Load)| {
        let found = others.binary_search_by_key(key, |(other, _)| *other);
        found.is_ok_and(|index| others[index].1 == *load)
    };
    loads
        .iter()
        .filter(move |entry| !is_in_both(entry))
        .copied()
}

/// Returns the loads in a heartbeat's range, sorted by key.
fn loads_in_range(beat: &beat::Beat) -> Vec<(Key, Load)> {
    let range = beat.first..=beat.last;
    let loads = beat.loads.iter().map(load);
    let mut loads: Vec<(Key, Load)> = loads.filter(|(key, _)| range.contains(key)).collect();
    loads.sort_unstable_by_key(|(key, _)| *key);
    loads.dedup_by_key(|(key, _)| *key);
    loads
}

fn load(reported: &beat::Load) -> (Key, Load) {
    let load = Load {
        running: reported.running,
        unread: reported.unread,
        urgent: reported.urgent,
    };
    (reported.endpoint, load)
}
