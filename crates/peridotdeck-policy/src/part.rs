//! Splits a configuration into parts that change on their own.
//!
//! One value of the whole fleet would be sent again for every small change; at the size that
//! `docs/CAPACITY.md` computes, that alone exceeds the control budget. Parts follow the subjects
//! that change together: classes, places, groups of customers, single services.

use std::collections::BTreeMap;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{Config, Error, Organisation, Service, digest_name};

/// Published parts by key; each value is a JSON document.
pub type Parts = BTreeMap<String, Value>;

/// Groups over which customers are spread, so that one change resends 1/16 of them.
const ORGANISATION_GROUPS: u64 = 16;

const CLASSES: &str = "classes";
const PLACES: &str = "places";
const ORGANISATIONS: &str = "organisations/";
const SERVICES: &str = "services/";

/// Splits a configuration into its parts.
#[must_use]
pub fn split(config: &Config) -> Parts {
    let mut parts = Parts::new();
    parts.insert(CLASSES.to_owned(), to_value(&config.classes));
    parts.insert(PLACES.to_owned(), to_value(&config.places));
    let mut groups: BTreeMap<String, Vec<&Organisation>> = BTreeMap::new();
    for organisation in &config.organisations {
        let group = digest_name(&organisation.name) % ORGANISATION_GROUPS;
        groups
            .entry(format!("{ORGANISATIONS}{group:02}"))
            .or_default()
            .push(organisation);
    }
    for (key, members) in groups {
        parts.insert(key, to_value(&members));
    }
    for service in &config.services {
        parts.insert(format!("{SERVICES}{}", service.name), to_value(service));
    }
    parts
}

/// Joins parts into one configuration; the caller checks it with [`crate::Snapshot::new`].
///
/// # Errors
/// [`Error::Part`] names a key that is unknown or whose value has another shape.
pub fn join<'a>(parts: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Config, Error> {
    let mut config = Config {
        classes: Vec::new(),
        places: Vec::new(),
        organisations: Vec::new(),
        services: Vec::new(),
    };
    for (key, value) in parts {
        if key == CLASSES {
            config.classes = from_text(key, value)?;
        } else if key == PLACES {
            config.places = from_text(key, value)?;
        } else if key.starts_with(ORGANISATIONS) {
            let mut members: Vec<Organisation> = from_text(key, value)?;
            config.organisations.append(&mut members);
        } else if key.starts_with(SERVICES) {
            let service: Service = from_text(key, value)?;
            config.services.push(service);
        } else {
            return Err(Error::Part(key.to_owned(), "unknown key".to_owned()));
        }
    }
    Ok(config)
}

fn to_value<T: Serialize + ?Sized>(value: &T) -> Value {
    serde_json::to_value(value).expect("configuration types are plain data")
}

fn from_text<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|cause| Error::Part(key.to_owned(), cause.to_string()))
}
