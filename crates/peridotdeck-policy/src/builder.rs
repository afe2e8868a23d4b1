//! The builder that operators' programs use.

use crate::{Class, Config, Error, Organisation, Parts, Place, Service, Snapshot, split};

/// A configuration under construction.
///
/// Methods only collect; [`Policy::build`] checks the whole and names every mistake.
#[derive(Clone, Debug)]
pub struct Policy {
    config: Config,
    next_endpoint: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}

impl Policy {
    /// Starts an empty configuration.
    #[must_use]
    pub fn new() -> Self {
        Self {
            config: Config {
                classes: Vec::new(),
                places: Vec::new(),
                organisations: Vec::new(),
                services: Vec::new(),
            },
            next_endpoint: 1,
        }
    }

    /// Adds a data centre that stands in a region.
    #[must_use]
    pub fn place(mut self, name: &str, region: &str) -> Self {
        self.config.places.push(Place {
            name: name.to_owned(),
            region: region.to_owned(),
            out: false,
        });
        self
    }

    /// Marks a data centre as taken out of service.
    #[must_use]
    pub fn take_out(mut self, name: &str) -> Self {
        for place in &mut self.config.places {
            place.out |= place.name == name;
        }
        self
    }

    /// Adds a class of requests.
    #[must_use]
    pub fn class(mut self, class: Class) -> Self {
        self.config.classes.push(class);
        self
    }

    /// Adds a customer.
    #[must_use]
    pub fn organisation(mut self, organisation: Organisation) -> Self {
        self.config.organisations.push(organisation);
        self
    }

    /// Adds a service and numbers its endpoints that have no number yet.
    #[must_use]
    pub fn service(mut self, mut service: Service) -> Self {
        for endpoint in &mut service.endpoints {
            if endpoint.id == 0 {
                endpoint.id = self.next_endpoint;
            }
            self.next_endpoint = self.next_endpoint.max(endpoint.id) + 1;
        }
        self.config.services.push(service);
        self
    }

    /// Checks the configuration and returns it.
    ///
    /// # Errors
    /// Lists every mistake with the name that it concerns.
    pub fn build(self) -> Result<Config, Vec<Error>> {
        Snapshot::new(self.config.clone())?;
        Ok(self.config)
    }

    /// Checks the configuration and prints it as the JSON object of parts to publish.
    ///
    /// # Errors
    /// Lists every mistake with the name that it concerns.
    pub fn print(self) -> Result<String, Vec<Error>> {
        let parts: Parts = split(&self.build()?);
        Ok(format!("{:#}", serde_json::json!(parts)))
    }
}
