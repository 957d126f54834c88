//! Immutable snapshots of the members and of the catalogue, read by other duties.

use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_catalogue::{Catalogue, Freshness};
use masticsill_membership::Member;
use masticsill_types::{CatalogueVersion, ClockMs, NodeId};

/// The members in the view of this node at one point in time.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    members: IndexMap<NodeId, Arc<Member>>,
}

impl MembershipView {
    /// Creates a view of these members.
    pub fn new<'a>(members: impl Iterator<Item = &'a Arc<Member>>) -> Self {
        let by_node = |member: &Arc<Member>| (member.node.clone(), Arc::clone(member));
        Self {
            members: members.map(by_node).collect(),
        }
    }

    /// Returns the members that are not gone, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(AsRef::as_ref)
    }

    /// Returns the agents, which are the members that serve endpoints.
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.endpoint().is_some())
    }

    /// Returns the control replicas.
    pub fn control_replicas(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.is_control())
    }

    /// Returns a member, or `None` if it is unknown or gone.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node).map(AsRef::as_ref)
    }

    /// Returns the number of members that are not gone, this node included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known, which is the case only before the start.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// The node's copy of the catalogue and its proof of freshness at one point in time.
#[derive(Clone, Debug)]
pub struct CatalogueView {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) freshness: Freshness,
    pub(crate) lease_ms: u64,
}

impl CatalogueView {
    /// Returns the copy of the catalogue.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the version of the copy.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.catalogue.version()
    }

    /// Returns whether the copy is proven to contain every change that was accepted up to one lease
    /// before `now`. Otherwise the node starts no new work.
    #[must_use]
    pub fn is_fresh(&self, now: ClockMs) -> bool {
        self.freshness.is_fresh(now, self.lease_ms)
    }

    /// Returns the age of the proof in milliseconds, or `None` without a proof.
    #[must_use]
    pub fn age_ms(&self, now: ClockMs) -> Option<u64> {
        self.freshness.age_ms(now)
    }
}
