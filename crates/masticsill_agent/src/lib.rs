//! The agent role: the process beside an endpoint.
//!
//! Two duties: "agent" owns the books and answers entries, "endpoint" speaks HTTP with the engine
//! or plain service. They are joined by two rings, commands one way and news the other.

mod call;
mod completion;
mod config;
mod endpoint_duty;
mod engine_gate;
mod engine_poll;
pub mod events;
mod health;
mod leaving;
mod messages;
mod orders;
mod role;
mod server_events;
mod service;
mod state;

pub use config::{AgentConfig, AgentLimits, Endpoint};
pub use role::{AgentHandle, AgentLinks, AgentRole};
