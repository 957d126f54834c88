//! Whom to ask for the catalogue and its proof.
//!
//! While nodes are few, everybody asks the control quorum. When they are many, they form a tree
//! with the control quorum as its roots, so that no node answers more than a few others. Every
//! node works the tree out from its own view; views that differ cost balance, never correctness.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use masticsill_membership::Member;
use masticsill_types::NodeId;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::view::MembershipView;

/// Members for each control replica up to which everybody asks the control quorum.
const DIRECT_MEMBERS: usize = 24;
/// Nodes that one node answers in the tree.
const FANOUT: usize = 4;
/// Random peers tried when all else failed.
const OTHER_PEERS: usize = 2;

/// Whom to ask.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RenewalSources {
    /// Addresses, best first.
    pub addresses: Vec<SocketAddr>,
    /// Whether the first is the node's parent in the tree.
    pub is_tree: bool,
}

/// Lists whom a node asks for the catalogue and its proof.
pub fn list_renewal_sources(
    view: &MembershipView,
    own: &NodeId,
    seeds: &[SocketAddr],
    rng: &mut impl Rng,
) -> RenewalSources {
    let others = || view.members().filter(|member| member.node != *own);
    let mut controls: Vec<&Member> = others().filter(|member| member.is_control()).collect();
    let parent = find_parent(view, own, &controls);
    controls.shuffle(rng);
    let mut peers: Vec<SocketAddr> = others().map(|member| member.address).collect();
    peers.shuffle(rng);
    peers.truncate(OTHER_PEERS);
    let mut addresses: Vec<SocketAddr> = parent.into_iter().collect();
    addresses.extend(controls.iter().map(|member| member.address));
    if controls.is_empty() {
        addresses.extend(seeds);
    }
    addresses.extend(peers);
    RenewalSources {
        addresses,
        is_tree: parent.is_some(),
    }
}

/// The node's parent in the tree, when there are enough members for one.
fn find_parent(view: &MembershipView, own: &NodeId, controls: &[&Member]) -> Option<SocketAddr> {
    if controls.is_empty() || view.len() <= controls.len() * DIRECT_MEMBERS {
        return None;
    }
    let mut roots: Vec<&Member> = controls.to_vec();
    roots.sort_by(|one, other| one.node.cmp(&other.node));
    let branches = view.members().filter(|member| !member.is_control());
    let mut order: Vec<&Member> = branches.collect();
    order.sort_by_cached_key(|member| (spread(&member.node), member.node.clone()));
    let place = order.iter().position(|member| member.node == *own)?;
    let parent = place / FANOUT;
    let member = roots
        .get(parent)
        .or_else(|| order.get(parent - roots.len()));
    member.map(|member| member.address)
}

fn spread(node: &NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    node.hash(&mut hasher);
    hasher.finish()
}
