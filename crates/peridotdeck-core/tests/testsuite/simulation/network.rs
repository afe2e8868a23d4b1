//! The network between nodes, which delays, loses and duplicates messages.

use std::time::Duration;

use peridotdeck_core::{Event, id};
use peridotdeck_policy::digest_name;
use peridotdeck_wire::{Body, Envelope, Member};
use rand::Rng;

use super::Simulation;

/// Faults of the network between nodes.
#[derive(Clone, Copy, Default)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
    /// Longest delivery time in ms; each message's time is random between 0 and this.
    pub max_delay_ms: u64,
}

/// A message that is still on its way.
pub(super) struct Message {
    due: Duration,
    to: id::Node,
    envelope: Envelope,
}

impl Simulation {
    pub(super) fn send_message(&mut self, vm: usize, to: &Member, body: Body) {
        let from = &mut self.vms[vm];
        from.sequence += 1;
        let envelope = Envelope {
            sender: from.id,
            incarnation: from.incarnation,
            place: digest_name(&from.data_centre) as u32,
            sequence: from.sequence,
            body,
        };
        let is_partitioned = from.data_centre != to.place
            && (self.partitioned.contains(&from.data_centre)
                || self.partitioned.contains(&to.place));
        if is_partitioned || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.network.max_delay_ms));
            let message = Message {
                due: self.now + delay,
                to: to.node,
                envelope: envelope.clone(),
            };
            self.messages.push(message);
        }
    }

    pub(super) fn deliver_messages(&mut self) {
        let now = self.now;
        let paused: Vec<id::Node> = (0..self.vms.len())
            .filter(|&vm| self.is_paused(vm))
            .map(|vm| self.vms[vm].id)
            .collect();
        let due = |message: &mut Message| message.due <= now && !paused.contains(&message.to);
        let messages: Vec<Message> = self.messages.extract_if(.., due).collect();
        for message in messages {
            if let Some(vm) = self.vms.iter().position(|vm| vm.id == message.to) {
                self.handle_event(vm, Event::Message(message.envelope));
            }
        }
    }
}
