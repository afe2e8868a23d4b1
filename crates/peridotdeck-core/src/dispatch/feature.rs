//! Parts of the placement that a deployment's settings switch on.
//!
//! A node without any of them places requests as described in `docs/design/DISPATCH.md`. Each part
//! has a page of its own in `docs/design/`, and a module that holds its decisions.

use std::{fmt, str::FromStr};

use quick_error::quick_error;
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

quick_error! {
    /// Why a list of parts is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// No part has the name.
        Unknown(name: String) {
            display("no part of the placement is called {name}; write {}", Feature::VARIANTS.join(", "))
        }
    }
}

/// A part of the placement that can be switched on.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Feature {
    /// Late reports of load are corrected by their age, and nodes with the same view choose
    /// differently (`docs/design/BALANCE.md`).
    Balance,
    /// Room that is too small is shared by class, organisation and attempt (`docs/design/SHARES.md`).
    Shares,
    /// An endpoint's lasting speed and its short stalls are told apart (`docs/design/SPEED.md`).
    Speed,
    /// Data centres with much demand send work to those with little (`docs/design/LENDING.md`).
    Lending,
}

/// The parts that are switched on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Set {
    /// Sorted.
    features: Vec<Feature>,
}

impl Set {
    /// Returns whether a part is switched on.
    #[must_use]
    pub fn has(&self, feature: Feature) -> bool {
        self.features.binary_search(&feature).is_ok()
    }
}

impl fmt::Display for Set {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.features.is_empty() {
            return formatter.write_str("none");
        }
        let names: Vec<&str> = self.features.iter().map(Into::into).collect();
        formatter.write_str(&names.join(","))
    }
}

impl FromIterator<Feature> for Set {
    fn from_iter<I: IntoIterator<Item = Feature>>(features: I) -> Self {
        let mut features: Vec<Feature> = features.into_iter().collect();
        features.sort_unstable();
        features.dedup();
        Self { features }
    }
}

impl FromStr for Set {
    type Err = Error;

    /// Reads a list of names that are separated by commas; it may be empty.
    fn from_str(text: &str) -> Result<Self, Error> {
        let names = text.split(',').map(str::trim);
        let names = names.filter(|name| !name.is_empty());
        let parsed = names.map(|name| name.parse().map_err(|_| Error::Unknown(name.to_owned())));
        parsed.collect()
    }
}
