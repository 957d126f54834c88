//! The endpoints that this entry node knows.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_routing::{EndpointDescription, Router};
use masticsill_types::{EndpointKind, ModelTarget, NodeId};

/// An endpoint as described by the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Address on which the endpoint's agent listens.
    pub address: SocketAddr,
    /// What the endpoint offers to the router.
    pub description: EndpointDescription,
}

/// All known endpoints, by the node id of their agent.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<NodeId, Endpoint>,
}

impl EndpointTable {
    /// An endpoint, by its agent's node id.
    #[must_use]
    pub fn get(&self, agent: &NodeId) -> Option<&Endpoint> {
        self.endpoints.get(agent)
    }

    /// Replaces the table by the current membership and reports the changes to the router.
    ///
    /// Returns the agents that left or have a new incarnation.
    pub(crate) fn replace(
        &mut self,
        members: IndexMap<NodeId, Endpoint>,
        router: &mut Router,
    ) -> Vec<NodeId> {
        let previous = std::mem::replace(&mut self.endpoints, members);
        for (node, endpoint) in &self.endpoints {
            let known = previous.get(node).map(|known| &known.description);
            if known != Some(&endpoint.description) {
                router.on_member_change(node, Some(endpoint.description.clone()));
            }
        }
        let mut ended = Vec::new();
        for (node, known) in previous {
            let current = self.endpoints.get(&node);
            if current.is_none() {
                router.on_member_change(&node, None);
            }
            let incarnation = current.map(|endpoint| endpoint.description.incarnation);
            if incarnation != Some(known.description.incarnation) {
                ended.push(node);
            }
        }
        ended
    }

    /// Whether any endpoint in the table has the model loaded, whether it is reachable or not.
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
