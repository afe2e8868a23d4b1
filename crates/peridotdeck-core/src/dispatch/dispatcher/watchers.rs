//! The nodes of a data centre that watch the publisher for all of it.
//!
//! Two do in calm. They may lose the publisher while others still reach it, so each node keeps how long
//! ago the publisher has confirmed what it knows, by its own reads or those that peers tell of. Where
//! that is too long, further nodes watch, one after the other, until one of them reads something.

use std::time::Duration;

use peridotdeck_wire::beat::Beat;

use super::Dispatcher;
use crate::{
    dispatch::{
        Key,
        registry::{Ages, Area, Position},
    },
    id::Time,
};

/// Nodes of a data centre that watch the publisher, so that one may fail or be refused.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Shortest time between two watches of the first watcher of a data centre that found changes.
///
/// Changes that follow each other closely are then answered together.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two watches of the other watchers that found changes.
///
/// They matter only while the first one cannot read the publisher.
const STANDBY_WATCH_INTERVAL: Duration = Duration::from_millis(1_200);

/// Key that ranks the nodes of a data centre, to choose those that watch the publisher.
const WATCHER_RANKING_KEY: Key = 0x7761_7463;

/// Age of what a node knows at which the next node begins to watch.
///
/// A watch without changes is answered after seconds, but those of a fleet's many watchers end at
/// different times. With few watchers a further node may watch in calm.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Time added to an age that a peer tells, for its way here.
///
/// Without it, ages would shrink as nodes pass them on to each other.
const HOP_TIME: Duration = Duration::from_millis(50);

/// Further age for each node that comes before, so that not all begin at once.
const AGE_STEP: Duration = Duration::from_millis(200);

/// Time for which a node goes on watching after its knowledge was last too old.
const TERM: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Returns whether this node watches the publisher itself, instead of fetching from peers.
    #[must_use]
    pub fn is_watcher(&self, now: Time) -> bool {
        self.watch_interval(now).is_some()
    }

    /// Returns the shortest time between two watches that found changes, if this node watches.
    #[must_use]
    pub fn watch_interval(&self, now: Time) -> Option<Duration> {
        let rank = self.fleet.rank(WATCHER_RANKING_KEY, now);
        if self.registry.config().is_none() || rank == Some(0) {
            return Some(WATCH_INTERVAL);
        }
        let is_watcher = rank.is_some_and(|rank| rank < WATCHERS_PER_DATA_CENTRE);
        (is_watcher || now < self.watches_until).then_some(STANDBY_WATCH_INTERVAL)
    }

    /// Begins to watch once the publisher has confirmed nothing to any watcher for too long.
    ///
    /// Returns the age of what this node knows if it begins now.
    pub(super) fn begin_watch(&mut self, now: Time) -> Option<Duration> {
        let rank = self.fleet.rank(WATCHER_RANKING_KEY, now)?;
        let before = rank.checked_sub(WATCHERS_PER_DATA_CENTRE)?;
        let ages = [Area::Policy, Area::Roster].map(|area| self.registry.age(area, now));
        let age = ages.into_iter().max().unwrap_or_default();
        if age < MAX_AGE + AGE_STEP * before as u32 {
            return None;
        }
        let begins = now >= self.watches_until;
        self.watches_until = now + TERM;
        begins.then_some(age)
    }

    /// Records how long ago the publisher has confirmed to a peer what its heartbeat names.
    ///
    /// It says nothing of a later or an earlier position than this node's, and nothing if the heartbeat
    /// may have waited while this node stood still.
    pub fn receive_ages(&mut self, beat: &Beat, ages: Ages, now: Time) {
        if !self.fleet.reads_promptly(now) {
            return;
        }
        for (area, position) in [(Area::Policy, &beat.policy), (Area::Roster, &beat.roster)] {
            let position = Position::new(position.era, position.revision);
            if position == self.registry.progress(area).changed {
                let at = now.saturating_sub(ages.of(area) + HOP_TIME);
                self.registry.confirm(area, at);
            }
        }
    }
}
