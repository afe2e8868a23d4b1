//! Rounds of gossip: to whom a node sends in each, and which heartbeats.

use std::time::Duration;

use peridotdeck_wire::Beat;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use super::{Peer, View};
use crate::id;

/// Time without a message after which a live peer of the same data centre is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Peers of the same data centre that a node sends its digest to in each round of gossip.
const GOSSIP_FANOUT: usize = 1;

/// Most heartbeats of peers in the sender's data centre in one message; the newest are sent.
const MAX_LOCAL_HEARTBEATS: usize = 48;

/// Most heartbeats of peers in other data centres in one message; the newest are sent.
const MAX_REMOTE_HEARTBEATS: usize = 8;

impl View {
    /// Counts one heartbeat and returns the peers to gossip with and the peer to probe.
    ///
    /// Gossip goes to random peers. Dead ones are included, so that a repaired connection is
    /// noticed. Gossip alone leaves a long tail of late heartbeats, so the live peer that has been
    /// silent longest is probed and answers with its own. On average one node of a data centre
    /// sends to one node of each other data centre in a round.
    pub fn start_gossip_round(
        &mut self,
        now: id::Time,
        rng: &mut SmallRng,
    ) -> (Vec<id::Node>, Option<id::Node>) {
        self.heartbeat_count += 1;
        let local: Vec<id::Node> = self.others_in(&self.data_centre).collect();
        let mut targets: Vec<id::Node> =
            local.choose_multiple(rng, GOSSIP_FANOUT).copied().collect();
        let live_local = self.live_nodes(&self.data_centre).len().max(1);
        for data_centre in self.other_data_centres() {
            if rng.random_ratio(1, live_local as u32) {
                let remote: Vec<id::Node> = self.others_in(&data_centre).collect();
                targets.extend(remote.choose(rng));
            }
        }
        let probed = self
            .longest_silent(now)
            .filter(|node| !targets.contains(node));
        (targets, probed)
    }

    /// Returns the live peer of this data centre that has been silent longest, if it is overdue.
    fn longest_silent(&self, now: id::Time) -> Option<id::Node> {
        let is_overdue = |peer: &&Peer| now.saturating_sub(peer.last_received) > PROBE_AFTER;
        let is_local = |peer: &&Peer| self.live_nodes(&self.data_centre).contains(&peer.beat.node);
        let overdue = self.peers.iter().filter(is_overdue).filter(is_local);
        overdue
            .min_by_key(|peer| peer.last_received)
            .map(|peer| peer.beat.node)
    }

    fn other_data_centres(&self) -> Vec<String> {
        let mut data_centres: Vec<String> = self
            .others()
            .filter(|member| member.place != self.data_centre)
            .map(|member| member.place.clone())
            .collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres
    }

    /// Returns the heartbeats to send to peers, this node's own first.
    #[must_use]
    pub fn heartbeats(&self) -> Vec<Beat> {
        let mut beats = vec![Beat {
            node: self.local_node,
            incarnation: self.incarnation,
            counter: self.heartbeat_count,
            leaving: self.leaving,
        }];
        let mut newest: Vec<&Peer> = self.peers.iter().collect();
        newest.sort_by_key(|peer| std::cmp::Reverse(peer.last_received));
        let is_local = |peer: &Peer| {
            self.member(peer.beat.node)
                .is_some_and(|member| member.place == self.data_centre)
        };
        let local = newest
            .iter()
            .filter(|peer| is_local(peer))
            .take(MAX_LOCAL_HEARTBEATS);
        let remote = newest
            .iter()
            .filter(|peer| !is_local(peer))
            .take(MAX_REMOTE_HEARTBEATS);
        beats.extend(local.chain(remote).map(|peer| peer.beat.clone()));
        beats
    }
}
