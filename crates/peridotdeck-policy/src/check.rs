//! Checks that find an operator's mistakes before a configuration is in force.

use std::net::SocketAddr;

use quick_error::quick_error;

use crate::{Class, Config, Endpoint, Kind, Service};

/// Highest tier number; tier 0 is served first.
const MAX_TIER: u8 = 4;

/// Largest number of slots of an endpoint; sums over a pool and percentages of them are computed.
const MAX_SLOTS: u32 = 1 << 20;

/// Largest value of a percentage.
const MAX_PERCENT: u8 = 100;

/// Largest sum of guaranteed shares in percent, so that urgency still decides most of a pool.
const MAX_GUARANTEED: u32 = 50;

quick_error! {
    /// A mistake in a configuration, with the name that it concerns.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Two definitions claim one name.
        Duplicate(kind: &'static str, name: String) {
            display("{kind} \"{name}\" is defined twice: rename or remove one")
        }
        /// A class has no latency target.
        MissingTarget(class: String) {
            display("class \"{class}\" has no target: set first_token_ms or whole_ms")
        }
        /// A name refers to nothing.
        Unknown(holder: String, kind: &'static str, name: String) {
            display("{holder} names unknown {kind} \"{name}\": define it or correct the name")
        }
        /// A number lies outside its range.
        Range(holder: String, key: &'static str, remedy: String) {
            display("{holder}: {key} {remedy}")
        }
        /// A required list is empty.
        Empty(kind: &'static str) {
            display("the configuration has no {kind}: define at least one")
        }
        /// A published part cannot be read.
        Part(key: String, cause: String) {
            display("part \"{key}\": {cause}")
        }
    }
}

/// Returns every mistake of a configuration.
pub(crate) fn check(config: &Config) -> Vec<Error> {
    let mut errors = Vec::new();
    check_present(config, &mut errors);
    check_names(config, &mut errors);
    for class in &config.classes {
        check_class(class, &mut errors);
    }
    let guaranteed: u32 = config
        .classes
        .iter()
        .map(|class| u32::from(class.min_share_percent))
        .sum();
    if guaranteed > MAX_GUARANTEED {
        errors.push(Error::Range(
            "classes".to_owned(),
            "min_share_percent",
            format!("sums to {guaranteed}: keep the sum at {MAX_GUARANTEED} or below"),
        ));
    }
    for organisation in &config.organisations {
        let limits = [
            ("weight", organisation.weight),
            ("requests_per_second", organisation.requests_per_second),
            ("concurrency", organisation.concurrency),
        ];
        for (key, value) in limits {
            check_positive(
                &format!("organisation \"{}\"", organisation.name),
                key,
                value,
                &mut errors,
            );
        }
    }
    for service in &config.services {
        check_service(config, service, &mut errors);
    }
    errors
}

fn check_present(config: &Config, errors: &mut Vec<Error>) {
    let lists = [
        ("classes", config.classes.is_empty()),
        ("places", config.places.is_empty()),
        ("organisations", config.organisations.is_empty()),
        ("services", config.services.is_empty()),
    ];
    for (kind, empty) in lists {
        if empty {
            errors.push(Error::Empty(kind));
        }
    }
}

fn check_names(config: &Config, errors: &mut Vec<Error>) {
    let classes = config.classes.iter().map(|class| class.name.clone());
    let places = config.places.iter().map(|place| place.name.clone());
    let organisations = config.organisations.iter().map(|each| each.name.clone());
    let services = config.services.iter().map(|service| service.name.clone());
    let keys = config
        .organisations
        .iter()
        .flat_map(|each| each.key_digests.clone());
    let endpoints = || {
        config
            .services
            .iter()
            .flat_map(|service| &service.endpoints)
    };
    check_unique("class", classes.collect(), errors);
    check_unique("place", places.collect(), errors);
    check_unique("organisation", organisations.collect(), errors);
    check_unique("service", services.collect(), errors);
    check_unique("key digest", keys.collect(), errors);
    check_unique(
        "endpoint",
        endpoints().map(|each| each.id.to_string()).collect(),
        errors,
    );
    check_unique(
        "endpoint address",
        endpoints().map(|each| each.address.clone()).collect(),
        errors,
    );
}

fn check_unique(kind: &'static str, mut names: Vec<String>, errors: &mut Vec<Error>) {
    names.sort_unstable();
    for pair in names.windows(2) {
        if pair[0] == pair[1] {
            errors.push(Error::Duplicate(kind, pair[0].clone()));
        }
    }
    if names.iter().any(String::is_empty) {
        errors.push(Error::Range(
            kind.to_owned(),
            "name",
            "is empty: give it a name".to_owned(),
        ));
    }
}

fn check_class(class: &Class, errors: &mut Vec<Error>) {
    let holder = format!("class \"{}\"", class.name);
    if class.first_token_ms == 0 && class.whole_ms == 0 {
        errors.push(Error::MissingTarget(class.name.clone()));
    }
    if class.tier > MAX_TIER {
        let remedy = format!("is {}: choose 0 to {MAX_TIER}", class.tier);
        errors.push(Error::Range(holder.clone(), "tier", remedy));
    }
    let percents = [
        ("min_share_percent", class.min_share_percent),
        ("retry_percent", class.retry_percent),
    ];
    for (key, value) in percents {
        if value > MAX_PERCENT {
            let remedy = format!("is {value}: choose 0 to {MAX_PERCENT}");
            errors.push(Error::Range(holder.clone(), key, remedy));
        }
    }
    if class.bulk && class.min_share_percent == 0 {
        let remedy = "is 0: a bulk class needs at least 1, or it can starve".to_owned();
        errors.push(Error::Range(holder, "min_share_percent", remedy));
    }
}

fn check_service(config: &Config, service: &Service, errors: &mut Vec<Error>) {
    let holder = format!("service \"{}\"", service.name);
    let routes = service.routes.iter().map(|route| &route.class);
    for class in routes.chain([&service.class]) {
        if !config.classes.iter().any(|each| each.name == *class) {
            errors.push(Error::Unknown(holder.clone(), "class", class.clone()));
        }
    }
    if service.kind == Kind::Model && !service.routes.is_empty() {
        let remedy = "are for plain services: remove them".to_owned();
        errors.push(Error::Range(holder.clone(), "routes", remedy));
    }
    for route in &service.routes {
        if !route.prefix.starts_with('/') {
            let remedy = format!("\"{}\" must begin with a slash", route.prefix);
            errors.push(Error::Range(holder.clone(), "prefix", remedy));
        }
    }
    for endpoint in &service.endpoints {
        check_endpoint(config, endpoint, errors);
    }
}

fn check_endpoint(config: &Config, endpoint: &Endpoint, errors: &mut Vec<Error>) {
    let holder = format!("endpoint {}", endpoint.id);
    if !config
        .places
        .iter()
        .any(|place| place.name == endpoint.place)
    {
        errors.push(Error::Unknown(
            holder.clone(),
            "place",
            endpoint.place.clone(),
        ));
    }
    if endpoint.address.parse::<SocketAddr>().is_err() {
        let remedy = format!("\"{}\" must be an IP address and a port", endpoint.address);
        errors.push(Error::Range(holder.clone(), "address", remedy));
    }
    if endpoint.cold_slots > endpoint.slots {
        let remedy = format!(
            "is {}: choose at most slots = {}",
            endpoint.cold_slots, endpoint.slots
        );
        errors.push(Error::Range(holder.clone(), "cold_slots", remedy));
    }
    if endpoint.slots > MAX_SLOTS {
        let remedy = format!("is {}: choose at most {MAX_SLOTS}", endpoint.slots);
        errors.push(Error::Range(holder.clone(), "slots", remedy));
    }
    check_positive(&holder, "id", endpoint.id, errors);
    check_positive(&holder, "slots", endpoint.slots, errors);
    check_positive(&holder, "cold_slots", endpoint.cold_slots, errors);
}

fn check_positive(holder: &str, key: &'static str, value: u32, errors: &mut Vec<Error>) {
    if value == 0 {
        let remedy = "is 0: choose 1 or more".to_owned();
        errors.push(Error::Range(holder.to_owned(), key, remedy));
    }
}
