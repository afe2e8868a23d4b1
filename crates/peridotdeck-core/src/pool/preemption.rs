//! Interactive work displaces bulk beyond its guaranteed share.

use std::cmp::Reverse;

use peridotdeck_wire::Preempt;

use super::{MAX_PREEMPTIONS, Message, Run, Scheduler};
use crate::{engine, id};

impl Scheduler {
    /// Returns the bulk runs that interactive work may displace.
    pub(super) fn preemptible(&self) -> usize {
        self.victims().count()
    }

    /// Bulk runs beyond each class's guaranteed share, which its oldest runs keep.
    pub(super) fn victims(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| {
            let older = self.runs.iter().filter(|each| {
                each.class == run.class && (each.since, each.attempt) < (run.since, run.attempt)
            });
            run.bulk
                && !run.stopping
                && older.count() >= self.guaranteed(&run.class)
                && self.bears(run)
        })
    }

    pub(super) fn bears(&self, run: &Run) -> bool {
        let at = self
            .preemptions
            .binary_search_by_key(&run.fingerprint, |each| each.0);
        at.map_or(0, |at| self.preemptions[at].1) < MAX_PREEMPTIONS
    }

    /// Returns the slots that a class always gets while it waits.
    pub(super) fn guaranteed(&self, class: &str) -> usize {
        let share = self
            .snapshot
            .class(class)
            .map_or(0, |class| class.min_share_percent);
        let slots: u32 = self.engines.iter().map(engine::State::slots).sum();
        let part = (slots * u32::from(share)) as usize / 100;
        if share > 0 { part.max(1) } else { 0 }
    }

    pub(super) fn running(&self, class: &str) -> usize {
        self.runs.iter().filter(|run| run.class == class).count()
    }

    pub(super) fn preempt(&mut self, now: id::Time, out: &mut Vec<Message>) {
        let free = self.free(now);
        let coming = self.runs.iter().filter(|run| run.stopping).count() + free as usize;
        let wanted = self.waiting_interactive().saturating_sub(coming);
        if wanted == 0 {
            return;
        }
        let mut victims: Vec<(id::Time, id::Attempt)> =
            self.victims().map(|run| (run.since, run.attempt)).collect();
        // The youngest run has the least to generate again.
        victims.sort_by_key(|&key| Reverse(key));
        for (_, attempt) in victims.into_iter().take(wanted) {
            self.stop(attempt, out);
        }
    }

    pub(super) fn stop(&mut self, attempt: id::Attempt, out: &mut Vec<Message>) {
        let Some(run) = self.runs.iter_mut().find(|run| run.attempt == attempt) else {
            return;
        };
        assert!(run.bulk, "an interactive run is never preempted");
        run.stopping = true;
        self.counts.preempted += 1;
        out.push((run.node, Preempt { attempt }.into()));
        match self
            .preemptions
            .binary_search_by_key(&run.fingerprint, |each| each.0)
        {
            Ok(at) => self.preemptions[at].1 += 1,
            Err(at) => self.preemptions.insert(at, (run.fingerprint, 1)),
        }
    }
}
