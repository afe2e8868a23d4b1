//! Running means by name.

/// Weight of the newest sample.
const NEWEST: f64 = 0.05;

/// Running values of routes or services, sorted by name.
#[derive(Clone, Debug)]
pub struct Table {
    start: f64,
    values: Vec<(String, f64)>,
}

impl Table {
    /// Starts with a value that holds for every name without a sample.
    #[must_use]
    pub fn new(start: f64) -> Self {
        Self {
            start,
            values: Vec::new(),
        }
    }

    /// Returns the value of a name.
    #[must_use]
    pub fn value(&self, name: &str) -> f64 {
        let found = self.find(name).ok();
        found.map_or(self.start, |at| self.values[at].1)
    }

    /// Adds a sample and returns the mean before it.
    pub fn learn(&mut self, name: &str, sample: f64) -> f64 {
        let value = self.value_mut(name);
        let old = *value;
        *value += NEWEST * (sample - old);
        old
    }

    /// Returns the value of a name to be changed.
    pub fn value_mut(&mut self, name: &str) -> &mut f64 {
        let at = self.find(name).unwrap_or_else(|at| {
            self.values.insert(at, (name.to_owned(), self.start));
            at
        });
        &mut self.values[at].1
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.values
            .binary_search_by(|(each, _)| each.as_str().cmp(name))
    }
}
