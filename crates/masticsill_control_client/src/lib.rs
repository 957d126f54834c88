//! Calls the control replicas: finds the leader and sends again what may be sent again.

mod attempts;
mod book;
mod client;

pub use attempts::connect;
pub use book::AddressBook;
pub use client::{ControlClient, ControlUnavailable};
