//! Endpoints that register by heartbeat: what this replica heard, what it exchanges with the
//! others, and whom it tells.

mod exchange;
mod hub;
mod memory;
mod prompts;
mod suspects;

pub(crate) use exchange::run_exchange;
pub(crate) use hub::EndpointHub;
pub(crate) use memory::{read as read_endpoints, run_memory};
pub(crate) use prompts::follow_prompts;
pub(crate) use suspects::run_judging;
