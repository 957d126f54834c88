//! Relays requests and event streams of callers to endpoints that register themselves.
//!
//! Callers and endpoints speak HTTP/1.1; answers are passed on byte by byte. What may be repeated
//! follows from a route's kind: an idempotent request may run again, a stream goes on after its
//! last event, and everything else is sent at most once unless the endpoint says that it did not
//! run it. One thread serves all connections of an entry; the decisions (who is sent where, who
//! waits, who is refused) are pure and stand in `masticsill_dispatch`.

mod admission;
mod attempt;
mod caller;
mod config;
mod connection;
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
mod lateness;
mod metrics;
mod plain;
mod pool;
mod prompts;
mod relay;
mod request;
mod request_end;
mod reservation;
mod response;
mod retry_state;
mod role;
mod server;
mod stream;
mod stream_durations;
mod stream_timing;
mod suspects;

pub use config::{DocumentReader, EngineCalls, HeaderNames, RelayConfig};
pub use event_order::{EventOrder, Placed};
pub use masticsill_dispatch::BudgetSettings;
pub use role::RelayRole;
