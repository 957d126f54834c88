//! Overload on a virtual clock: entries that use the product's own dispatcher, engines that batch,
//! callers that come back, and what each caller gets.
//!
//! Engines and network are models: an engine reads one prompt after the other between the tokens
//! of its runs, and evicts nothing; entries learn of each other's streams after a delay. The
//! decisions are the product's own code.

mod callers;
mod engine;
mod outage;
mod plan;
mod play;
mod tally;

pub use engine::EngineModel;
pub use outage::OutagePlan;
pub use plan::{KINDS, KindPlan, OverloadPlan, Policy};
pub use play::{play, play_seeds};
pub use tally::{KindTally, Tally};
