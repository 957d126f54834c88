//! Links to agents: starting attempts, pulling their progress and detecting lost agents.

mod cursors;
mod silence;
mod task;

pub(crate) use task::{LinkCommand, LinkConfig, LinkOwner, run_link};
