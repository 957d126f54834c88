//! The agent role: a process that gives entries access to one endpoint.
//!
//! The agent has two duties. "agent" owns the generation and call tables and serves the entries;
//! "endpoint" exchanges HTTP messages with the engine or plain service. Two rings connect them: one
//! carries commands to the endpoint duty, the other carries events back.

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
