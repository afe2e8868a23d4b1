//! Checks on received messages: known sender, current incarnation, no replay.

use peridotdeck_policy::digest_name;
use peridotdeck_wire::{Body, Envelope};
use strum::{Display, IntoStaticStr};

use crate::{id, membership::View};

/// Sequence numbers by which a late message may lag behind the newest of its sender.
const REPLAY_WINDOW: u64 = 128;

/// Reason for which a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// The sender is not in the VM list.
    Unknown,
    /// The message names another data centre than the VM list does, or comes from this node.
    Foreign,
    /// The sender has restarted since it sent the message.
    Stale,
    /// The message was received before, or is too old for this to be known.
    Replayed,
}

/// Counts of dropped messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// Messages of senders that are not in the VM list.
    pub unknown: u64,
    /// Messages that name another data centre than the VM list does, or come from this node.
    pub foreign: u64,
    /// Messages of earlier incarnations of their senders.
    pub stale: u64,
    /// Messages received before, or too old for this to be known.
    pub replayed: u64,
}

#[derive(Clone, Debug)]
struct Sender {
    node: id::Node,
    incarnation: id::Incarnation,
    /// Highest sequence number received.
    newest: u64,
    /// Bit `n` is set if sequence number `newest - n` was received.
    received: u128,
}

/// Accepts or drops messages by the newest incarnation and sequence numbers of each sender.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    senders: Vec<Sender>,
    drops: Drops,
}

impl Filter {
    /// Returns the counts of dropped messages.
    #[must_use]
    pub fn drops(&self) -> Drops {
        self.drops
    }

    /// Accepts a message and returns whether its sender has restarted since its last message.
    ///
    /// A node without a VM list accepts only the answer to its own fetch, which echoes `nonce`.
    ///
    /// # Errors
    /// Returns the reason why the message must be dropped, after counting it.
    pub fn accept(
        &mut self,
        envelope: &Envelope,
        view: &View,
        nonce: u64,
    ) -> Result<bool, DropReason> {
        let result = self.check(envelope, view, nonce);
        match result {
            Ok(_) => {}
            Err(DropReason::Unknown) => self.drops.unknown += 1,
            Err(DropReason::Foreign) => self.drops.foreign += 1,
            Err(DropReason::Stale) => self.drops.stale += 1,
            Err(DropReason::Replayed) => self.drops.replayed += 1,
        }
        result
    }

    fn check(&mut self, envelope: &Envelope, view: &View, nonce: u64) -> Result<bool, DropReason> {
        if view.vm_list_revision() == 0 {
            let is_awaited =
                matches!(&envelope.body, Body::Delta(delta) if delta.nonce == nonce && nonce != 0);
            return if is_awaited {
                Ok(false)
            } else {
                Err(DropReason::Unknown)
            };
        }
        let member = view.member(envelope.sender).ok_or(DropReason::Unknown)?;
        if envelope.sender == view.local_node()
            || digest_name(&member.place) as u32 != envelope.place
        {
            return Err(DropReason::Foreign);
        }
        self.check_sequence(envelope)
    }

    fn check_sequence(&mut self, envelope: &Envelope) -> Result<bool, DropReason> {
        let index = match self
            .senders
            .binary_search_by_key(&envelope.sender, |sender| sender.node)
        {
            Ok(index) => index,
            Err(index) => {
                self.senders.insert(index, Sender::new(envelope));
                return Ok(false);
            }
        };
        let sender = &mut self.senders[index];
        if envelope.incarnation < sender.incarnation {
            return Err(DropReason::Stale);
        }
        if envelope.incarnation > sender.incarnation {
            *sender = Sender::new(envelope);
            return Ok(true);
        }
        sender.record(envelope.sequence)?;
        Ok(false)
    }
}

impl Sender {
    fn new(envelope: &Envelope) -> Self {
        Self {
            node: envelope.sender,
            incarnation: envelope.incarnation,
            newest: envelope.sequence,
            received: 1,
        }
    }

    fn record(&mut self, sequence: u64) -> Result<(), DropReason> {
        if sequence > self.newest {
            let ahead = sequence - self.newest;
            self.received = if ahead < REPLAY_WINDOW {
                self.received << ahead
            } else {
                0
            } | 1;
            self.newest = sequence;
            return Ok(());
        }
        let behind = self.newest - sequence;
        let bit = if behind < REPLAY_WINDOW {
            1_u128 << behind
        } else {
            return Err(DropReason::Replayed);
        };
        if self.received & bit != 0 {
            return Err(DropReason::Replayed);
        }
        self.received |= bit;
        Ok(())
    }
}
