//! Orders to engines: which to give, and which to let pass.
//!
//! Pure logic: no sockets, no threads and no clock of its own. [`LoadPlanner`] decides at the
//! control leader what engines load and unload; [`OrderGate`] decides at an agent whether an
//! order may still reach its engine.

mod bucket;
mod gate;
mod holders;
mod leader_proof;
mod plan;
mod planner;
mod seen;
mod wanted;

pub use gate::{GateRefusal, OrderGate};
pub use leader_proof::LeaderProof;
pub use plan::{OrderEnd, PlanLimits, PlannedOrder};
pub use planner::LoadPlanner;
pub use seen::EngineSeen;
