//! Endpoints that register by heartbeat: the registry of this replica, its exchange with the other
//! replicas, and the watchers that receive its changes.

mod exchange;
mod hub;
mod origin_log;
mod persistence;
mod prompts;
mod suspects;

pub(crate) use exchange::run_exchange;
pub(crate) use hub::EndpointHub;
pub(crate) use origin_log::read as read_origins;
pub(crate) use persistence::{read as read_endpoints, run_persistence};
pub(crate) use prompts::follow_prompts;
pub(crate) use suspects::run_judgements;
