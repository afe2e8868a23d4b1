//! Rendezvous hashing: every node computes the same order of nodes without communication.
//!
//! When a node joins or leaves, only the keys for which it ranks first move to another node. The
//! 240 replacements a day thus do not redistribute the keys of the whole fleet.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// Returns the weight of a node for a key; the highest weight wins.
#[must_use]
pub fn weight(key: u64, node: id::Node) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), key)
}

/// Returns the node with the highest weight for a key.
#[must_use]
pub fn first(key: u64, nodes: impl Iterator<Item = id::Node>) -> Option<id::Node> {
    nodes.max_by_key(|&node| (weight(key, node), node))
}

/// Returns all nodes, highest weight first.
#[must_use]
pub fn order(key: u64, nodes: impl Iterator<Item = id::Node>) -> Vec<id::Node> {
    let mut ranked: Vec<id::Node> = nodes.collect();
    ranked.sort_by_key(|&node| std::cmp::Reverse((weight(key, node), node)));
    ranked
}
