//! Preemption of bulk runs beyond their guaranteed share, for interactive requests.

use std::cmp::Reverse;

use peridotdeck_wire::Preempt;

use super::{MAX_PREEMPTIONS_PER_REQUEST, Message, Run, Scheduler};
use crate::{engine, id};

impl Scheduler {
    /// Returns the number of bulk runs that may be preempted.
    pub(super) fn preemptible_count(&self) -> usize {
        self.victims().count()
    }

    /// Returns the bulk runs that may be preempted.
    ///
    /// The oldest runs of each class keep its guaranteed slots.
    pub(super) fn victims(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| {
            let older = self.runs.iter().filter(|other| {
                other.class == run.class
                    && (other.started, other.attempt) < (run.started, run.attempt)
            });
            run.bulk
                && !run.stopping
                && older.count() >= self.guaranteed_slots(&run.class)
                && self.has_preemptions_left(run)
        })
    }

    /// Returns whether the request may be preempted once more.
    pub(super) fn has_preemptions_left(&self, run: &Run) -> bool {
        let index = self
            .preemptions
            .binary_search_by_key(&run.fingerprint, |entry| entry.0);
        index.map_or(0, |index| self.preemptions[index].1) < MAX_PREEMPTIONS_PER_REQUEST
    }

    /// Returns the number of slots that a class always gets while it has waiting requests.
    pub(super) fn guaranteed_slots(&self, class: &str) -> usize {
        let share = self
            .snapshot
            .class(class)
            .map_or(0, |class| class.min_share_percent);
        let slots: u32 = self.engines.iter().map(engine::State::slots).sum();
        let part = (slots * u32::from(share)) as usize / 100;
        if share > 0 { part.max(1) } else { 0 }
    }

    pub(super) fn running_count(&self, class: &str) -> usize {
        self.runs.iter().filter(|run| run.class == class).count()
    }

    /// Preempts as many bulk runs as waiting interactive requests need slots.
    pub(super) fn preempt_bulk(&mut self, now: id::Time, out: &mut Vec<Message>) {
        let free = self.total_free(now);
        let pending = self.runs.iter().filter(|run| run.stopping).count() + free as usize;
        let needed = self.queued_interactive().saturating_sub(pending);
        if needed == 0 {
            return;
        }
        let mut victims: Vec<(id::Time, id::Attempt)> = self
            .victims()
            .map(|run| (run.started, run.attempt))
            .collect();
        // The youngest run has the fewest tokens to generate again.
        victims.sort_by_key(|&key| Reverse(key));
        for (_, attempt) in victims.into_iter().take(needed) {
            self.preempt_run(attempt, out);
        }
    }

    /// Sends the preemption of one bulk run to its entry node and counts it.
    ///
    /// # Panics
    /// Panics if the run is interactive, which is a bug in this program.
    pub(super) fn preempt_run(&mut self, attempt: id::Attempt, out: &mut Vec<Message>) {
        let Some(run) = self.runs.iter_mut().find(|run| run.attempt == attempt) else {
            return;
        };
        assert!(run.bulk, "an interactive run was selected for preemption");
        run.stopping = true;
        self.counts.preempted += 1;
        out.push((run.node, Preempt { attempt }.into()));
        match self
            .preemptions
            .binary_search_by_key(&run.fingerprint, |entry| entry.0)
        {
            Ok(index) => self.preemptions[index].1 += 1,
            Err(index) => self.preemptions.insert(index, (run.fingerprint, 1)),
        }
    }
}
