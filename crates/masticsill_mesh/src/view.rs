//! Immutable snapshots that other duties read.

use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_catalogue::{Catalogue, Freshness};
use masticsill_membership::Member;
use masticsill_types::{CatalogueVersion, ClockMs, NodeId};

/// The members as seen by this node at one moment.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    members: IndexMap<NodeId, Arc<Member>>,
}

impl MembershipView {
    /// A view of some members.
    pub fn new<'a>(members: impl Iterator<Item = &'a Arc<Member>>) -> Self {
        let by_node = |member: &Arc<Member>| (member.node.clone(), Arc::clone(member));
        Self {
            members: members.map(by_node).collect(),
        }
    }

    /// Members that are not gone, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(AsRef::as_ref)
    }

    /// The members that stand beside endpoints.
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.endpoint().is_some())
    }

    /// The members of the control quorum.
    pub fn control_replicas(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.is_control())
    }

    /// One member, unless it is gone.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node).map(AsRef::as_ref)
    }

    /// Members, this node included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known, which is only so before the start.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// The node's copy of the catalogue and its proof of freshness at one moment.
#[derive(Clone, Debug)]
pub struct CatalogueView {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) freshness: Freshness,
    pub(crate) lease_ms: u64,
}

impl CatalogueView {
    /// The copy.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The copy's version.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.catalogue.version()
    }

    /// Whether the copy is known to hold every change accepted until a lease ago. Without that a
    /// node starts no new work.
    #[must_use]
    pub fn is_fresh(&self, now: ClockMs) -> bool {
        self.freshness.is_fresh(now, self.lease_ms)
    }

    /// The age of the proof, in milliseconds; `None` without a proof.
    #[must_use]
    pub fn age_ms(&self, now: ClockMs) -> Option<u64> {
        self.freshness.age_ms(now)
    }
}
