//! Client of the control replicas: finds the leader and retries calls that are safe to repeat.

mod address_book;
mod attempts;
mod client;

pub use address_book::AddressBook;
pub use attempts::connect;
pub use client::{ControlClient, ControlUnavailable, ORDER_TIMEOUT_MS};
