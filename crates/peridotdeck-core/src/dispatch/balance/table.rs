//! The flows of all services.

use super::Flow;

/// Flows, sorted by the name of the service that they belong to.
#[derive(Clone, Debug, Default)]
pub struct Table {
    flows: Vec<(String, Flow)>,
}

impl Table {
    /// Returns the flow of a service; a service that is unknown has had no changes.
    #[must_use]
    pub fn flow(&self, service: &str) -> Flow {
        let found = self.find(service).ok();
        found.map_or_else(Flow::default, |index| self.flows[index].1)
    }

    /// Returns a mutable reference to the flow of a service; adds the service if it is missing.
    pub fn flow_mut(&mut self, service: &str) -> &mut Flow {
        let index = self.find(service).unwrap_or_else(|index| {
            let flow = (service.to_owned(), Flow::default());
            self.flows.insert(index, flow);
            index
        });
        &mut self.flows[index].1
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.flows
            .binary_search_by(|(known, _)| known.as_str().cmp(service))
    }
}
