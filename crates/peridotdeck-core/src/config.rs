//! The configuration in force, and how a newer revision replaces it.
//!
//! Revisions only grow. A newer set of parts is joined and checked as a whole. If the check finds
//! errors, the old configuration stays in force and the errors are reported. A part that cannot be
//! read is left out, and what was read at its key before stays in force. Parts are sent as
//! deltas: from the configuration service to a few watching nodes, then from node to node.

use std::sync::Arc;

use peridotdeck_policy::{Snapshot, join};
use peridotdeck_wire::Part;

use crate::id;

/// The configuration's parts, sorted by key, and the checked snapshot that they form.
#[derive(Clone, Debug, Default)]
pub struct Store {
    parts: Vec<Part>,
    revision: id::Revision,
    snapshot: Option<Arc<Snapshot>>,
    rejected: id::Revision,
}

/// Result of applying a delta.
#[derive(Clone, Debug)]
pub enum Change {
    /// The delta is not newer than the revision in force, or it was rejected before.
    Old,
    /// The delta starts after the revision in force, so parts are missing.
    Gap,
    /// The new configuration is in force.
    Adopted(Arc<Snapshot>),
    /// The new configuration has these errors; the old one stays in force.
    Rejected(Vec<String>),
}

impl Store {
    /// Returns the revision in force, or 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the newest revision that was rejected, or 0 if none was.
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

    /// Applies the parts that changed after revision `from`, up to revision `to`.
    ///
    /// # Panics
    /// Panics if the revision would go back, which is a bug in this program.
    pub fn apply(&mut self, from: id::Revision, to: id::Revision, parts: &[Part]) -> Change {
        if to <= self.revision || to <= self.rejected {
            return Change::Old;
        }
        if from > self.revision {
            return Change::Gap;
        }
        let merged = self.merge(parts);
        match build_snapshot(&merged) {
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
        for part in parts.iter().filter(|part| is_readable(part)) {
            match merged.binary_search_by(|present| present.key.cmp(&part.key)) {
                Ok(index) if merged[index].revision < part.revision => merged[index] = part.clone(),
                Ok(_) => {}
                Err(index) => merged.insert(index, part.clone()),
            }
        }
        merged
    }
}

/// Returns whether a part can be read by itself; logs one that cannot.
///
/// Another writer's part must not hold up all later revisions.
fn is_readable(part: &Part) -> bool {
    /// Most characters of a cause that are logged.
    const MAX_CHARACTERS: usize = 200;
    let pair = (part.key.as_str(), part.value.as_str());
    let cause = match join(std::iter::once(pair)) {
        Err(cause) if !part.value.is_empty() => cause.to_string(),
        _ => return true,
    };
    let cause = cause.chars().flat_map(char::escape_debug);
    log::warn!(
        "event=part_unusable revision={} cause=\"{}\"",
        part.revision,
        cause.take(MAX_CHARACTERS).collect::<String>()
    );
    false
}

/// Joins the parts and checks the result; an empty value marks a removed part.
fn build_snapshot(parts: &[Part]) -> Result<Snapshot, Vec<String>> {
    let present = parts.iter().filter(|part| !part.value.is_empty());
    let pairs = present.map(|part| (part.key.as_str(), part.value.as_str()));
    let config = join(pairs).map_err(|error| vec![error.to_string()])?;
    Snapshot::new(config).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}
