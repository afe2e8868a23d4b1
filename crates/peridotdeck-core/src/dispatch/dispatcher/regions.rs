//! The regions that may serve a request, and the check just before it is written.

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
        if flight.narrowed_by == self.registry.version() {
            return;
        }
        let (regions, version) = self.regions_in_force(flight);
        flight.regions.intersect(&regions);
        flight.narrowed_by = version;
    }

    /// Returns the regions that the configuration in force allows a request, and its version.
    #[must_use]
    pub fn regions_in_force(&self, flight: &Flight) -> (region::Set, u64) {
        let config = self.registry.config();
        let regions = config.map(|config| config.regions(&flight.target));
        (regions.unwrap_or_default(), self.registry.version())
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
    /// If a version that was adopted meanwhile allows fewer regions, or the endpoint, the peer in between
    /// or the source of cached parts is not known to be in one of them.
    pub fn clear(&self, flight: &Flight, assignment: &Assignment) -> Result<Clearance, Denial> {
        let mut regions = flight.regions.clone();
        if flight.narrowed_by != self.registry.version() {
            let (in_force, version) = self.regions_in_force(flight);
            regions.intersect(&in_force);
            if regions != flight.regions {
                return Err(Denial::Narrowed(version));
            }
        }
        if regions.is_all() {
            return Ok(Clearance::new());
        }
        let region = self.region_of_endpoint(assignment.attempt.key);
        let region = region.ok_or(Denial::Unknown)?;
        if !regions.allows(region) {
            return Err(Denial::Endpoint(region.to_owned()));
        }
        if let Some(peer) = assignment.attempt.detour
            && !self.may_see(peer, &regions)
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
