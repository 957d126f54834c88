//! Chooses the nodes from which the catalogue and its proof of freshness are renewed.
//!
//! While there are few nodes, all of them ask the control quorum. When there are many, they form a
//! tree whose roots are the control replicas, so that each node answers only a few others. Every
//! node derives the tree from its own view. If views differ, the load is less balanced, but the
//! result stays correct.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use masticsill_membership::Member;
use masticsill_types::NodeId;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::view::MembershipView;

/// Number of members per control replica up to which every node asks the control quorum.
const MAX_DIRECT_MEMBERS_PER_CONTROL_REPLICA: usize = 24;
/// Number of children of each node in the tree.
const TREE_FANOUT: usize = 4;
/// Number of random peers that are tried after all other sources failed.
const FALLBACK_PEERS: usize = 2;

/// The sources of a node.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RenewalSources {
    /// Addresses in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Whether the first address is that of the parent of the node in the tree.
    pub is_tree: bool,
}

/// Lists the sources from which a node renews the catalogue and its proof of freshness.
///
/// `seeds` are used only while no control replica is known.
pub fn list_renewal_sources(
    view: &MembershipView,
    own: &NodeId,
    seeds: &[SocketAddr],
    rng: &mut impl Rng,
) -> RenewalSources {
    let others = || view.members().filter(|member| member.node != *own);
    let mut control_replicas: Vec<&Member> =
        others().filter(|member| member.is_control()).collect();
    let parent = find_parent(view, own, &control_replicas);
    control_replicas.shuffle(rng);
    let mut peers: Vec<SocketAddr> = others().map(|member| member.address).collect();
    peers.shuffle(rng);
    peers.truncate(FALLBACK_PEERS);
    let mut addresses: Vec<SocketAddr> = parent.into_iter().collect();
    addresses.extend(control_replicas.iter().map(|member| member.address));
    if control_replicas.is_empty() {
        addresses.extend(seeds);
    }
    addresses.extend(peers);
    RenewalSources {
        addresses,
        is_tree: parent.is_some(),
    }
}

/// Returns the address of the parent of a node in the tree, or `None` if there are too few members
/// for a tree.
fn find_parent(
    view: &MembershipView,
    own: &NodeId,
    control_replicas: &[&Member],
) -> Option<SocketAddr> {
    if control_replicas.is_empty()
        || view.len() <= control_replicas.len() * MAX_DIRECT_MEMBERS_PER_CONTROL_REPLICA
    {
        return None;
    }
    let mut roots: Vec<&Member> = control_replicas.to_vec();
    roots.sort_by(|one, other| one.node.cmp(&other.node));
    let branches = view.members().filter(|member| !member.is_control());
    let mut order: Vec<&Member> = branches.collect();
    order.sort_by_cached_key(|member| (tree_order_hash(&member.node), member.node.clone()));
    let position = order.iter().position(|member| member.node == *own)?;
    let parent = position / TREE_FANOUT;
    let member = roots
        .get(parent)
        .or_else(|| order.get(parent - roots.len()));
    member.map(|member| member.address)
}

/// Returns the hash by which the members are ordered in the tree.
fn tree_order_hash(node: &NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    node.hash(&mut hasher);
    hasher.finish()
}
