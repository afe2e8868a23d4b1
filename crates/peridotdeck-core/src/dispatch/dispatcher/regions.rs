//! The regions that may serve a request, and the check just before it is written.

use std::borrow::Cow;

use super::Dispatcher;
use crate::dispatch::{
    Key,
    attempt::Assignment,
    flight::Flight,
    region::{self, Clearance, Denial},
};

impl Dispatcher {
    /// Narrows a request's regions to those that the configuration in force allows too.
    pub(super) fn narrow_regions(&self, flight: &mut Flight) {
        let version = self.registry.version();
        if flight.narrowed_by != version {
            flight.regions = self.current_regions(flight).into_owned();
            flight.narrowed_by = version;
        }
    }

    /// Returns a request's regions, narrowed by the configuration in force.
    #[must_use]
    pub fn current_regions<'a>(&self, flight: &'a Flight) -> Cow<'a, region::Set> {
        let config = self.registry.config();
        let newer = config.filter(|config| config.version != flight.narrowed_by);
        let Some(config) = newer else {
            return Cow::Borrowed(&flight.regions);
        };
        let mut regions = flight.regions.clone();
        regions.intersect(&config.regions(&flight.target));
        Cow::Owned(regions)
    }

    /// Returns the region of an endpoint, if the endpoint is known.
    #[must_use]
    pub fn region_of_endpoint(&self, key: Key) -> Option<&str> {
        self.state(key).map(|state| state.region.as_str())
    }

    /// Checks that the regions in force still allow a request where it was assigned to.
    ///
    /// Time passes between the choice of an endpoint and the first byte: a connection is opened, or the
    /// endpoint is asked for its start.
    ///
    /// # Errors
    /// If the endpoint, the peer in between or the source of cached parts is not known to be in a region
    /// that is still allowed, or the endpoint has moved to another address.
    pub fn clear(&self, flight: &Flight, assignment: &Assignment) -> Result<Clearance, Denial> {
        let regions = self.current_regions(flight);
        if regions.is_all() {
            return Ok(Clearance::new());
        }
        let state = self.state(assignment.attempt.key).ok_or(Denial::Unknown)?;
        if state.info.address != assignment.address {
            return Err(Denial::Moved(state.info.address));
        }
        if !regions.allows(&state.region) {
            return Err(Denial::Endpoint(state.region.clone()));
        }
        if let Some(peer) = assignment.attempt.detour
            && !self.is_in_regions(peer, &regions)
        {
            return Err(Denial::Peer(peer));
        }
        let mut states = self.states.iter();
        let may_hold = assignment.source.is_none_or(|source| {
            states.any(|state| state.info.address == source && regions.allows(&state.region))
        });
        may_hold.then(Clearance::new).ok_or(Denial::Source)
    }
}
