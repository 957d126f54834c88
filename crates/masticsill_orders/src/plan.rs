//! The planner's limits, its orders and their ends.

use masticsill_types::{ModelId, ModelTarget, NodeId};
use masticsill_wire::engine::EngineOrder;

/// Limits and intervals of a planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanLimits {
    /// How long a target must not be referenced by any entry in force before it is unloaded, in
    /// milliseconds. Entry nodes that have not received the change yet, and the requests queued
    /// there, still use the target in the meantime.
    pub unload_grace_ms: u64,
    /// Maximum random pause between two loads, in milliseconds.
    pub max_load_jitter_ms: u64,
    /// Maximum number of loads in flight, over all engines.
    pub max_concurrent_loads: usize,
    /// Time after which an order that neither ended nor took visible effect may be issued again, in
    /// milliseconds.
    pub order_timeout_ms: u64,
    /// How long an engine gets no order for a target after it refused one, in milliseconds.
    pub refusal_backoff_ms: u64,
    /// How long replicas must be missing before one is loaded, in milliseconds, so that a short
    /// fault of an engine does not start a load.
    pub shortage_delay_ms: u64,
    /// Number of loads that may start together after an idle period; a limit of the weight store.
    pub store_burst: u32,
    /// Minimum mean interval between loads in the long run, in milliseconds; a limit of the weight
    /// store.
    pub store_refill_interval_ms: u64,
}

impl Default for PlanLimits {
    fn default() -> Self {
        Self {
            unload_grace_ms: 10_000,
            max_load_jitter_ms: 250,
            max_concurrent_loads: 4,
            order_timeout_ms: 120_000,
            refusal_backoff_ms: 2_000,
            shortage_delay_ms: 1_000,
            store_burst: 4,
            store_refill_interval_ms: 1_000,
        }
    }
}

/// An order that the planner has issued.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// The agent of the engine that gets the order.
    pub agent: NodeId,
    /// The order: which target to load or unload.
    pub order: EngineOrder,
}

/// How an order ended, as far as the leader that issued it was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The engine accepted the order; the order is complete once its effect is announced.
    Done,
    /// The order was refused and had no effect.
    Refused,
    /// The outcome is unknown: the order may have taken effect or may still do so.
    Unknown,
}

pub(crate) fn target(order: &EngineOrder) -> &ModelTarget {
    match order {
        EngineOrder::Load(target) | EngineOrder::Unload(target) => target,
    }
}

pub(crate) fn model(order: &EngineOrder) -> &ModelId {
    &target(order).model
}
