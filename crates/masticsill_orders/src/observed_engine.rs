//! The state of an engine as the planner observes it.

use masticsill_types::{ModelTarget, NodeId, ZoneId};

/// An engine's state as announced by its agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedEngine {
    /// The engine's agent.
    pub agent: NodeId,
    /// Whether the engine is leaving: its targets no longer count as replicas, and it gets no
    /// orders.
    pub is_leaving: bool,
    /// The targets that are loaded.
    pub loaded: Vec<ModelTarget>,
    /// Whether the engine accepts orders now.
    pub takes_orders: bool,
    /// The engine's availability zone.
    pub zone: ZoneId,
}

impl ObservedEngine {
    pub(crate) fn has(&self, target: &ModelTarget) -> bool {
        self.loaded.contains(target)
    }
}
