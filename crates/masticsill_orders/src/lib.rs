//! Load and unload orders to engines: planning them and fencing stale ones.
//!
//! Pure logic: no sockets, threads or clock. [`LoadPlanner`] runs at the control leader and decides
//! what engines load and unload. [`OrderGate`] runs at an agent and decides whether an order may
//! still be sent to its engine.

mod bucket;
mod demand;
mod gate;
mod holders;
mod leader_proof;
mod observed_engine;
mod plan;
mod planner;

pub use gate::{GateRefusal, OrderGate};
pub use leader_proof::LeaderProof;
pub use observed_engine::ObservedEngine;
pub use plan::{OrderEnd, PlanLimits, PlannedOrder};
pub use planner::LoadPlanner;
