//! The parts of every organisation's limits that belong to this node by the VM list.

use std::time::Duration;

use peridotdeck_policy::digest_name;

use super::{LOAN_MARGIN, LOAN_TIME, Parts, WHOLE};
use crate::{
    id::{self, Time},
    membership::View,
    rendezvous,
};

/// Most nodes that hold parts of one organisation's limits.
///
/// A node that needs a whole limit asks that many others once a [`LOAN_TIME`].
const MAX_HOLDERS: usize = 32;

/// Time within which a new VM list is in force at every node that can be reached.
const LIST_SPREAD: Duration = Duration::from_secs(4);

/// Time after which a node may use parts that an earlier VM list or process didn't give it.
///
/// By then the others use the new list, and loans of an earlier process have ended.
pub const SETTLING: Duration = LOAN_TIME
    .saturating_add(LOAN_MARGIN)
    .saturating_add(LIST_SPREAD);

/// The VM lists that count for what this node holds.
///
/// While lists change, a node holds the least that any of them gives it, so that the parts of all
/// nodes never add up to more than the whole.
#[derive(Clone, Debug, Default)]
pub struct Endowment {
    revision: id::Revision,
    nodes: Vec<id::Node>,
    /// Earlier lists, and until when they count.
    earlier: Vec<(Time, Vec<id::Node>)>,
    changes: u64,
    changed: Time,
}

impl Endowment {
    /// Adopts the view's VM list if it is newer, and drops the lists that no longer count.
    pub fn update(&mut self, view: &View, now: Time) {
        let count = self.earlier.len();
        self.earlier.retain(|(until, _)| *until > now);
        if self.earlier.len() < count {
            self.record_change(now);
        }
        if view.vm_list_revision() == self.revision {
            return;
        }
        self.revision = view.vm_list_revision();
        let nodes: Vec<id::Node> = view.members().iter().map(|member| member.node).collect();
        if nodes != self.nodes {
            let replaced = std::mem::replace(&mut self.nodes, nodes);
            self.earlier.push((now + SETTLING, replaced));
            self.record_change(now);
        }
    }

    fn record_change(&mut self, now: Time) {
        self.changes += 1;
        self.changed = now;
    }

    /// Returns a number that grows whenever the parts may have changed.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns when the parts may last have changed.
    #[must_use]
    pub fn changed(&self) -> Time {
        self.changed
    }

    /// Returns whether a node is in the newest list.
    #[must_use]
    pub fn lists(&self, node: id::Node) -> bool {
        self.nodes.binary_search(&node).is_ok()
    }

    /// Returns the nodes that hold parts of an organisation's limits by the newest list.
    #[must_use]
    pub fn holders(&self, organisation: &str) -> Vec<id::Node> {
        choose_holders(organisation, &self.nodes)
    }

    /// Returns the parts of an organisation's limits that belong to a node.
    #[must_use]
    pub fn parts(&self, organisation: &str, node: id::Node) -> Parts {
        let earlier = self.earlier.iter().map(|(_, nodes)| nodes);
        let lists = earlier.chain([&self.nodes]);
        lists
            .map(|nodes| parts_of(node, &choose_holders(organisation, nodes)))
            .min()
            .unwrap_or_default()
    }
}

fn choose_holders(organisation: &str, nodes: &[id::Node]) -> Vec<id::Node> {
    let mut holders = rendezvous::order(digest_name(organisation), nodes.iter().copied());
    holders.truncate(MAX_HOLDERS);
    holders
}

/// Divides the whole equally; what is left over goes to the first holders.
fn parts_of(node: id::Node, holders: &[id::Node]) -> Parts {
    let count = holders.len() as Parts;
    let position = holders.iter().position(|holder| *holder == node);
    position.map_or(0, |position| {
        WHOLE / count + Parts::from((position as Parts) < WHOLE % count)
    })
}
