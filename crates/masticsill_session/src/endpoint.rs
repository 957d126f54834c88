//! The endpoints that this entry knows.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_routing::{EndpointDescription, Router};
use masticsill_types::{EndpointKind, ModelTarget, NodeId};

/// One endpoint as the membership describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Where its agent listens.
    pub address: SocketAddr,
    /// What it offers.
    pub description: EndpointDescription,
}

/// Every endpoint known.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<NodeId, Endpoint>,
}

impl EndpointTable {
    /// An endpoint by its agent's name.
    #[must_use]
    pub fn get(&self, agent: &NodeId) -> Option<&Endpoint> {
        self.endpoints.get(agent)
    }

    /// Replaces the table by what the membership says now, and tells the router what changed.
    ///
    /// Returns the agents that are gone or began another life.
    pub(crate) fn replace(
        &mut self,
        members: IndexMap<NodeId, Endpoint>,
        router: &mut Router,
    ) -> Vec<NodeId> {
        let former = std::mem::replace(&mut self.endpoints, members);
        for (node, endpoint) in &self.endpoints {
            let known = former.get(node).map(|known| &known.description);
            if known != Some(&endpoint.description) {
                router.on_member_change(node, Some(endpoint.description.clone()));
            }
        }
        let mut lost = Vec::new();
        for (node, known) in former {
            let current = self.endpoints.get(&node);
            if current.is_none() {
                router.on_member_change(&node, None);
            }
            let life = current.map(|endpoint| endpoint.description.incarnation);
            if life != Some(known.description.incarnation) {
                lost.push(node);
            }
        }
        lost
    }

    /// Whether any endpoint that is not gone has the model loaded, reachable or not.
    pub(crate) fn has_model(&self, target: &ModelTarget) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.has_loaded(target))
    }
}

impl Endpoint {
    fn has_loaded(&self, target: &ModelTarget) -> bool {
        match &self.description.kind {
            EndpointKind::Engine { loaded, .. } => loaded.contains(target),
            EndpointKind::PlainService { .. } => false,
        }
    }
}
