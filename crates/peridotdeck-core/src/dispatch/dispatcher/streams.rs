//! Streams, which go on only at endpoints of the software version that began them.

use std::time::Duration;

use super::{Dispatcher, waiting::give_up};
use crate::{
    dispatch::{
        Prefix, Software,
        attempt::{Attempt, Delay, Placement, WaitCause},
        endpoint::State,
        flight::Flight,
        refusal::Cause,
        registry::Area,
        stream::{self, Doubt, Entry, Evidence, Resolution, Table, session, step::CONFIRMED},
    },
    id::Time,
};

/// Time for which a stream is remembered beyond the deadline of the request that began it.
const GRACE: Duration = Duration::from_secs(3);

/// Longest wait for other nodes to say which version began a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for lists of caches and reads of the publisher, where these decide.
///
/// Lists are at most a quarter of a second apart, and another region's take as long to come.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which other nodes are asked again, since messages may be lost.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

/// Most lookups that wait for a message; further ones are not sent.
const MAX_LOOKUPS: usize = 1_024;

impl Dispatcher {
    /// Returns whether an attempt's events may be passed on behind those that the caller has.
    ///
    /// More may be known of the stream now than when the endpoint was chosen.
    #[must_use]
    pub fn may_join(&self, attempt: &Attempt, flight: &Flight, now: Time) -> bool {
        if !flight.goes_on() {
            return true;
        }
        let is_replaced = self.state(attempt.key).is_some_and(State::is_replaced);
        let began = flight.resumes.as_deref().filter(|id| !id.is_empty());
        let known = began.map_or(&[][..], |id| self.streams.get(stream::id(id)));
        let is_same = flight.software.map_or_else(
            || self.may_be_only_version(&flight.service, now),
            |software| software == attempt.software,
        );
        is_same && !is_replaced && known.iter().all(|one| one.software == attempt.software)
    }

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
    /// Something must name it: this node or another one that knows the stream, or the caches that hold
    /// its prompt. Returns how the request must wait for that or be refused, if this node does not know.
    pub(super) fn resolve_version(&mut self, flight: &mut Flight, now: Time) -> Option<Placement> {
        if flight.software.is_some() {
            return None;
        }
        let began = flight.resumes.as_deref()?;
        let stream = (!began.is_empty()).then(|| stream::id(began));
        match stream.map_or(&[][..], |stream| self.streams.get(stream)) {
            [] => {}
            &[entry] => {
                let by = if entry.is_own {
                    Evidence::Own
                } else {
                    Evidence::Told
                };
                self.record_resolution(flight, by, Some(entry.software), now);
                return None;
            }
            _ => return Some(self.refuse_unknown(flight, Doubt::Contradicted, now)),
        }
        let may_be_only = stream.is_none() && self.may_be_only_version(&flight.service, now);
        if may_be_only && self.is_list_confirmed(now) {
            self.record_resolution(flight, Evidence::Publisher, None, now);
            return None;
        }
        if may_be_only || !self.is_in_step(now) || self.versions.is_history_short(now) {
            // Once the version is known, its endpoints must be.
            self.step.want_read();
        }
        // The lists of caches are asked for together with the peers, and count only if none of these knows.
        let cached = self.cached_version(flight, now);
        let timeout = match cached {
            Err(doubt) if doubt.may_pass() => EVIDENCE_TIMEOUT,
            _ => LOOKUP_TIMEOUT,
        };
        let is_over = now.saturating_sub(flight.arrived) >= timeout;
        if !is_over && (self.ask(flight, stream, now) || may_be_only) {
            return Some(Placement::Wait(Delay::poll(WaitCause::Lookup)));
        }
        match cached {
            Ok(software) => {
                self.record_resolution(flight, Evidence::Cache, Some(software), now);
                None
            }
            Err(doubt) => Some(self.refuse_unknown(flight, doubt, now)),
        }
    }

    /// Refuses a stream that nothing names a version of, or that is said to have several.
    fn refuse_unknown(&mut self, flight: &mut Flight, doubt: Doubt, now: Time) -> Placement {
        flight.doubt = Some(doubt);
        let wait = self.retry_after(flight, now);
        let refusal = give_up(flight, Cause::UnknownStream, Some(wait));
        Placement::Refuse(refusal, Vec::new())
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

    /// Returns whether a service has had one version for as long as streams last, as far as is known.
    ///
    /// Together with a confirmed list it stands in for the version of a stream that its caller does not
    /// name.
    fn may_be_only_version(&self, service: &str, now: Time) -> bool {
        !self.versions.is_mixed(service, now) && !self.versions.is_history_short(now)
    }

    /// Returns whether the publisher has shown lately that no endpoint is missing from the list.
    ///
    /// What joined after the read began is not known; the read is at most [`CONFIRMED`] old.
    fn is_list_confirmed(&self, now: Time) -> bool {
        let known = self.registry.progress(Area::Roster).changed;
        self.is_roster_confirmed(now) && !self.step.lacks_change(known, now)
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
    /// Peers confirm each other's lists also while the publisher is away.
    fn is_roster_confirmed(&self, now: Time) -> bool {
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
        if part.is_some() && self.listing.is_partial() {
            self.listing.want();
        }
        stream.is_some() || part.is_some()
    }

    /// Returns the version of the endpoints that have cached the own part of a request's prompt.
    ///
    /// An endpoint that ran the stream has, also after all nodes have ended. But so has one that only read
    /// the prompt, for an earlier request of the session or without an event. So no endpoint of another
    /// version may have it, in a list of now and not of the start; none may be missing from the endpoint
    /// list; and the session's streams may not have begun at one that has left.
    ///
    /// # Errors
    /// The first reason for which no version can be named.
    fn cached_version(&mut self, flight: &Flight, now: Time) -> Result<Software, Doubt> {
        if !self.versions.is_history_short(now) {
            return Err(Doubt::Untold);
        }
        let own = flight.prompt.own.ok_or(Doubt::Uncached)?;
        let holders = self.prefixes.holders(own).iter();
        let listed = holders.filter_map(|holding| self.state(holding.endpoint));
        let told = self.streams.get(stream::part(own)).iter();
        let mut versions: Vec<Software> = listed
            .map(|state| state.software)
            .chain(told.map(|entry| entry.software))
            .collect();
        versions.sort_unstable();
        versions.dedup();
        let software = match versions[..] {
            [software] => software,
            [] => return Err(self.doubt_uncached(flight)),
            _ => return Err(Doubt::SeveralCached),
        };
        if !self.are_others_listed(flight, software) {
            self.listing.want();
            return Err(Doubt::Unlisted);
        }
        if !self.is_list_confirmed(now) {
            return Err(Doubt::Unconfirmed);
        }
        if !self.history.is_read() {
            self.history.want();
            return Err(Doubt::Unread);
        }
        if self.may_have_begun_elsewhere(flight, own, software) {
            return Err(Doubt::Departed);
        }
        Ok(software)
    }

    /// Returns why no endpoint is known to hold a part: one that does may not have been listed yet.
    fn doubt_uncached(&mut self, flight: &Flight) -> Doubt {
        let service = flight.service.as_str();
        let is_unlisted = |state: &State| !self.has_listed(state.key);
        if self.has_model(service) && self.endpoints_of(service).any(is_unlisted) {
            self.listing.want();
            return Doubt::Unlisted;
        }
        Doubt::Uncached
    }

    /// Returns whether all endpoints of other versions have listed their caches since a request came.
    ///
    /// Of more endpoints than a node lists, it knows only what others have told of at the start; then
    /// each must have been listed by anyone.
    fn are_others_listed(&self, flight: &Flight, software: Software) -> bool {
        let mut others = self.others(flight, software);
        others.all(|state| self.is_listed(state, flight))
    }

    /// Returns whether an endpoint's list counts for a stream that is taken up.
    fn is_listed(&self, state: &State, flight: &Flight) -> bool {
        if self.listing.is_partial() {
            return self.has_listed(state.key);
        }
        self.listing.shows_since(state.key, flight.arrived)
    }

    /// Returns how many endpoints of a request's service lack a list that counts for its stream.
    #[must_use]
    pub fn unlisted(&self, flight: &Flight) -> usize {
        let endpoints = self.endpoints_of(&flight.service);
        endpoints
            .filter(|state| !self.is_listed(state, flight))
            .count()
    }

    /// Returns whether a stream may have begun at an endpoint of another version that has left unlisted.
    fn may_have_begun_elsewhere(&self, flight: &Flight, own: Prefix, software: Software) -> bool {
        let service = flight.service.as_str();
        let lasting = self.lasting(service).map(|state| &state.info);
        let has_listed = |key| self.has_listed(key);
        self.history
            .may_have_begun(own, (service, software), lasting, has_listed)
    }

    /// Returns the version at which the streams of a request's session begin, if there are several.
    ///
    /// None if the request begins no stream that its caller may take up, or has no part of its own. None
    /// either once an attempt has failed: the version may be at fault, and its other endpoints would
    /// fail too.
    pub(super) fn session_version(&self, flight: &Flight) -> Option<Software> {
        let own = flight.prompt.own?;
        if flight.goes_on() || flight.failures > 0 || !flight.route.is_resumable() {
            return None;
        }
        let lasting = self.lasting(&flight.service);
        let any = lasting.clone().next()?.software;
        if lasting.clone().all(|state| state.software == any) {
            return None;
        }
        let rank = |state: &&State| session::rank(own, &state.info.id);
        lasting.max_by_key(rank).map(|state| state.software)
    }

    /// Returns the endpoints of a service that are not about to leave.
    fn lasting(&self, service: &str) -> impl Iterator<Item = &State> + Clone {
        let endpoints = self.endpoints_of(service);
        endpoints.filter(|state| !state.info.draining && !state.is_departing())
    }

    /// Returns the endpoints of a request's service that run another version.
    fn others(&self, flight: &Flight, software: Software) -> impl Iterator<Item = &State> {
        self.endpoints_of(&flight.service)
            .filter(move |state| state.software != software)
    }
}
