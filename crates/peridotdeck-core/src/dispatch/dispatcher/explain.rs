//! What would happen to a request that arrived now, without sending it.
//!
//! The decision is taken by a copy of the dispatcher, which is dropped afterwards. So it is the one
//! that an admitted first try would meet, with all parts of the placement that are switched on, and it
//! spends no budget, demands no grant and records no prefix.

use std::sync::Arc;

use super::Dispatcher;
use crate::{
    dispatch::{
        attempt::Placement,
        config::{Config, Organisation, Route, Service},
        flight::Flight,
        placement::{Estimate, Exclusion},
    },
    id::Time,
};

/// A hypothetical request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Name of the route.
    pub route: String,
    /// Name of the organisation; empty for none.
    pub organisation: String,
    /// Length of the prompt in tokens, none of which is cached.
    pub tokens: u32,
}

/// Why a request cannot be explained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// The node has no configuration.
    Config,
    /// No route has the name.
    Route,
    /// No organisation has the name.
    Organisation,
}

/// What would happen to a request.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// Service that the request would use.
    pub service: String,
    /// Urgency among all requests; 0 is served first.
    pub rank: u8,
    /// Each endpoint of the service by id, with its estimate or the reason to exclude it.
    pub endpoints: Vec<(String, Result<Estimate, Exclusion>)>,
    /// The decision.
    pub placement: Placement,
}

impl Dispatcher {
    /// Explains what would happen to a request that arrived now.
    ///
    /// # Errors
    /// If the node has no configuration, or does not know the route or the organisation.
    pub fn explain(&self, query: &Query, now: Time) -> Result<Explanation, Unknown> {
        let config = self.registry.config().ok_or(Unknown::Config)?;
        let mut copy = self.clone();
        let mut flight = hypothetical(config, query, now)?;
        flight.service = copy.choose_service(&flight.route.split);
        flight.urgent = config.is_urgent_stream(&flight.route, &flight.service);
        let unknown = Service::default();
        let service = config.service(&flight.service).unwrap_or(&unknown);
        copy.correct_views(&flight.service, now);
        let estimates = copy.estimates(&flight, service, now).endpoints.into_iter();
        let endpoints = estimates
            .map(|(state, estimate)| (state.info.id.clone(), estimate))
            .collect();
        Ok(Explanation {
            endpoints,
            rank: flight.rank,
            placement: copy.place(&mut flight, now),
            service: flight.service,
        })
    }
}

/// Returns a request that has just been admitted.
fn hypothetical(config: &Config, query: &Query, now: Time) -> Result<Flight, Unknown> {
    let route = find_route(config, &query.route).ok_or(Unknown::Route)?;
    let organisation = find_organisation(config, &query.organisation)?;
    let mut flight = Flight::new(Arc::clone(route), config.version, now);
    flight.rank = config.rank(route, organisation.as_deref());
    flight.prompt.tokens = query.tokens;
    if let Some(owner) = &organisation {
        flight.target.organisation = Some(owner.name.clone());
        flight.regions.narrow(&owner.regions);
    }
    flight.organisation = organisation;
    Ok(flight)
}

fn find_route<'a>(config: &'a Config, name: &str) -> Option<&'a Arc<Route>> {
    config.routes.iter().find(|route| route.name == name)
}

fn find_organisation(config: &Config, name: &str) -> Result<Option<Arc<Organisation>>, Unknown> {
    if name.is_empty() {
        return Ok(None);
    }
    let mut organisations = config.organisations.iter();
    let found = organisations.find(|organisation| organisation.name == name);
    found.cloned().map(Some).ok_or(Unknown::Organisation)
}
