//! Regions in which a request may be served.
//!
//! Data of some routes and organisations may not leave certain regions. Which ones these are may change
//! while a request waits, or between two of its attempts. So they are checked twice: where an endpoint
//! is chosen, and just before a request is written, which only a [`Clearance`] allows. See
//! `docs/design/REGIONS.md`.

use std::{fmt, net::SocketAddrV4};

use quick_error::quick_error;

use super::Node;

quick_error! {
    /// Why a request may not be written to the endpoint that it was assigned to.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Denial {
        /// The endpoint is not known any more, and so neither is its region.
        Unknown {
            display("the endpoint's region is not known")
        }
        /// The endpoint is in a region that may not serve the request.
        Endpoint(region: String) {
            display("the endpoint is in region {region}")
        }
        /// The endpoint has another address than the one to which the connection leads.
        Moved(address: SocketAddrV4) {
            display("the endpoint has moved to {address}")
        }
        /// The peer that would pass the request on is in a region that may not see it.
        Peer(peer: Node) {
            display("peer {peer} is in another region")
        }
        /// The endpoint from which cached parts of the prompt would be fetched may not hold them.
        Source {
            display("the cached prompt is in another region")
        }
    }
}

/// Permission to write a request to the endpoint that it was assigned to, for the moment.
///
/// Only [`Dispatcher::clear`](super::Dispatcher::clear) gives it, after it has compared the regions in
/// force with those of all that would see the request.
#[derive(Debug)]
pub struct Clearance(());

impl Clearance {
    /// Creates the permission; only for the check of the regions.
    pub(super) fn new() -> Self {
        Self(())
    }
}

/// Most names of a set that are written to the log.
const MAX_SHOWN: usize = 8;

/// Regions that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Set {
    /// Names of the regions, or nothing if all may.
    names: Option<Vec<String>>,
}

impl Set {
    /// Removes the regions that a route or an organisation does not list; an empty list allows all.
    pub fn narrow(&mut self, listed: &[String]) {
        if listed.is_empty() {
            return;
        }
        let Some(names) = &mut self.names else {
            let mut names = listed.to_vec();
            names.sort_unstable();
            names.dedup();
            self.names = Some(names);
            return;
        };
        names.retain(|name| listed.contains(name));
    }

    /// Removes the regions that another set does not have.
    pub fn intersect(&mut self, other: &Self) {
        match (&mut self.names, &other.names) {
            (_, None) => {}
            (Some(names), Some(_)) => names.retain(|name| other.allows(name)),
            (None, Some(_)) => self.clone_from(other),
        }
    }

    /// Returns whether a region may serve the request.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        let Some(names) = &self.names else {
            return true;
        };
        let found = names.binary_search_by(|name| name.as_str().cmp(region));
        found.is_ok()
    }

    /// Returns whether all regions may serve the request.
    #[must_use]
    pub fn is_all(&self) -> bool {
        self.names.is_none()
    }
}

impl fmt::Display for Set {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.names {
            None => formatter.write_str("all"),
            Some(names) if names.is_empty() => formatter.write_str("none"),
            Some(names) => {
                let shown = names.len().min(MAX_SHOWN);
                formatter.write_str(&names[..shown].join("+"))?;
                match names.len() - shown {
                    0 => Ok(()),
                    rest => write!(formatter, "+{rest}_more"),
                }
            }
        }
    }
}
