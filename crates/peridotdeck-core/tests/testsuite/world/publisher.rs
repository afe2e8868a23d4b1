//! The publisher, which nodes may not reach.

use peridotdeck_core::dispatch::{
    due::SnapshotRequest,
    registry::{self, Area, Fact},
};

use super::{Endpoint, World, address};
use crate::dispatch::report;

impl World {
    /// Replaces the listed endpoints at all nodes; those that are not given are gone.
    pub fn publish(&mut self, infos: Vec<registry::Endpoint>) {
        self.revision += 1;
        self.endpoints = infos.into_iter().map(Endpoint::new).collect();
        for node in 0..self.nodes.len() {
            if !self.stopped.contains(&node) && !self.deaf.contains(&node) {
                self.report_to(node);
            }
        }
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

    /// Answers the nodes that have asked for the listed endpoints of now.
    pub(super) fn answer_reads(&mut self) {
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
