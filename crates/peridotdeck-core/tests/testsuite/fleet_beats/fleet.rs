//! A fleet of nodes that exchange heartbeats without delay.

use std::time::Duration;

use peridotdeck_core::dispatch::{Dispatcher, Node, registry::Ages};
use peridotdeck_wire::{beat::Beat, pack, unpack};

use crate::dispatch::{copies, ms, node};

/// Nodes whose heartbeats arrive at once, except to and from the nodes in `cut`.
pub struct Fleet {
    pub nodes: Vec<(Node, Dispatcher)>,
    pub cut: Vec<Node>,
    /// Bytes of all heartbeats sent, delivered or not.
    pub bytes: usize,
}

impl Fleet {
    pub fn new(nodes: Vec<Dispatcher>) -> Self {
        let numbered = nodes.into_iter().enumerate();
        Self {
            nodes: numbered
                .map(|(index, dispatcher)| (node(index as u8 + 1), dispatcher))
                .collect(),
            cut: Vec::new(),
            bytes: 0,
        }
    }

    pub fn run(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(25) {
            for sender in 0..self.nodes.len() {
                let due = self.nodes[sender].1.tick(ms(now_ms));
                for (to, heartbeat) in copies(due.heartbeats) {
                    self.deliver(sender, to, &heartbeat, ms(now_ms));
                    self.tell(to, &heartbeat, due.ages, ms(now_ms));
                }
            }
        }
    }

    /// Tells a node how old the news of a heartbeat is, unless one of the two is cut off.
    fn tell(&mut self, to: Node, heartbeat: &Beat, ages: Ages, now: Duration) {
        if self.cut.contains(&to) || self.cut.contains(&Node::from(heartbeat.node)) {
            return;
        }
        let receiver = self.nodes.iter_mut().find(|(node, _)| *node == to);
        if let Some((_, dispatcher)) = receiver {
            dispatcher.receive_ages(heartbeat, ages, now);
        }
    }

    pub fn deliver(&mut self, sender: usize, to: Node, heartbeat: &Beat, now: Duration) {
        let bytes = pack(heartbeat).expect("fits a datagram");
        self.bytes += bytes.len();
        if self.cut.contains(&to) || self.cut.contains(&self.nodes[sender].0) {
            return;
        }
        let heartbeat = unpack(&bytes).expect("the encoding that was just packed");
        let Some(index) = self.nodes.iter().position(|(node, _)| *node == to) else {
            return;
        };
        for response in self.nodes[index].1.receive(&heartbeat, now).0 {
            self.nodes[sender].1.receive(&response, now);
        }
    }
}
