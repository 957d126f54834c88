//! Connections to agents: starts, pulls and the detection of lost agents.

mod cursors;
mod silence;
mod task;

pub(crate) use task::{LinkCommand, LinkConfig, LinkOwner, run_link};
