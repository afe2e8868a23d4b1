//! Protocol versions that other nodes speak.

use std::net::IpAddr;

use crate::VERSION;

/// Most nodes of another version that are remembered.
const MAX_NODES: usize = 512;

/// Nodes whose last datagram had another protocol version than this build's.
///
/// Their datagrams are dropped, so such a node is not known as a peer.
#[derive(Debug, Default)]
pub struct Versions {
    /// Sorted by address.
    others: Vec<(IpAddr, u8)>,
}

impl Versions {
    /// Records the version of a datagram, and returns whether its sender spoke another one before.
    ///
    /// A node that was not heard of before counts as one that speaks [`VERSION`]. If too many nodes
    /// speak another one, a further one counts as known.
    pub fn record(&mut self, sender: IpAddr, version: u8) -> bool {
        let found = self.others.binary_search_by_key(&sender, |(node, _)| *node);
        match found {
            Ok(index) if version == VERSION => {
                self.others.remove(index);
                true
            }
            Ok(index) => std::mem::replace(&mut self.others[index].1, version) != version,
            Err(index) if version != VERSION && self.others.len() < MAX_NODES => {
                self.others.insert(index, (sender, version));
                true
            }
            Err(_) => false,
        }
    }
}
