//! The slots of an endpoint: how many the owner may use, and how many are in use.

use std::time::Duration;

use super::{ABORTED_STREAM_LINGER, Phase, State};
use crate::id;

/// Finished requests that raise the limit of a cold endpoint by one slot.
const FINISHED_PER_COLD_SLOT: u32 = 2;

/// Period whose highest load is stored as one sample.
const LOAD_SAMPLE_PERIOD: Duration = Duration::from_millis(250);

/// Age after which a load report is ignored; a younger one may show load that is as old.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

impl State {
    /// Returns how many requests this owner may have at the endpoint now.
    ///
    /// Load from other nodes counts against the limit. While the owner is `settling`, cold
    /// endpoints get nothing, so that two owners together never exceed the cold limit.
    #[must_use]
    pub fn limit(&self, now: id::Time, settling: bool) -> u32 {
        if !self.open {
            return 0;
        }
        let limit = match self.phase {
            Phase::Warm => self.endpoint.slots,
            Phase::Cold { .. } if settling => 0,
            Phase::Cold { finished } => self
                .cold_limit(finished)
                .saturating_sub(self.lingering_streams(now)),
            Phase::Slow => 1,
            Phase::Down { .. } => 0,
        };
        limit.saturating_sub(self.foreign_load(now))
    }

    /// Returns the number of aborted streams that may still run.
    ///
    /// A warm endpoint can bear them; a cold one may not.
    fn lingering_streams(&self, now: id::Time) -> u32 {
        self.aborted
            .iter()
            .filter(|&&at| now.saturating_sub(at) < ABORTED_STREAM_LINGER)
            .count() as u32
    }

    /// Returns the reported load that this owner has not granted.
    ///
    /// It comes from a previous owner, or from a node that cannot report the slots that it holds.
    /// A report may be late, so it is compared with this owner's highest load in the meantime.
    fn foreign_load(&self, now: id::Time) -> u32 {
        let Some((report, at)) = self.report else {
            return 0;
        };
        if now.saturating_sub(at) > MAX_REPORT_AGE {
            return 0;
        }
        let most = self
            .peak_loads
            .iter()
            .map(|(_, load)| *load)
            .max()
            .unwrap_or(0);
        (report.running + report.queued).saturating_sub(most.max(self.in_flight))
    }

    /// Records the highest load of each [`LOAD_SAMPLE_PERIOD`].
    ///
    /// The samples reach back to the oldest load that a report may still show.
    fn record_load(&mut self, now: id::Time) {
        let old = self
            .peak_loads
            .partition_point(|(at, _)| now.saturating_sub(*at) > MAX_REPORT_AGE);
        // The last expired sample still held when the window began.
        self.peak_loads.drain(..old.saturating_sub(1));
        match self.peak_loads.last_mut() {
            Some((at, most)) if now.saturating_sub(*at) < LOAD_SAMPLE_PERIOD => {
                *most = (*most).max(self.in_flight);
            }
            _ => self.peak_loads.push((now, self.in_flight)),
        }
    }

    /// Returns the free slots.
    #[must_use]
    pub fn free(&self, now: id::Time, settling: bool) -> u32 {
        self.limit(now, settling).saturating_sub(self.in_flight)
    }

    pub(super) fn cold_limit(&self, finished: u32) -> u32 {
        let earned = self.endpoint.cold_slots + finished / FINISHED_PER_COLD_SLOT;
        earned.min(self.endpoint.slots)
    }

    /// Takes a slot, and records the prefix that the endpoint will cache; 0 means none.
    pub fn take_slot(&mut self, prefix: u64, now: id::Time) {
        self.in_flight += 1;
        self.record_load(now);
        if prefix != 0 {
            self.record_prefix(prefix, now);
        }
    }

    /// Counts a slot that is already in use, as reported by the node that holds it or the last
    /// owner.
    pub fn adopt_slot(&mut self, now: id::Time) {
        self.in_flight += 1;
        self.record_load(now);
    }

    /// Frees a slot without an outcome, as when its holder has disappeared.
    ///
    /// # Panics
    /// Panics if no slot is in use, which is a bug in this program.
    pub fn release_slot(&mut self, now: id::Time) {
        assert!(
            self.in_flight > 0,
            "endpoint {} has no slot in use that could be released",
            self.endpoint.id
        );
        self.in_flight -= 1;
        self.record_load(now);
    }
}
