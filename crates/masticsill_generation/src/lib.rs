//! Generation records: attempts, contiguous tokens, resumption and change of ownership.
//!
//! The crate contains pure logic without sockets, threads or a wall clock. Both the entry that owns
//! a generation and the agent that runs it hold a [`Record`] and apply the same rules, so the
//! generation survives the failure of either.

mod call_table;
mod fences;
mod freeze;
mod generation_table;
mod pulls;
mod record;
mod record_store;
mod run;
mod stored_record;
mod utf8;

pub use call_table::{CallDecision, CallLimits, CallTable};
pub use freeze::{EngineHealth, FreezeDetector, FreezeLimits};
pub use generation_table::{GenerationCounts, GenerationLimits, GenerationTable, PullAnswer};
pub use pulls::PullNumber;
pub use record::{AppendOutcome, Record, RecordError};
pub use run::{EngineCommand, EngineEvent, RunNumber, RunRequest};
pub use utf8::Utf8Assembler;
