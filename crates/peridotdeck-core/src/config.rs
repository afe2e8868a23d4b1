//! The configuration in force and how newer ones come into force.
//!
//! Revisions only grow. A newer set of parts is joined and checked as a whole; with a mistake in it
//! the old configuration stays in force and the mistake is reported. Parts travel as deltas, from
//! the configuration service to a few watchers and from node to node.

use std::sync::Arc;

use peridotdeck_policy::{Snapshot, join};
use peridotdeck_wire::Part;

use crate::id;

/// Parts by key and the checked configuration that they form.
#[derive(Clone, Debug, Default)]
pub struct Store {
    parts: Vec<Part>,
    revision: id::Revision,
    snapshot: Option<Arc<Snapshot>>,
    rejected: id::Revision,
}

/// What came of a delta.
#[derive(Clone, Debug)]
pub enum Change {
    /// It is not newer, or has been rejected before.
    Old,
    /// It begins after the revision in force, so parts are missing.
    Gap,
    /// It is in force.
    Adopted(Arc<Snapshot>),
    /// It has mistakes; the old configuration stays in force.
    Rejected(Vec<String>),
}

impl Store {
    /// Returns the revision in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the highest revision that was refused.
    #[must_use]
    pub fn rejected_revision(&self) -> id::Revision {
        self.rejected
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns all parts that changed after a revision.
    #[must_use]
    pub fn parts_since(&self, revision: id::Revision) -> Vec<Part> {
        self.parts
            .iter()
            .filter(|part| part.revision > revision)
            .cloned()
            .collect()
    }

    /// Applies the parts that changed after `from` up to `to`.
    ///
    /// # Panics
    /// If a configuration would revert, which is a fault of this program.
    pub fn apply(&mut self, from: id::Revision, to: id::Revision, parts: &[Part]) -> Change {
        if to <= self.revision || to <= self.rejected {
            return Change::Old;
        }
        if from > self.revision {
            return Change::Gap;
        }
        let merged = self.merge(parts);
        match check(&merged) {
            Ok(snapshot) => {
                assert!(to > self.revision, "a configuration never reverts");
                let snapshot = Arc::new(snapshot);
                self.parts = merged;
                self.revision = to;
                self.snapshot = Some(Arc::clone(&snapshot));
                Change::Adopted(snapshot)
            }
            Err(errors) => {
                self.rejected = to;
                Change::Rejected(errors)
            }
        }
    }

    fn merge(&self, parts: &[Part]) -> Vec<Part> {
        let mut merged = self.parts.clone();
        for part in parts {
            match merged.binary_search_by(|each| each.key.cmp(&part.key)) {
                Ok(at) if merged[at].revision < part.revision => merged[at] = part.clone(),
                Ok(_) => {}
                Err(at) => merged.insert(at, part.clone()),
            }
        }
        merged
    }
}

fn check(parts: &[Part]) -> Result<Snapshot, Vec<String>> {
    let present = parts.iter().filter(|part| !part.value.is_empty());
    let pairs = present.map(|part| (part.key.as_str(), part.value.as_str()));
    let config = join(pairs).map_err(|error| vec![error.to_string()])?;
    Snapshot::new(config).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}
