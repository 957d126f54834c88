//! Load and experiments on loopback, with their tables.
//!
//! Each experiment is an example of this crate; docs/BENCH.md names the command behind each table.

mod report;
mod stream;
mod system;
mod usage;

pub use report::{Table, ms, us_per};
pub use stream::{StreamLoad, StreamReport, run_streams};
pub use system::{EngineProcess, System};
pub use usage::{Usage, UsageMeter};
