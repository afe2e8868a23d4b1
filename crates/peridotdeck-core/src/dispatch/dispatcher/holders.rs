//! Nodes that are told which version began a stream, and that are asked for it.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Dispatcher, batch, peers::millis};
use crate::{
    dispatch::{
        DataCentre, Key, Node, Prefix, Software, data_centre,
        fleet::Broadcast,
        registry,
        stream::{self, Entry},
    },
    id::Time,
    rendezvous,
};

/// Nodes of a data centre that tell others of the parts that an endpoint has cached.
pub(super) const LISTERS: usize = 2;

/// Most streams or lookups in one message, so that it fits a datagram.
const MAX_ENTRIES: usize = 48;

/// Most streams that others are told of in one tick.
const MAX_TOLD: usize = 256;

/// A use of the nodes that should know a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// The holders in the own data centre are told.
    TellLocal,
    /// The holders in other data centres are told.
    TellRemote,
    /// The holders of all data centres are asked.
    Ask,
}

impl Purpose {
    /// Returns the number of nodes of the own data centre.
    ///
    /// One more is asked than told, since the one that ranked first may just have joined.
    fn local(self) -> usize {
        match self {
            Self::TellLocal => 2,
            Self::TellRemote => 0,
            Self::Ask => 3,
        }
    }

    /// Returns the number of nodes of each other data centre, and the most data centres.
    fn remote(self) -> (usize, usize) {
        match self {
            Self::TellLocal => (0, 0),
            Self::TellRemote => (1, 2),
            Self::Ask => (2, usize::MAX),
        }
    }
}

impl Dispatcher {
    /// Remembers the parts that endpoints have cached, to tell others of them, if that is due.
    fn share_listing(&mut self, now: Time) {
        let due = self.listing.take_due(now);
        if !self.versions.is_history_short(now) {
            return;
        }
        let mut entries = Vec::new();
        for (key, parts) in due {
            let parts = parts.into_iter().map(stream::part);
            entries.extend(self.shared_entries(key, parts, now));
        }
        if !entries.is_empty() {
            self.streams.extend(entries);
        }
    }

    /// Remembers that endpoints are listed, to tell others of that after their parts.
    ///
    /// Who knows it takes a part that it has not been told of for absent.
    fn mark_listed(&mut self, now: Time) {
        if !self.streams.is_told() || !self.outbox.is_empty() {
            return;
        }
        let mut entries = Vec::new();
        for key in self.listing.take_unmarked() {
            let mark = std::iter::once(stream::list(key));
            entries.extend(self.shared_entries(key, mark, now));
        }
        if !entries.is_empty() {
            self.streams.extend(entries);
        }
    }

    /// Returns entries of what an endpoint has cached; none if it has left.
    ///
    /// The nodes that rank first for an endpoint tell others, as several may have listed it.
    fn shared_entries(
        &self,
        key: Key,
        streams: impl Iterator<Item = stream::Id>,
        now: Time,
    ) -> Vec<Entry> {
        let Some(software) = self.state(key).map(|state| state.software) else {
            return Vec::new();
        };
        let until = now + self.versions.history_left(now);
        let told = !self.fleet.is_among_first(LISTERS, key, now);
        let entries = streams.map(|stream| Entry {
            stream,
            software,
            until,
            told,
            is_own: false,
        });
        entries.collect()
    }

    /// Remembers the parts that an endpoint held when it was removed, since it may have run streams before
    /// the start.
    pub(super) fn keep_departed(&mut self, endpoint: &registry::Endpoint, now: Time) {
        if !self.versions.is_history_short(now) {
            return;
        }
        self.history.depart(endpoint);
        let parts: Vec<Prefix> = self.prefixes.held_by(endpoint.key()).collect();
        self.keep_read_parts(endpoint.software(), parts.into_iter(), now);
    }

    /// Remembers the parts that a version has read, while streams of before the start may be open.
    pub(super) fn keep_read_parts(
        &mut self,
        software: Software,
        parts: impl Iterator<Item = Prefix>,
        now: Time,
    ) {
        let until = now + self.versions.history_left(now);
        let entries = parts.map(|part| Entry {
            stream: stream::part(part),
            software,
            until,
            told: true,
            is_own: false,
        });
        self.streams.extend(entries);
    }

    /// Asks others which endpoints have listed their caches, where a node lists some of them only.
    fn ask_for_lists(&mut self, now: Time) {
        if !self.listing.is_partial() || !self.listing.take_wanted(now) {
            return;
        }
        let listed = self.registry.endpoints().iter();
        let departed = self.history.departed().filter_map(stream::Departed::key);
        let all = listed.map(registry::Endpoint::key).chain(departed);
        let unknown = all.filter(|key| !self.has_listed(*key));
        let lists: Vec<stream::Id> = unknown.map(stream::list).collect();
        self.lookups.extend(lists);
    }

    /// Returns whether this node or one that has told it has listed an endpoint's cache.
    pub(super) fn has_listed(&self, endpoint: Key) -> bool {
        self.listing.shows(endpoint) || !self.streams.get(stream::list(endpoint)).is_empty()
    }

    /// Applies what a peer says of streams, and returns the streams that it asks for.
    pub(super) fn receive_streams(&mut self, beat: &beat::Beat, now: Time) -> Vec<beat::Beat> {
        if beat.mixed {
            self.versions.note_report(now);
        } else {
            let history = Duration::from_millis(beat.history_ms.into());
            self.versions.note_history(history, now);
        }
        for told in &beat.streams {
            self.streams.insert(Entry {
                stream: told.stream,
                software: told.software,
                until: now + Duration::from_millis(told.left_ms.into()),
                told: true,
                is_own: false,
            });
        }
        let asked = beat.lookups.iter();
        let known: Vec<beat::Stream> = asked
            .flat_map(|asked| self.streams.get(*asked))
            .map(|entry| to_message(entry, now))
            .collect();
        if known.is_empty() {
            return Vec::new();
        }
        let status = self.status(now);
        let parts = known.chunks(MAX_ENTRIES);
        let messages = parts.map(|part| {
            let mut beat = self.fleet.message(&status);
            beat.streams = part.to_vec();
            beat
        });
        messages.collect()
    }

    /// Returns the messages that tell other nodes of new streams, or ask for unknown ones.
    ///
    /// Others are told also while only one version is known, as this node may be the last to learn of
    /// another one.
    pub(super) fn stream_messages(&mut self, now: Time) -> Vec<Broadcast> {
        self.share_listing(now);
        self.ask_for_lists(now);
        let lookups = std::mem::take(&mut self.lookups);
        let untold = self.streams.take_untold(MAX_TOLD);
        self.outbox.add(&untold, now);
        let is_alone = self.fleet.live_nodes(self.here(), now).len() < 2;
        let is_urgent =
            is_alone || self.versions.is_any_mixed() || self.versions.is_history_short(now);
        let due = self.outbox.take_due(MAX_TOLD, is_urgent, now);
        self.mark_listed(now);
        if lookups.is_empty() && untold.is_empty() && due.is_empty() {
            return Vec::new();
        }
        let data_centres = self.data_centre_nodes(now);
        let mut told: Vec<(Node, beat::Stream)> = Vec::new();
        for (entries, purpose) in [(&untold, Purpose::TellLocal), (&due, Purpose::TellRemote)] {
            for entry in entries {
                let holders = self.holders(&data_centres, entry.stream, purpose);
                told.extend(holders.map(|node| (node, to_message(entry, now))));
            }
        }
        let mut asked: Vec<(Node, stream::Id)> = Vec::new();
        for stream in lookups {
            let holders = self.holders(&data_centres, stream, Purpose::Ask);
            asked.extend(holders.map(|node| (node, stream)));
        }
        let status = self.status(now);
        let mut messages = Vec::new();
        for batch in batch::by_receiver(told, MAX_ENTRIES) {
            let mut beat = self.fleet.message(&status);
            beat.streams = batch.entries;
            messages.push(Broadcast::to(batch.receiver, beat));
        }
        for batch in batch::by_receiver(asked, MAX_ENTRIES) {
            let mut beat = self.fleet.message(&status);
            beat.lookups = batch.entries;
            messages.push(Broadcast::to(batch.receiver, beat));
        }
        messages
    }

    /// Returns the data centre of this node.
    fn here(&self) -> DataCentre {
        data_centre(&self.options.data_centre)
    }

    /// Returns the live nodes of each data centre, this node excluded.
    fn data_centre_nodes(&self, now: Time) -> Vec<(DataCentre, Vec<Node>)> {
        let names = self.options.regions.iter().map(|(name, _)| name);
        let nodes = names.map(|name| {
            let data_centre = data_centre(name);
            let mut nodes = self.fleet.live_nodes(data_centre, now);
            nodes.retain(|node| *node != self.options.node);
            (data_centre, nodes)
        });
        nodes.collect()
    }

    /// Returns the nodes that should know a stream, which every node derives from its digest.
    ///
    /// They are in several data centres, since one may be lost with all its nodes.
    fn holders(
        &self,
        data_centres: &[(DataCentre, Vec<Node>)],
        stream: stream::Id,
        purpose: Purpose,
    ) -> impl Iterator<Item = Node> {
        let here = self.here();
        let (count, most) = purpose.remote();
        let first = |nodes: &[Node], count: usize| {
            let ranked = rendezvous::order(stream, nodes.iter().map(|&node| u32::from(node)));
            ranked.into_iter().take(count).map(Node::from)
        };
        let local = data_centres.iter().filter(|(name, _)| *name == here);
        let mut holders: Vec<Node> = local
            .flat_map(|(_, nodes)| first(nodes, purpose.local()))
            .collect();
        let mut others: Vec<_> = data_centres
            .iter()
            .filter(|(name, nodes)| *name != here && !nodes.is_empty())
            .collect();
        others.sort_by_key(|(name, _)| rendezvous::weight(stream, *name));
        others.truncate(most);
        let remote = others.iter();
        holders.extend(remote.flat_map(|(_, nodes)| first(nodes, count)));
        holders.into_iter()
    }
}

fn to_message(entry: &Entry, now: Time) -> beat::Stream {
    beat::Stream {
        stream: entry.stream,
        software: entry.software,
        left_ms: millis(entry.until.saturating_sub(now)),
    }
}
