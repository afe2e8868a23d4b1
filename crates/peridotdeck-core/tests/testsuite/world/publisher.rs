//! The publisher, which nodes may not reach.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    due::SnapshotRequest,
    registry::{self, Area, Fact},
    stream::Past,
};

use super::{Endpoint, World, address};
use crate::dispatch::report;

/// Time for which the publisher keeps changes.
const HISTORY: Duration = Duration::from_secs(20);

impl World {
    /// Starts nodes without callers, lists such endpoints, and lets the nodes run for a while.
    pub fn beside(
        nodes: usize,
        listed: Vec<registry::Endpoint>,
        seed: u64,
        time: Duration,
    ) -> Self {
        let mut world = Self::new(nodes, 3, seed);
        world.callers.0.clear();
        world.publish(listed);
        world.run(time);
        world
    }

    /// Replaces the listed endpoints at all nodes; those that are not given are gone.
    ///
    /// Those that were not listed before start now.
    pub fn publish(&mut self, mut infos: Vec<registry::Endpoint>) {
        self.revision += 1;
        let old: Vec<_> = self.endpoints.iter().map(|one| one.info.clone()).collect();
        for info in &mut infos {
            let known = old.iter().find(|old| old.id == info.id);
            info.born = known.map_or(self.now.as_millis() as u64, |old| old.born);
        }
        self.keep_changes(&old, &infos);
        self.endpoints = infos.into_iter().map(Endpoint::new).collect();
        for node in 0..self.nodes.len() {
            if !self.stopped.contains(&node) && !self.deaf.contains(&node) {
                self.report_to(node);
            }
        }
    }

    /// Keeps the difference between listed endpoints and those that replace them.
    pub(super) fn keep_changes(&mut self, old: &[registry::Endpoint], new: &[registry::Endpoint]) {
        let is_listed = |id: &str| new.iter().any(|info| info.id == id);
        let new = new.iter().filter(|info| !old.contains(info));
        let was_listed = |id: &str| old.iter().any(|info| info.id == id);
        let new = new.map(|info| Past {
            is_new: !was_listed(&info.id),
            fact: Fact::Endpoint(info.clone()),
        });
        let gone = old.iter().filter(|info| !is_listed(&info.id));
        let gone = gone.map(|info| Past {
            fact: Fact::Gone(info.id.clone()),
            is_new: false,
        });
        let changes: Vec<_> = new.chain(gone).map(|fact| (self.now, fact)).collect();
        self.history.extend(changes);
    }

    /// Reports the listed endpoints to a node.
    pub fn report_to(&mut self, node: usize) {
        let infos = self.endpoints.iter().map(|one| one.info.clone());
        let report = report(
            Area::Roster,
            self.revision,
            true,
            infos.map(Fact::Endpoint).collect(),
        );
        if let Some(node) = &mut self.nodes[node] {
            node.apply_report(report, self.now);
        }
    }

    /// Fetches from peers what a node lacks.
    pub(super) fn fetch(&mut self, index: usize, requests: &[SnapshotRequest]) {
        for request in requests {
            let peer = (u32::from(request.node) - u32::from(address(0))) as usize;
            if self.groups[peer] != self.groups[index] || self.stopped.contains(&peer) {
                continue;
            }
            let Some(node) = &self.nodes[peer] else {
                continue;
            };
            let registry = node.registry();
            let snapshot = registry.snapshot(request.area, request.known, self.now);
            if let Some(node) = &mut self.nodes[index] {
                node.adopt(snapshot, self.now);
            }
        }
    }

    /// Answers the nodes that have asked for the latest changes of the endpoint list.
    fn answer_history_reads(&mut self) {
        let now = self.now;
        self.history
            .retain(|(at, _)| now.saturating_sub(*at) < HISTORY);
        for node in std::mem::take(&mut self.history_reads) {
            let changes = self.history.iter().map(|(_, past)| past.clone());
            let is_deaf = self.deaf.contains(&node);
            if let Some(node) = self.nodes[node].as_mut().filter(|_| !is_deaf) {
                node.record_history(changes.collect(), now);
            }
        }
    }

    /// Answers the nodes that have asked for the listed endpoints of now.
    pub(super) fn answer_reads(&mut self) {
        self.answer_history_reads();
        for (asked, node) in std::mem::take(&mut self.reads) {
            self.read_count += 1;
            if self.deaf.contains(&node) {
                continue;
            }
            self.report_to(node);
            if let Some(node) = &mut self.nodes[node] {
                node.record_confirmation(asked);
            }
        }
    }
}
