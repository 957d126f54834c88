//! The entry role: callers' HTTP interface, routing and resume.
//!
//! Duties: `http` serves callers, `sessions` owns generations and the links to agents, `peers`
//! answers other entries. They are joined by bounded rings.

mod answer_ring;
mod call_place;
mod calls;
mod config;
mod control_client;
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
