//! Generation records: attempts, contiguity, resume and claims.
//!
//! Pure logic: no sockets, threads or wall clock. A [`Record`] is held by the entry that owns a
//! generation and by the agent that runs it; both apply the same rules, so either may die.

mod book;
mod call_book;
mod fences;
mod freeze;
mod held;
mod pulls;
mod record;
mod run;
mod shelf;
mod utf8;

pub use book::{GenerationCounts, GenerationLimits, GenerationTable, PullAnswer};
pub use call_book::{CallDecision, CallLimits, CallTable};
pub use freeze::{EngineHealth, FreezeDetector, FreezeLimits};
pub use pulls::PullNumber;
pub use record::{AppendOutcome, Record, RecordError};
pub use run::{EngineCommand, EngineEvent, RunNumber, RunRequest};
pub use utf8::Utf8Assembler;
