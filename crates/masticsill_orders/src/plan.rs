//! What a planner is told and what it gives out.

use masticsill_types::{ModelId, ModelTarget, NodeId};
use masticsill_wire::engine::EngineOrder;

/// Bounds and periods of a planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanLimits {
    /// How long no entry in force must name a target before it is unloaded, in milliseconds.
    /// Entries that have not heard of a change yet, and their queues, live on it meanwhile.
    pub grace_ms: u64,
    /// Longest random pause between two loads, in milliseconds.
    pub jitter_ms: u64,
    /// Loads under way at once in all.
    pub loads_at_once: usize,
    /// After which an order that neither ended nor took visible effect may be given again, in
    /// milliseconds.
    pub order_timeout_ms: u64,
    /// How long an engine that refused is left alone, in milliseconds.
    pub refused_pause_ms: u64,
    /// How long replicas must be missing before one is loaded, in milliseconds; a short fault of
    /// an engine starts no load.
    pub shortage_ms: u64,
    /// Loads that the weight store bears together after a rest.
    pub store_burst: u32,
    /// Between two loads that the weight store bears in the long run, in milliseconds.
    pub store_refill_ms: u64,
}

impl Default for PlanLimits {
    fn default() -> Self {
        Self {
            grace_ms: 10_000,
            jitter_ms: 250,
            loads_at_once: 4,
            order_timeout_ms: 120_000,
            refused_pause_ms: 2_000,
            shortage_ms: 1_000,
            store_burst: 4,
            store_refill_ms: 1_000,
        }
    }
}

/// An order to be given.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// The agent beside the engine.
    pub agent: NodeId,
    /// What the engine is to do.
    pub order: EngineOrder,
}

/// What became of an order, as far as its giver was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The engine took it; it is over once its effect is seen.
    Done,
    /// It had no effect.
    Refused,
    /// It may have an effect, now or later.
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
