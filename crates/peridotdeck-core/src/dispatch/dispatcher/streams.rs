//! Streams, which go on only at endpoints of the software version that began them.

use std::time::Duration;

use peridotdeck_wire::beat;

use super::{Dispatcher, batch, peers::millis, waiting::give_up};
use crate::{
    dispatch::{
        DataCentre, Node, Software,
        attempt::{Attempt, Delay, Placement, WaitCause},
        data_centre,
        fleet::Broadcast,
        flight::Flight,
        refusal::Cause,
        registry::Area,
        stream::{self, Entry, Evidence, Resolution, Table, step::CONFIRMED},
    },
    id::Time,
    rendezvous,
};

/// Time for which a stream is remembered beyond the deadline of the request that began it.
const GRACE: Duration = Duration::from_secs(3);

/// Longest wait for other nodes to say which version began a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which other nodes are asked again, since messages may be lost.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

/// Nodes of the own data centre that are told of a stream, and those that are asked.
///
/// One more is asked, since the one that ranked first may just have joined.
const LOCAL_HOLDERS: (usize, usize) = (2, 3);

/// Nodes of another data centre that are told of a stream, and those that are asked.
const REMOTE_HOLDERS: (usize, usize) = (1, 2);

/// Other data centres whose nodes are told of a stream.
const REMOTE_DATA_CENTRES: usize = 2;

/// Nodes of a data centre that tell others of the parts that an endpoint has cached.
const LISTERS: usize = 2;

/// Most streams or lookups in one message, so that it fits a datagram.
const MAX_ENTRIES: usize = 48;

/// Most streams that others are told of in one tick.
const MAX_TOLD: usize = 256;

/// Most lookups that wait for a message; further ones are not sent.
const MAX_LOOKUPS: usize = 1_024;

/// A use of the nodes that should know a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Tell,
    Ask,
}

impl Dispatcher {
    /// Records that a stream's first event is about to be forwarded, or the first one after a break.
    ///
    /// From then on the stream goes on only at endpoints of the same software version.
    pub fn begin_stream(&mut self, attempt: &Attempt, flight: &mut Flight, now: Time) {
        let software = *flight.software.get_or_insert(attempt.software);
        let began = flight.resumes.as_deref().filter(|id| !id.is_empty());
        for id in [Some(flight.id.as_str()), began].into_iter().flatten() {
            self.streams.insert(Entry {
                stream: stream::id(id),
                software,
                until: flight.deadline.max(now) + GRACE,
                told: false,
                is_own: true,
            });
        }
    }

    /// Returns the streams that this node knows.
    #[must_use]
    pub fn streams(&self) -> &Table {
        &self.streams
    }

    /// Finds the version that began a stream which its caller takes up.
    ///
    /// Returns how the request must wait for it or be refused, if this node does not know.
    pub(super) fn resolve_version(&mut self, flight: &mut Flight, now: Time) -> Option<Placement> {
        if flight.software.is_some() {
            return None;
        }
        let began = flight.resumes.as_deref()?;
        let stream = (!began.is_empty()).then(|| stream::id(began));
        if let Some(entry) = stream.and_then(|stream| self.streams.only_entry(stream)) {
            let by = if entry.is_own {
                Evidence::Own
            } else {
                Evidence::Told
            };
            self.record_resolution(flight, by, Some(entry.software), now);
            return None;
        }
        if self.is_only_version(&flight.service, now) {
            let by = if self.is_roster_confirmed(now) {
                Evidence::Publisher
            } else {
                Evidence::Peers
            };
            self.record_resolution(flight, by, None, now);
            return None;
        }
        let is_over = now.saturating_sub(flight.arrived) >= LOOKUP_TIMEOUT;
        if !is_over && self.ask(flight, stream, now) {
            return Some(Placement::Wait(Delay::poll(WaitCause::Lookup)));
        }
        if self.may_have_others(&flight.service, now)
            && let Some(software) = self.cached_version(flight)
        {
            self.record_resolution(flight, Evidence::Cache, Some(software), now);
            return None;
        }
        let wait = self.retry_after(flight, now);
        let refusal = give_up(flight, Cause::UnknownStream, Some(wait));
        Some(Placement::Refuse(refusal, Vec::new()))
    }

    /// Binds a stream to the version that was found, and keeps what the decision was based on.
    fn record_resolution(
        &self,
        flight: &mut Flight,
        by: Evidence,
        software: Option<Software>,
        now: Time,
    ) {
        flight.software = software;
        flight.resolution = Some(Resolution {
            by,
            software,
            roster: self.registry.progress(Area::Roster).changed,
            roster_age: self.registry.age(Area::Roster, now),
            history: self.known_history(now),
        });
    }

    /// Returns whether all streams of a service were certainly begun by its only version.
    ///
    /// If nothing shows that the endpoint list is complete, a read of the publisher is asked for.
    fn is_only_version(&mut self, service: &str, now: Time) -> bool {
        if self.may_have_others(service, now) {
            return false;
        }
        let is_in_step = self.is_in_step(now);
        if !is_in_step {
            self.step.want_read();
        }
        is_in_step
    }

    /// Returns whether this node's endpoint list holds all that others may have used.
    fn is_in_step(&self, now: Time) -> bool {
        let known = self.registry.progress(Area::Roster).changed;
        if self.step.lacks_change(known, now) {
            return false;
        }
        self.is_roster_confirmed(now) || self.fleet.is_in_touch(now)
    }

    /// Returns whether a read of the publisher has shown the whole endpoint list lately.
    ///
    /// Peers confirm each other's lists also while the publisher is away, and endpoints may start again
    /// meanwhile with other software.
    pub(super) fn is_roster_confirmed(&self, now: Time) -> bool {
        let running = self.fleet.running_since(CONFIRMED, now);
        running.is_some_and(|since| self.step.is_confirmed_since(since))
    }

    /// Returns whether endpoints of a stream's version may be listed soon, as this node is out of step.
    pub(super) fn may_list_version(&mut self, flight: &Flight, now: Time) -> bool {
        if flight.software.is_none() || self.is_in_step(now) {
            return false;
        }
        self.step.want_read();
        now.saturating_sub(flight.arrived) < LOOKUP_TIMEOUT
    }

    /// Returns the time for which all versions have been known; zero if this node may be cut off.
    pub(super) fn known_history(&self, now: Time) -> Duration {
        if self.is_in_step(now) {
            self.versions.history(now)
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether a service has, or may have had, several versions.
    ///
    /// Caches that were listed at the start then show the version of an unknown stream. At a node out of
    /// step they are those of versions that it knows.
    fn may_have_others(&self, service: &str, now: Time) -> bool {
        self.versions.is_mixed(service, now) || self.versions.is_history_short(now)
    }

    /// Asks others for the version of a stream that this node does not know.
    ///
    /// While nobody knows what ran before, it also asks which version has cached the own part of
    /// the prompt. Returns whether there is anything to ask for.
    fn ask(&mut self, flight: &mut Flight, stream: Option<stream::Id>, now: Time) -> bool {
        let own = flight.prompt.own.map(stream::part);
        let part = own.filter(|_| self.versions.is_history_short(now));
        let is_asked = |at: Time| now.saturating_sub(at) < LOOKUP_INTERVAL;
        if !flight.looked_up.is_some_and(is_asked) && self.lookups.len() < MAX_LOOKUPS {
            self.lookups.extend(stream.into_iter().chain(part));
            flight.looked_up = Some(now);
        }
        stream.is_some() || part.is_some()
    }

    /// Returns the version of the endpoints that have cached the own part of a request's prompt.
    ///
    /// An endpoint that ran the stream has, also after all nodes have ended. If endpoints of several
    /// versions have, the part belongs to a session, and tells nothing.
    fn cached_version(&self, flight: &Flight) -> Option<Software> {
        let own = flight.prompt.own?;
        let holders = self.prefixes.holders(own).iter();
        let listed = holders.filter_map(|holding| self.state(holding.endpoint));
        let told = self.streams.get(stream::part(own)).iter();
        let mut versions: Vec<Software> = listed
            .map(|state| state.software)
            .chain(told.map(|entry| entry.software))
            .collect();
        versions.sort_unstable();
        versions.dedup();
        match versions[..] {
            [software] => Some(software),
            _ => None,
        }
    }

    /// Remembers the parts that endpoints have cached, to tell others of them, if that is due.
    ///
    /// The nodes that rank first for an endpoint tell, as several may have listed it.
    fn share_listing(&mut self, now: Time) {
        let due = self.listing.take_due(now);
        if !self.versions.is_history_short(now) {
            return;
        }
        let until = now + self.versions.history_left(now);
        for (key, parts) in due {
            let Some(software) = self.state(key).map(|state| state.software) else {
                continue;
            };
            let told = !self.fleet.is_among_first(LISTERS, key, now);
            let entries = parts.into_iter().map(|part| Entry {
                stream: stream::part(part),
                software,
                until,
                told,
                is_own: false,
            });
            self.streams.extend(entries);
        }
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
    pub(super) fn stream_messages(&mut self, now: Time) -> Vec<Broadcast> {
        self.share_listing(now);
        let lookups = std::mem::take(&mut self.lookups);
        // A node that knows nothing of before refuses what it has not been told of.
        let may_ask = self.versions.is_any_mixed() || self.versions.is_history_short(now);
        let untold = if may_ask {
            self.streams.take_untold(MAX_TOLD)
        } else {
            Vec::new()
        };
        if lookups.is_empty() && untold.is_empty() {
            return Vec::new();
        }
        let data_centres = self.data_centre_nodes(now);
        let mut told: Vec<(Node, beat::Stream)> = Vec::new();
        for entry in &untold {
            let holders = self.holders(&data_centres, entry.stream, Purpose::Tell);
            told.extend(holders.map(|node| (node, to_message(entry, now))));
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
        let here = data_centre(&self.options.data_centre);
        let count = |(told, asked)| {
            if purpose == Purpose::Tell {
                told
            } else {
                asked
            }
        };
        let first = |nodes: &[Node], count: usize| {
            let ranked = rendezvous::order(stream, nodes.iter().map(|&node| u32::from(node)));
            ranked.into_iter().take(count).map(Node::from)
        };
        let local = data_centres.iter().filter(|(name, _)| *name == here);
        let mut holders: Vec<Node> = local
            .flat_map(|(_, nodes)| first(nodes, count(LOCAL_HOLDERS)))
            .collect();
        let mut others: Vec<_> = data_centres
            .iter()
            .filter(|(name, nodes)| *name != here && !nodes.is_empty())
            .collect();
        if purpose == Purpose::Tell {
            others.sort_by_key(|(name, _)| rendezvous::weight(stream, *name));
            others.truncate(REMOTE_DATA_CENTRES);
        }
        let remote = others.iter();
        holders.extend(remote.flat_map(|(_, nodes)| first(nodes, count(REMOTE_HOLDERS))));
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
