//! Load and experiments on loopback, with their tables.
//!
//! Each experiment is an example of this crate; docs/BENCH.md names the command behind each table.

mod arguments;
pub mod blame;
mod entry;
mod event_reader;
mod fit;
pub mod lookups;
pub mod overload;
mod report;
pub mod rollouts;
mod stream;
mod system;
pub mod uneven;
mod usage;

pub use arguments::read_seeds;
pub use event_reader::{AnswerEvent, EventReader};
pub use fit::{Fit, number};
pub use report::{Table, ms, us_per};
pub use stream::{StreamLoad, StreamReport, run_streams};
pub use system::{System, SystemSettings};
pub use usage::{
    NetworkCounters, ProcessHoldings, Usage, UsageMeter, open_connection_bytes, thread_processor_us,
};
