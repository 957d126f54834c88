//! Serving control on an instance without a disk.
//!
//! Such a process never votes and keeps no state: it forwards the calls of operators and endpoints
//! to the replicas. It also helps replicas to discover each other, since the few addresses that all
//! processes start with may all belong to instances without disks.

mod calls;
mod role;
mod service;

pub use role::{ControlForwarder, ForwarderConfig};
