//! Exponentially weighted running means, stored by name.

/// Weight of the newest sample in a running mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// Running values, sorted by the name of the route or service that they belong to.
#[derive(Clone, Debug)]
pub struct Table {
    start: f64,
    values: Vec<(String, f64)>,
}

impl Table {
    /// Creates a table in which every name without a sample has the value `start`.
    #[must_use]
    pub fn new(start: f64) -> Self {
        Self {
            start,
            values: Vec::new(),
        }
    }

    /// Returns the value of a name, or the start value.
    #[must_use]
    pub fn value(&self, name: &str) -> f64 {
        let found = self.find(name).ok();
        found.map_or(self.start, |index| self.values[index].1)
    }

    /// Adds a sample and returns the mean before the sample.
    pub fn add_sample(&mut self, name: &str, sample: f64) -> f64 {
        let value = self.value_mut(name);
        let old = *value;
        *value += NEWEST_WEIGHT * (sample - old);
        old
    }

    /// Returns a mutable reference to the value of a name; adds the name if it is missing.
    pub fn value_mut(&mut self, name: &str) -> &mut f64 {
        let index = self.find(name).unwrap_or_else(|index| {
            self.values.insert(index, (name.to_owned(), self.start));
            index
        });
        &mut self.values[index].1
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.values
            .binary_search_by(|(known, _)| known.as_str().cmp(name))
    }
}
