//! Entries for other nodes, in parts that fit a datagram.

use crate::dispatch::Node;

/// Entries that one node receives in one message.
#[derive(Clone, Debug)]
pub(super) struct Batch<T> {
    pub(super) receiver: Node,
    pub(super) entries: Vec<T>,
}

/// Groups entries by the nodes that receive them; `most` fit one message.
pub(super) fn by_receiver<T: Clone>(mut entries: Vec<(Node, T)>, most: usize) -> Vec<Batch<T>> {
    entries.sort_by_key(|(receiver, _)| *receiver);
    let groups = entries.chunk_by(|(one, _), (other, _)| one == other);
    let parts = groups.flat_map(|group| group.chunks(most));
    let batch = |part: &[(Node, T)]| Batch {
        receiver: part[0].0,
        entries: part.iter().map(|(_, entry)| entry.clone()).collect(),
    };
    parts.map(batch).collect()
}
