//! Relays requests and event streams of callers to endpoints that register themselves.
//!
//! Callers and endpoints speak HTTP/1.1; answers are passed on byte by byte. What may be repeated
//! follows from a route's kind: an idempotent request may run again, a stream goes on after its
//! last event, and everything else is sent at most once unless the endpoint says that it did not
//! run it. One thread serves all connections of an entry; the decisions (placement, health,
//! budgets) are pure and are tested without sockets.

mod admission;
mod answer;
mod attempt;
mod budget;
mod caller;
mod choosing;
mod config;
mod connection;
mod copies;
mod discovery;
mod ending;
mod endpoints;
mod entries;
pub mod events;
mod health;
mod lineage;
mod metrics;
mod placement;
mod plain;
mod pool;
mod prompts;
mod relay;
mod request;
mod reservation;
mod role;
mod server;
mod stream;
mod timing;
mod tries;
mod whole;

pub use budget::RetryBudget;
pub use config::{BudgetSettings, DocumentReader, EngineCalls, HeaderNames, RelayConfig};
pub use endpoints::{Endpoint, EndpointTable, OtherLoad};
pub use entries::EntryCount;
pub use health::{Failure, Health};
pub use lineage::{EventOrder, Placed};
pub use placement::{Choice, Wanted, ZoneShare, choose};
pub use role::RelayRole;
