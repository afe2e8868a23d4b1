//! Which messages a node believes.

use peridotdeck_policy::digest_name;
use peridotdeck_wire::{Body, Envelope};
use strum::{Display, IntoStaticStr};

use crate::{id, membership::View};

/// Messages by which a late one may lag behind the newest of its sender.
const WINDOW: u64 = 128;

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Drop {
    /// The sender is not in the VM list.
    Unknown,
    /// The sender names another data centre than the VM list does.
    Foreign,
    /// The sender has restarted since.
    Stale,
    /// The message has come before, or is too old to tell.
    Replayed,
}

/// Counts of dropped messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// Messages of senders that are not in the VM list.
    pub unknown: u64,
    /// Messages that name another data centre than the VM list does.
    pub foreign: u64,
    /// Messages of earlier processes.
    pub stale: u64,
    /// Messages that came before.
    pub replayed: u64,
}

#[derive(Clone, Debug)]
struct Sender {
    node: id::Node,
    incarnation: id::Incarnation,
    newest: u64,
    seen: u128,
}

/// What has come from each sender.
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

    /// Accepts a message and returns whether its sender has restarted.
    ///
    /// A node without a VM list accepts only the answer to its own `nonce`.
    ///
    /// # Errors
    /// Why the message must be ignored; it has been counted.
    pub fn accept(&mut self, envelope: &Envelope, view: &View, nonce: u64) -> Result<bool, Drop> {
        let result = self.examine(envelope, view, nonce);
        match result {
            Ok(_) => {}
            Err(Drop::Unknown) => self.drops.unknown += 1,
            Err(Drop::Foreign) => self.drops.foreign += 1,
            Err(Drop::Stale) => self.drops.stale += 1,
            Err(Drop::Replayed) => self.drops.replayed += 1,
        }
        result
    }

    fn examine(&mut self, envelope: &Envelope, view: &View, nonce: u64) -> Result<bool, Drop> {
        if view.vm_list_revision() == 0 {
            let awaited =
                matches!(&envelope.body, Body::Delta(delta) if delta.nonce == nonce && nonce != 0);
            return if awaited {
                Ok(false)
            } else {
                Err(Drop::Unknown)
            };
        }
        let member = view.member(envelope.sender).ok_or(Drop::Unknown)?;
        if envelope.sender == view.local_node()
            || digest_name(&member.place) as u32 != envelope.place
        {
            return Err(Drop::Foreign);
        }
        self.follow(envelope)
    }

    fn follow(&mut self, envelope: &Envelope) -> Result<bool, Drop> {
        let at = match self
            .senders
            .binary_search_by_key(&envelope.sender, |sender| sender.node)
        {
            Ok(at) => at,
            Err(at) => {
                self.senders.insert(at, Sender::new(envelope));
                return Ok(false);
            }
        };
        let sender = &mut self.senders[at];
        if envelope.incarnation < sender.incarnation {
            return Err(Drop::Stale);
        }
        if envelope.incarnation > sender.incarnation {
            *sender = Sender::new(envelope);
            return Ok(true);
        }
        sender.see(envelope.sequence)?;
        Ok(false)
    }
}

impl Sender {
    fn new(envelope: &Envelope) -> Self {
        Self {
            node: envelope.sender,
            incarnation: envelope.incarnation,
            newest: envelope.sequence,
            seen: 1,
        }
    }

    fn see(&mut self, sequence: u64) -> Result<(), Drop> {
        if sequence > self.newest {
            let ahead = sequence - self.newest;
            self.seen = if ahead < WINDOW {
                self.seen << ahead
            } else {
                0
            } | 1;
            self.newest = sequence;
            return Ok(());
        }
        let behind = self.newest - sequence;
        let bit = if behind < WINDOW {
            1_u128 << behind
        } else {
            return Err(Drop::Replayed);
        };
        if self.seen & bit != 0 {
            return Err(Drop::Replayed);
        }
        self.seen |= bit;
        Ok(())
    }
}
