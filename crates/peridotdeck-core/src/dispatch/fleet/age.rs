//! How old this node's view of the load of other nodes is.

use std::time::Duration;

use super::{Fleet, send::local_interval};
use crate::{dispatch::DataCentre, id::Time};

impl Fleet {
    /// Returns the mean age of the load that the nodes of a data centre have reported.
    ///
    /// It is zero if none of them has reported any. Within the own data centre, a peer that has been
    /// silent for longer than its heartbeats' interval has nothing new. The report of another data
    /// centre is a sum, whose parts were as old as such heartbeats when it was sent.
    #[must_use]
    pub fn view_age(&self, data_centre: DataCentre, now: Time) -> Duration {
        let nodes = self.count_live_peers(data_centre, now);
        let interval = local_interval(nodes);
        if data_centre != self.data_centre {
            let mut remotes = self.remotes.iter();
            let found = remotes.find(|remote| remote.data_centre == data_centre);
            return found.map_or(Duration::ZERO, |remote| {
                now.saturating_sub(remote.received) + interval / 2
            });
        }
        let local = self.peers.iter();
        let ages = local
            .filter(|peer| peer.data_centre == Some(data_centre) && self.is_live(peer, now))
            .filter_map(|peer| peer.received)
            .map(|received| now.saturating_sub(received).min(interval));
        ages.sum::<Duration>() / (nodes as u32).max(1)
    }

    /// Returns the number of live peers in a data centre.
    fn count_live_peers(&self, data_centre: DataCentre, now: Time) -> usize {
        let peers = self.peers.iter();
        peers
            .filter(|peer| peer.data_centre == Some(data_centre) && self.is_live(peer, now))
            .count()
    }
}
