//! What the planner sees of an engine.

use masticsill_types::{ModelTarget, NodeId, ZoneId};

/// An engine as its agent announces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSeen {
    /// The agent beside it.
    pub agent: NodeId,
    /// Whether it is leaving: what it holds does not count any more, and it gets no order.
    pub is_leaving: bool,
    /// What is loaded.
    pub loaded: Vec<ModelTarget>,
    /// Whether it may be given orders now.
    pub takes_orders: bool,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl EngineSeen {
    pub(crate) fn has(&self, target: &ModelTarget) -> bool {
        self.loaded.contains(target)
    }
}
