//! The control role: the catalogue's quorum and the administration API.
//!
//! Duties, each on a thread of its own: the quorum (replicated log and state), the storage (one
//! sync for many writes), the RPC edge (other replicas and nodes), the HTTP edge (operators) and,
//! once the membership is known, the orders to engines.

mod attempts;
mod book;
mod client;
mod config;
mod error;
pub mod events;
mod http;
mod orders;
mod quorum;
mod recovery;
mod role;
mod rpc;

pub use book::AddressBook;
pub use client::{ControlClient, ControlUnavailable};
pub use config::{ControlConfig, OperatorConfig, TokenHash, TokenHashError};
pub use error::ControlError;
pub use quorum::StateError;
pub use recovery::recover_as_sole_voter;
pub use role::ControlRole;
