//! The entry role: HTTP interface for callers, routing and resumption of generations.
//!
//! The role consists of three duties, connected by bounded rings: `http` serves callers, `sessions`
//! owns the generations and the links to agents, and `peers` answers other entries.

mod call_placement;
mod caller_ring;
mod calls;
mod claim_client;
mod config;
pub mod events;
mod filter;
mod http;
mod link;
mod link_reporter;
mod open_work;
mod openai;
mod peer_service;
mod policies;
mod readiness;
mod request;
mod role;
mod search;
mod sessions_duty;

pub use config::EntryConfig;
pub use role::EntryRole;
