//! Where a session's stream may have begun, if one version holds the last part of its prompt.

use super::{
    history::{Departed, History},
    session,
};
use crate::dispatch::{Prefix, Software, registry::Endpoint};

/// The endpoints of one version of a service, which has read the last part of a session's prompt.
///
/// A session moves to another version where an endpoint of that one joins which ranks higher, or where one
/// of its own version leaves while the other one stays. Streams of a session that has not moved began here.
#[derive(Debug)]
pub struct Origin<'a> {
    own: Prefix,
    history: &'a History,
    /// Listed endpoints of this version that do not drain.
    lasting: Vec<&'a Endpoint>,
    /// Endpoints of this version that have left.
    departed: Vec<&'a Departed>,
    /// Listed endpoints of other versions that do not drain.
    others: Vec<&'a Endpoint>,
    /// Position of the change that added the first one of this version.
    first: usize,
    /// Earliest start of one of this version.
    oldest: u64,
}

impl<'a> Origin<'a> {
    /// Creates it from the endpoints of the service that are listed and do not drain.
    #[must_use]
    pub fn new(
        own: Prefix,
        (service, software): (&str, Software),
        listed: impl Iterator<Item = &'a Endpoint>,
        history: &'a History,
    ) -> Self {
        let (lasting, others): (Vec<_>, Vec<_>) =
            listed.partition(|entry| entry.software() == software);
        let departed = history.departed();
        let departed: Vec<_> = departed
            .filter(|one| one.is_of(service, software))
            .collect();
        let entries = departed.iter().filter_map(|one| one.entry());
        let entries = entries.chain(lasting.iter().copied());
        let first = entries
            .clone()
            .map(|entry| history.joined(entry.key()))
            .min();
        let oldest = entries.map(|entry| entry.born).min();
        Self {
            own,
            history,
            lasting,
            departed,
            others,
            first: first.unwrap_or_default(),
            oldest: oldest.unwrap_or_default(),
        }
    }

    /// Returns whether the session may have moved to the version of an endpoint that has left.
    ///
    /// That version is any other one if only the endpoint's removal is known.
    #[must_use]
    pub fn may_have_moved_to(&self, one: &Departed) -> bool {
        if one.left() <= self.first {
            // It began no stream since this version is there.
            return false;
        }
        let same = self.of_same_version(one);
        let ranks = same.iter().map(|entry| self.rank(&entry.id));
        let highest = ranks.chain([self.rank(one.id())]).max();
        let joined = one.entry().is_none()
            || same
                .iter()
                .any(|entry| entry.may_be_younger_than(self.oldest));
        let has_left = self
            .departed
            .iter()
            .any(|holder| holder.left() < one.left());
        highest > self.highest_beside(one) && (joined || has_left)
    }

    fn rank(&self, id: &str) -> session::Rank {
        session::rank(self.own, id)
    }

    /// Returns the highest rank of this version's endpoints that were there when another one left.
    fn highest_beside(&self, one: &Departed) -> Option<session::Rank> {
        let later = self.departed.iter();
        let later = later.filter(|holder| holder.left() > one.left());
        let lasting = self.lasting.iter().map(|entry| entry.id.as_str());
        let ids = later.map(|holder| holder.id()).chain(lasting);
        ids.map(|id| self.rank(id)).max()
    }

    /// Returns the entries of the version that an endpoint had, or of all other versions.
    fn of_same_version(&self, one: &Departed) -> Vec<&'a Endpoint> {
        let Some(entry) = one.entry() else {
            return self.others.clone();
        };
        let departed = self.history.departed().filter_map(Departed::entry);
        let all = self.others.iter().copied().chain(departed);
        all.filter(|other| other.is_same_build(entry)).collect()
    }
}
