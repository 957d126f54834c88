//! Relays requests and event streams from callers to registered endpoints.
//!
//! Callers and endpoints speak HTTP/1.1; response bodies are forwarded unchanged. Whether a request
//! may be repeated follows from its route's kind: an idempotent request may run again, a stream
//! resumes after its last event, and any other request is sent at most once unless the endpoint
//! reports that it did not run it. One thread serves all connections of an entry. The decisions
//! (which request is sent where, waits or is refused) are pure functions of `masticsill_dispatch`.

mod admission;
mod attempt;
mod caller;
mod config;
mod connection;
mod continuation;
mod copies;
mod crash_check;
mod discovery;
mod dispatch_queue;
mod documents;
mod endpoint_choice;
mod endpoint_response;
mod engine_reservation;
mod event_order;
pub mod events;
mod failover;
mod incarnation_check;
mod lateness;
mod metrics;
mod plain;
mod pool;
mod prompts;
mod relay;
mod request;
mod request_end;
mod request_permit;
mod request_stage;
mod reservation;
mod response;
mod retry_state;
mod role;
mod rollout_evidence;
mod rollouts;
mod server;
mod statements;
mod stream;
mod stream_durations;
mod stream_origins;
mod stream_timing;
mod suspects;

pub use config::{DocumentReader, EngineCalls, HeaderNames, RelayConfig, RelayRolloutConfig};
pub use event_order::{EventOrder, EventPosition};
pub use masticsill_dispatch::BudgetSettings;
pub use role::RelayRole;
