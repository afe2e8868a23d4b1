//! A checked configuration, indexed for the request path.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Class, Config, Endpoint, Error, Organisation, Place, Route, Service, check::check, digest_key,
};

/// Endpoints that one owner schedules together.
///
/// A larger pool places better, a smaller one spreads the owners' work over more nodes;
/// `docs/CAPACITY.md` gives the sums.
const POOL_ENDPOINTS: usize = 8;

/// Returns the digest of a name that stands for it on the wire.
#[must_use]
pub fn digest_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Endpoints of one service in one data centre that share a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Digest of service, place and shard.
    pub id: u64,
    /// Name of the service.
    pub service: String,
    /// Name of the data centre.
    pub place: String,
    /// Numbers of the endpoints, ascending.
    pub endpoints: Vec<u32>,
}

/// A configuration that passed every check, with sorted lists for binary search.
#[derive(Clone, Debug)]
pub struct Snapshot {
    classes: Vec<Class>,
    places: Vec<Place>,
    organisations: Vec<Organisation>,
    services: Vec<Service>,
    endpoints: Vec<Endpoint>,
    keys: Vec<(String, usize)>,
    pools: Vec<Pool>,
}

impl Snapshot {
    /// Checks and indexes a configuration.
    ///
    /// # Errors
    /// Lists every mistake; a configuration with one is refused whole.
    pub fn new(mut config: Config) -> Result<Self, Vec<Error>> {
        let errors = check(&config);
        if !errors.is_empty() {
            return Err(errors);
        }
        config.classes.sort_by(|a, b| a.name.cmp(&b.name));
        config.places.sort_by(|a, b| a.name.cmp(&b.name));
        config.organisations.sort_by(|a, b| a.name.cmp(&b.name));
        config.services.sort_by(|a, b| a.name.cmp(&b.name));
        for service in &mut config.services {
            service
                .routes
                .sort_by_key(|route| usize::MAX - route.prefix.len());
        }
        let mut endpoints: Vec<Endpoint> = config
            .services
            .iter()
            .flat_map(|service| service.endpoints.iter().cloned())
            .collect();
        endpoints.sort_by_key(|endpoint| endpoint.id);
        Ok(Self {
            keys: index_keys(&config.organisations),
            pools: index_pools(&config),
            classes: config.classes,
            places: config.places,
            organisations: config.organisations,
            services: config.services,
            endpoints,
        })
    }

    /// Returns all classes, sorted by name.
    #[must_use]
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// Returns all data centres, sorted by name.
    #[must_use]
    pub fn places(&self) -> &[Place] {
        &self.places
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns all customers, sorted by name.
    #[must_use]
    pub fn organisations(&self) -> &[Organisation] {
        &self.organisations
    }

    /// Returns all pools, sorted by id.
    #[must_use]
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Finds a class by name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        find(&self.classes, name, |class| &class.name)
    }

    /// Finds a data centre by name.
    #[must_use]
    pub fn place(&self, name: &str) -> Option<&Place> {
        find(&self.places, name, |place| &place.name)
    }

    /// Finds a customer by name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        find(&self.organisations, name, |each| &each.name)
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name, |service| &service.name)
    }

    /// Finds an endpoint by number.
    #[must_use]
    pub fn endpoint(&self, id: u32) -> Option<&Endpoint> {
        let at = self.endpoints.binary_search_by_key(&id, |each| each.id);
        at.ok().map(|at| &self.endpoints[at])
    }

    /// Finds a pool by id.
    #[must_use]
    pub fn pool(&self, id: u64) -> Option<&Pool> {
        let at = self.pools.binary_search_by_key(&id, |pool| pool.id);
        at.ok().map(|at| &self.pools[at])
    }

    /// Finds the customer that holds a bearer key.
    ///
    /// The lookup compares SHA-256 digests, so its timing tells nothing about any key.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Organisation> {
        let digest = digest_key(key);
        let at = self
            .keys
            .binary_search_by(|(each, _)| each.as_str().cmp(&digest));
        at.ok().map(|at| &self.organisations[self.keys[at].1])
    }

    /// Returns whether new work may go to an endpoint, as far as operators say.
    #[must_use]
    pub fn is_open(&self, endpoint: &Endpoint) -> bool {
        !endpoint.leaving && self.place(&endpoint.place).is_some_and(|place| !place.out)
    }

    /// Returns whether two data centres stand in the same region.
    #[must_use]
    pub fn same_region(&self, one: &str, other: &str) -> bool {
        let region = |name| self.place(name).map(|place| &place.region);
        one == other || (region(one).is_some() && region(one) == region(other))
    }
}

impl Service {
    /// Finds the route of a path below the service; the longest prefix wins.
    #[must_use]
    pub fn route_of(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| matches_prefix(path, &route.prefix))
    }
}

/// Matches whole path segments, so that `/licences` does not cover `/licences-archive`.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| {
        rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
    })
}

fn find<'a, T>(sorted: &'a [T], name: &str, key: impl Fn(&T) -> &String) -> Option<&'a T> {
    let at = sorted.binary_search_by(|each| key(each).as_str().cmp(name));
    at.ok().map(|at| &sorted[at])
}

fn index_keys(organisations: &[Organisation]) -> Vec<(String, usize)> {
    let mut keys = Vec::new();
    for (at, organisation) in organisations.iter().enumerate() {
        keys.extend(
            organisation
                .key_digests
                .iter()
                .map(|digest| (digest.clone(), at)),
        );
    }
    keys.sort_unstable();
    keys
}

fn index_pools(config: &Config) -> Vec<Pool> {
    let mut pools = Vec::new();
    for service in &config.services {
        for place in &config.places {
            let mut ids: Vec<u32> = service
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.place == place.name)
                .map(|endpoint| endpoint.id)
                .collect();
            ids.sort_unstable();
            let shards = ids.len().div_ceil(POOL_ENDPOINTS);
            for shard in 0..shards {
                pools.push(Pool {
                    id: digest_name(&format!("{}/{}/{shard}", service.name, place.name)),
                    service: service.name.clone(),
                    place: place.name.clone(),
                    endpoints: ids.iter().copied().skip(shard).step_by(shards).collect(),
                });
            }
        }
    }
    pools.sort_by_key(|pool| pool.id);
    pools
}
