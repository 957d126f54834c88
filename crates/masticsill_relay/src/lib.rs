//! Relays requests and event streams of callers to endpoints that register themselves.
//!
//! Callers and endpoints speak HTTP/1.1; answers are passed on byte by byte. What may be repeated
//! follows from a route's kind: an idempotent request may run again, a stream goes on after its
//! last event, and everything else is sent at most once unless the endpoint says that it did not
//! run it. One thread serves all connections of an entry; the decisions (who is sent where, who
//! waits, who is refused) are pure and stand in `masticsill_dispatch`.

mod admission;
mod answer;
mod attempt;
mod caller;
mod choosing;
mod config;
mod connection;
mod copies;
mod crash_watch;
mod discovery;
mod dispatching;
mod documents;
mod doubt;
mod ending;
pub mod events;
mod lateness;
mod lineage;
mod metrics;
mod places;
mod plain;
mod pool;
mod prompts;
mod relay;
mod request;
mod reservation;
mod role;
mod server;
mod stream;
mod stream_times;
mod suspects;
mod timing;
mod tries;
mod whole;

pub use config::{DocumentReader, EngineCalls, HeaderNames, RelayConfig};
pub use lineage::{EventOrder, Placed};
pub use masticsill_dispatch::BudgetSettings;
pub use role::RelayRole;
