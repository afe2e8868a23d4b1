//! Lost paths to endpoints, and the peers whose paths are used instead.
//!
//! See [`crate::dispatch::path`] for one endpoint's paths.

use std::net::SocketAddrV4;

use peridotdeck_wire::beat;

use super::{Dispatcher, peers::millis};
use crate::{
    dispatch::{
        DataCentre, Key, Node, data_centre,
        detour::{Change, Denial, News, Pause, Search},
        endpoint::{Health, State},
        flight::Flight,
        path::Return,
        region,
    },
    id::Time,
    rendezvous,
};

/// Peers that one search asks.
const SEARCHED_PEERS: usize = 3;

/// Peers of the best group that one search asks, so that a data centre which lost its paths as a
/// whole does not use up the search.
const SEARCHED_NEAREST: usize = 2;

/// Most lost endpoints that a heartbeat lists; a node with more may count as cut off.
const MAX_UNREACHED: usize = 8;

/// Most pauses in a heartbeat.
const MAX_PAUSES: usize = 4;

impl Dispatcher {
    /// Returns the number of endpoints, of lost own paths, and of those that a peer replaces.
    #[must_use]
    pub fn path_counts(&self) -> (usize, usize, usize) {
        let lost = self.states.iter().filter(|state| state.path.is_lost());
        let (mut count, mut detours) = (0, 0);
        for state in lost {
            count += 1;
            detours += usize::from(state.path.detour().is_some());
        }
        (self.states.len(), count, detours)
    }

    /// Records that no connection to an endpoint could be opened over this node's own path.
    pub fn record_unreachable(&mut self, key: Key, now: Time) {
        let Some(state) = self.state_mut(key) else {
            return;
        };
        if state.path.record_failure(now) {
            self.note_path(key, Change::Lost);
            self.fleet.mark_changed();
        }
    }

    /// Records the result of a probe of the own path.
    ///
    /// Returns whether this node uses its own path again.
    pub fn record_probe(&mut self, key: Key, accepted: bool, now: Time) -> bool {
        let Some(state) = self.state_mut(key) else {
            return false;
        };
        if !accepted {
            self.record_unreachable(key, now);
            self.give_up_unless_searched(key, now);
            return false;
        }
        let change = state.path.record_success(now);
        let is_lost = state.path.is_lost();
        if change == Return::Unseen && !self.was_cut_off(now) {
            self.treat_as_cold(key, now);
        }
        if !is_lost {
            self.drop_suspicions(key);
        }
        if change == Return::None {
            return false;
        }
        self.note_path(key, Change::Regained);
        self.fleet.mark_changed();
        self.hasten_return(now);
        true
    }

    /// Records the result of a search: the peer that has reached the endpoint, if any has.
    ///
    /// Returns whether requests are sent through it from now on.
    pub fn record_search(&mut self, key: Key, peer: Option<Node>, now: Time) -> bool {
        let Some(state) = self.state_mut(key) else {
            return false;
        };
        if !state.path.is_lost() {
            state.path.record_search(peer, now);
            return false;
        }
        let before = state.path.detour();
        let change = state.path.record_search(peer, now);
        let Some(peer) = peer else {
            self.note_down(key, now);
            return false;
        };
        if before == Some(peer) {
            self.drop_suspicions(key);
            return false;
        }
        // What this node has seen of the endpoint since the cut says nothing about its health.
        state.health = Health::default();
        if change == Return::Unseen && !self.was_cut_off(now) {
            self.treat_as_cold(key, now);
        }
        self.drop_suspicions(key);
        self.note_path(key, Change::Detour(peer));
        self.check_paths(now);
        true
    }

    /// Treats an endpoint as down that this node cannot reach, if there is no peer to ask.
    fn give_up_unless_searched(&mut self, key: Key, now: Time) {
        let is_searched = self.state(key).is_some_and(|state| {
            state.path.is_usable() || !self.detour_peers(state, now).is_empty()
        });
        if !is_searched {
            self.note_down(key, now);
        }
    }

    /// Treats an endpoint as down that neither this node nor any asked peer reaches.
    ///
    /// Where this node reaches no endpoint at all, its paths are lost, and no prompt is to blame.
    fn note_down(&mut self, key: Key, now: Time) {
        let Some(state) = self.state(key) else {
            return;
        };
        if state.path.searches() <= 1 {
            self.note_path(key, Change::Down);
        }
        self.prefixes.remove_endpoint(key);
        if self.is_cut_off() {
            self.drop_suspicions(key);
        } else {
            self.attribute_crash(key, now);
        }
    }

    /// Returns the searches for peers that are due.
    pub(super) fn searches(&mut self, now: Time) -> Vec<Search> {
        let is_due = |state: &&State| state.path.search_due().is_some_and(|due| due <= now);
        let due: Vec<Search> = self
            .states
            .iter()
            .filter(is_due)
            .map(|state| Search {
                key: state.key,
                peers: self.detour_peers(state, now),
            })
            .collect();
        let mut searches = Vec::new();
        for search in due {
            if search.peers.is_empty() {
                self.record_search(search.key, None, now);
                continue;
            }
            if let Some(state) = self.state_mut(search.key) {
                state.path.start_search();
            }
            searches.push(search);
        }
        searches
    }

    /// Returns the peers to ask for a connection to an endpoint, the best first.
    ///
    /// Nodes of the endpoint's own data centre and region come first, since they may see any request
    /// that the endpoint may run. Nodes that lost their paths choose different peers.
    fn detour_peers(&self, state: &State, now: Time) -> Vec<Node> {
        let seed = u64::from(state.key)
            ^ (u64::from(u32::from(self.options.node)) << 32)
            ^ u64::from(state.path.searches());
        let members = self.fleet.members(now).into_iter();
        let reaching = members.filter(|(node, _)| {
            self.fleet.reaches(*node, state.key, now)
                && !self.pauses.contains(*node, state.key, now)
        });
        let mut peers: Vec<(u8, u64, Node)> = reaching
            .map(|(node, place)| {
                let weight = rendezvous::weight(seed, u32::from(node));
                (self.distance(state, place), weight, node)
            })
            .collect();
        peers.sort_unstable();
        let nearest = peers.first().map(|(distance, ..)| *distance);
        let is_nearest = |distance: u8| Some(distance) == nearest;
        let near = peers.iter().filter(|(distance, ..)| is_nearest(*distance));
        let far = peers.iter().filter(|(distance, ..)| !is_nearest(*distance));
        let first = near.clone().take(SEARCHED_NEAREST);
        let rest = far.chain(near.skip(SEARCHED_NEAREST));
        let chosen = first.chain(rest).take(SEARCHED_PEERS);
        chosen.map(|(.., node)| *node).collect()
    }

    /// Returns how far a data centre is from an endpoint: 0 if it is the endpoint's own.
    fn distance(&self, state: &State, place: DataCentre) -> u8 {
        if place == data_centre(&state.info.data_centre) {
            0
        } else if self.region_of(place) == Some(state.region.as_str()) {
            1
        } else if place == data_centre(&self.options.data_centre) {
            2
        } else {
            3
        }
    }

    fn region_of(&self, place: DataCentre) -> Option<&str> {
        let mut regions = self.options.regions.iter();
        let found = regions.find(|(name, _)| data_centre(name) == place);
        found.map(|(_, region)| region.as_str())
    }

    /// Returns whether a request may pass through the peer whose path replaces this node's own one.
    pub(super) fn detour_allows(&self, state: &State, flight: &Flight) -> bool {
        let peer = state.path.detour();
        peer.is_none_or(|peer| self.is_in_regions(peer, &flight.regions))
    }

    /// Returns whether a peer is known to be in a region of a set.
    pub(super) fn is_in_regions(&self, peer: Node, regions: &region::Set) -> bool {
        let place = self.fleet.place_of(peer);
        let region = place.and_then(|place| self.region_of(place));
        region.is_some_and(|region| regions.allows(region))
    }

    /// Ends the detours through peers that are gone, leave, or no longer reach the endpoint.
    ///
    /// Returns the endpoints, whose kept connections are of no use any more.
    pub(super) fn end_detours(&mut self, now: Time) -> Vec<Key> {
        let is_over = |state: &&State| {
            state.path.detour().is_some_and(|peer| {
                !self.fleet.is_live_peer(peer, now)
                    || !self.fleet.reaches(peer, state.key, now)
                    || self.pauses.contains(peer, state.key, now)
            })
        };
        let over: Vec<Key> = self
            .states
            .iter()
            .filter(is_over)
            .map(|state| state.key)
            .collect();
        for key in &over {
            self.end_detour(*key, now);
        }
        over
    }

    /// Ends a detour, which starts a search for another peer.
    pub(super) fn end_detour(&mut self, key: Key, now: Time) {
        let Some(state) = self.state_mut(key) else {
            return;
        };
        if state.path.detour().is_some() {
            state.path.end_detour(now);
            self.note_path(key, Change::DetourEnded);
        }
    }

    /// Returns the address at which this node may open a connection to an endpoint for a peer.
    ///
    /// # Errors
    /// Returns the reason if it may not.
    pub fn may_relay(&self, peer: Node, key: Key, now: Time) -> Result<SocketAddrV4, Denial> {
        let address = self.may_judge(peer, key, now)?;
        if self.fleet.is_leaving() {
            return Err(Denial::Leaving);
        }
        let state = self.state(key).ok_or(Denial::Unknown)?;
        match state.pause_left(now) {
            Some(_) => Err(Denial::Paused),
            None => Ok(address),
        }
    }

    /// Returns the address at which this node may ask for a peer whether an endpoint lives.
    ///
    /// # Errors
    /// Returns the reason if it may not.
    pub fn may_judge(&self, peer: Node, key: Key, now: Time) -> Result<SocketAddrV4, Denial> {
        // A node that leaves hears no peer any more.
        let is_peer = self.fleet.is_live_peer(peer, now)
            || (self.fleet.is_leaving() && self.fleet.has_heard(peer));
        if !is_peer {
            return Err(Denial::Foreign);
        }
        let state = self.state(key).ok_or(Denial::Unknown)?;
        if state.path.is_lost() {
            return Err(Denial::Unreached);
        }
        Ok(state.info.address)
    }

    /// Returns the lost endpoints that a heartbeat lists, and whether there are too many to list.
    pub(super) fn unreached(&self, turn: usize) -> (Vec<Key>, bool) {
        let lost = self.states.iter().filter(|state| state.path.is_lost());
        let mut lost: Vec<Key> = lost.map(|state| state.key).collect();
        let cut_off = lost.len() > MAX_UNREACHED && 2 * lost.len() > self.states.len();
        if lost.len() > MAX_UNREACHED {
            let first = turn * MAX_UNREACHED % lost.len();
            lost.rotate_left(first);
            lost.truncate(MAX_UNREACHED);
        }
        (lost, cut_off)
    }

    /// Records that an endpoint wants no requests over the path of a node for a while.
    pub(super) fn note_pause(&mut self, node: Node, endpoint: Key, until: Time) {
        self.pauses.insert(Pause {
            node,
            endpoint,
            until,
        });
        if node == self.options.node
            && let Some(state) = self.state_mut(endpoint)
        {
            state.pause(until);
        }
    }

    /// Returns the pauses for a heartbeat.
    pub(super) fn pause_reports(&self, now: Time) -> Vec<beat::Pause> {
        let left = self.pauses.left(now).into_iter().take(MAX_PAUSES);
        let reports = left.map(|(pause, left)| beat::Pause {
            node: pause.node.into(),
            endpoint: pause.endpoint,
            left_ms: millis(left),
        });
        reports.collect()
    }

    /// Records a change of a path, to be logged.
    fn note_path(&mut self, endpoint: Key, change: Change) {
        /// Most changes that wait for the next tick.
        const MAX_NEWS: usize = 256;
        if self.path_news.len() < MAX_NEWS {
            self.path_news.push(News { endpoint, change });
        }
    }
}
