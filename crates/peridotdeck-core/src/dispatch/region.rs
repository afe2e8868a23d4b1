//! Regions in which a request may be served.
//!
//! Data of some routes and organisations may not leave certain regions. Which ones these are may change
//! while a request waits, or between two of its attempts. See `docs/design/REGIONS.md`.

use std::fmt;

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
            Some(names) => formatter.write_str(&names.join("+")),
        }
    }
}
