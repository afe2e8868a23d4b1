//! Regions that the configuration in force allows a request, and those of endpoints.

use super::Dispatcher;
use crate::dispatch::{Key, flight::Flight, region};

impl Dispatcher {
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
}
