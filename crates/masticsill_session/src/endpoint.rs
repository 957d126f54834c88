//! The endpoints that this entry knows, with its own work in flight at each.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_types::{
    EndpointKind, EndpointProfile, Incarnation, LoadReport, ModelId, ModelTarget, NodeId, ZoneId,
};

/// One endpoint as this entry sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Where its agent listens.
    pub address: SocketAddr,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// Attempts of this entry that run there.
    pub in_flight: u32,
    /// Whether the agent could not be reached or stayed silent.
    pub is_down: bool,
    /// The engine's last load report.
    pub load: LoadReport,
    /// What the agent announced.
    pub profile: EndpointProfile,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Every endpoint known.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<NodeId, Endpoint>,
}

impl EndpointTable {
    /// Replaces the table by what the membership says now, keeping own counts.
    ///
    /// Returns the agents that are gone or began another life.
    pub fn replace(&mut self, members: IndexMap<NodeId, Endpoint>) -> Vec<NodeId> {
        let former = std::mem::replace(&mut self.endpoints, members);
        let mut lost = Vec::new();
        for (node, known) in former {
            match self.endpoints.get_mut(&node) {
                Some(endpoint) if endpoint.incarnation == known.incarnation => {
                    endpoint.in_flight = known.in_flight;
                    endpoint.is_down = known.is_down;
                    endpoint.load = known.load;
                }
                Some(_) | None => lost.push(node),
            }
        }
        lost
    }

    /// An endpoint by its agent's name.
    #[must_use]
    pub fn get(&self, agent: &NodeId) -> Option<&Endpoint> {
        self.endpoints.get(agent)
    }

    /// Notes whether an agent can be reached.
    pub fn set_down(&mut self, agent: &NodeId, is_down: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(agent) {
            endpoint.is_down = is_down;
        }
    }

    /// Notes an attempt begun at an agent.
    pub fn begin(&mut self, agent: &NodeId) {
        if let Some(endpoint) = self.endpoints.get_mut(agent) {
            endpoint.in_flight += 1;
        }
    }

    /// Notes an attempt that is over at an agent.
    pub fn end(&mut self, agent: &NodeId) {
        if let Some(endpoint) = self.endpoints.get_mut(agent) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Notes a load report that came with an agent's tokens.
    pub fn report(&mut self, agent: &NodeId, load: LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(agent) {
            endpoint.load = load;
        }
    }

    /// Whether any endpoint that is not gone has the model loaded, reachable or not.
    #[must_use]
    pub fn has_model(&self, target: &ModelTarget) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.has_loaded(target))
    }

    /// The least loaded endpoint that can take an attempt, outside `tried`.
    #[must_use]
    pub fn choose_engine(&self, target: &ModelTarget, tried: &IndexSet<NodeId>) -> Option<NodeId> {
        let is_candidate = |(node, endpoint): &(&NodeId, &Endpoint)| {
            endpoint.can_start() && endpoint.has_loaded(target) && !tried.contains(*node)
        };
        let candidates = self.endpoints.iter().filter(is_candidate);
        let (node, _) = candidates.min_by_key(|(_, endpoint)| endpoint.in_flight)?;
        Some(node.clone())
    }

    /// The least loaded endpoint of a plain service, outside `tried`.
    #[must_use]
    pub fn choose_service(&self, service: &ModelId, tried: &IndexSet<NodeId>) -> Option<NodeId> {
        let is_candidate = |(node, endpoint): &(&NodeId, &Endpoint)| {
            endpoint.can_start() && endpoint.is_service(service) && !tried.contains(*node)
        };
        let candidates = self.endpoints.iter().filter(is_candidate);
        let (node, _) = candidates.min_by_key(|(_, endpoint)| endpoint.in_flight)?;
        Some(node.clone())
    }
}

impl Endpoint {
    /// Whether new work may be sent.
    #[must_use]
    pub fn can_start(&self) -> bool {
        !self.is_down && !self.profile.is_leaving
    }

    /// Whether the engine has exactly this model, version and adapter loaded.
    #[must_use]
    pub fn has_loaded(&self, target: &ModelTarget) -> bool {
        match &self.profile.kind {
            EndpointKind::Engine { loaded, .. } => loaded.contains(target),
            EndpointKind::PlainService { .. } => false,
        }
    }

    fn is_service(&self, wanted: &ModelId) -> bool {
        match &self.profile.kind {
            EndpointKind::Engine { .. } => false,
            EndpointKind::PlainService { service } => service == wanted,
        }
    }
}
