//! What a node takes in from a peer's beat.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Changes, Fleet, Remote};
use crate::{
    dispatch::{Key, Node, Place, endpoint::Load},
    id::Time,
};

/// Time for which the largest size of the fleet is remembered.
const SIZE_MEMORY: Duration = Duration::from_secs(30);

impl Fleet {
    /// Takes in a beat.
    pub fn receive(&mut self, beat: &beat::Beat, now: Time) -> Changes {
        let node = Node::from(beat.node);
        let Some(at) = self.meet(node, Some(beat.place), now) else {
            return Changes::default();
        };
        let peer = &mut self.peers[at];
        let restarted = peer.incarnation != beat.incarnation;
        if !restarted && beat.sequence <= peer.sequence {
            return Changes::default();
        }
        let was_live = self.is_live(&self.peers[at], now);
        let peer = &mut self.peers[at];
        peer.incarnation = beat.incarnation;
        peer.sequence = beat.sequence;
        peer.heard = Some(now);
        peer.known = now;
        peer.leaving = beat.leaving;
        let mut heard = Changes {
            joined: !was_live && !beat.leaving,
            reply_requested: beat.joining,
            ..Changes::default()
        };
        if restarted {
            heard.removed = std::mem::take(&mut self.peers[at].loads);
        }
        self.hear_loads(at, beat, now, &mut heard);
        self.hear_members(beat, now);
        self.note_size(now);
        heard
    }

    fn hear_loads(&mut self, at: usize, beat: &beat::Beat, now: Time, heard: &mut Changes) {
        let told: Vec<(Key, Load)> = beat.loads.iter().map(load).collect();
        let loads = if beat.place == self.place {
            &mut self.peers[at].loads
        } else {
            &mut self.remote(beat.place, now).loads
        };
        // The others keep what another beat told.
        let begin = loads.partition_point(|(key, _)| *key < beat.first);
        let end = loads.partition_point(|(key, _)| *key <= beat.last);
        heard.added.clone_from(&told);
        heard.removed.extend(loads.splice(begin..end, told));
    }

    /// Returns what another data centre has told, and notes that it tells something now.
    fn remote(&mut self, place: Place, now: Time) -> &mut Remote {
        let at = self.remotes.iter().position(|each| each.place == place);
        let at = at.unwrap_or_else(|| {
            self.remotes.push(Remote {
                place,
                heard: now,
                loads: Vec::new(),
            });
            self.remotes.len() - 1
        });
        self.remotes[at].heard = now;
        &mut self.remotes[at]
    }

    fn hear_members(&mut self, beat: &beat::Beat, now: Time) {
        for member in &beat.members {
            let Some(at) = self.meet(Node::from(member.node), Some(member.place), now) else {
                continue;
            };
            // A data centre vouches for its own nodes; the others are only hearsay.
            if member.place == beat.place && beat.place != self.place {
                self.peers[at].heard = Some(now);
                self.peers[at].known = now;
                self.peers[at].leaving = false;
            }
        }
    }

    fn note_size(&mut self, now: Time) {
        let size = 1 + self.members(now).len();
        remember_most(&mut self.sizes, size, now);
        let here = self.live_nodes(self.place, now).len();
        remember_most(&mut self.here, here, now);
    }
}

/// Keeps what is needed to know the largest size of the last while.
fn remember_most(sizes: &mut Vec<(Time, usize)>, size: usize, now: Time) {
    sizes.retain(|&(at, old)| now.saturating_sub(at) < SIZE_MEMORY && old > size);
    sizes.push((now, size));
}

fn load(told: &beat::Load) -> (Key, Load) {
    let load = Load {
        running: told.running,
        unread: told.unread,
        urgent: told.urgent,
    };
    (told.endpoint, load)
}
