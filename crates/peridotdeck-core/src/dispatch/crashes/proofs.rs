//! Times at which endpoints have answered on a subject and stayed up.

use std::time::Duration;

use super::Subject;
use crate::id::Time;

/// Time for which a proof is remembered: longer than any that peers announce.
const RETENTION: Duration = Duration::from_secs(10);

/// Most subjects whose proofs are remembered; beyond it the oldest is forgotten.
const MAX_PROOFS: usize = 4_096;

/// The last proof of each subject, sorted by the subjects' digests.
#[derive(Clone, Debug, Default)]
pub(super) struct Proofs {
    proofs: Vec<(u64, Time)>,
}

impl Proofs {
    pub(super) fn record(&mut self, subject: Subject, at: Time) {
        match self.find(subject) {
            Ok(index) => self.proofs[index].1 = self.proofs[index].1.max(at),
            Err(index) => {
                self.proofs.insert(index, (subject.id(), at));
                self.evict();
            }
        }
    }

    fn evict(&mut self) {
        if self.proofs.len() > MAX_PROOFS
            && let Some(oldest) = (0..self.proofs.len()).min_by_key(|&index| self.proofs[index].1)
        {
            self.proofs.remove(oldest);
        }
    }

    /// Returns the time of a subject's last proof, if it is remembered.
    pub(super) fn last(&self, subject: Subject) -> Option<Time> {
        let index = self.find(subject).ok()?;
        Some(self.proofs[index].1)
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.proofs
            .retain(|(_, at)| now.saturating_sub(*at) < RETENTION);
    }

    fn find(&self, subject: Subject) -> Result<usize, usize> {
        self.proofs
            .binary_search_by_key(&subject.id(), |(id, _)| *id)
    }
}
