//! Generation records: attempts, contiguity, resume and claims.
//!
//! Pure logic: no sockets, threads or wall clock. A [`Record`] is held by the entry that owns a
//! generation and by the agent that runs it; both apply the same rules, so either may die.

mod record;
mod utf8;

pub use record::{Record, RecordError, Taken};
pub use utf8::Utf8Assembler;
