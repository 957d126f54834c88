//! Serving control on an instance without a disk.
//!
//! Such a process never votes and keeps no state: what operators and endpoints ask of it is passed
//! on to the replicas. It also leads replicas to each other, since the few addresses that all
//! processes start with may be of instances without disks only.

mod calls;
mod role;
mod service;

pub use role::{ControlForwarder, ForwarderConfig};
