//! The control role: the catalogue's quorum and the administration API.
//!
//! Each duty runs on its own thread: the quorum (replicated log and state), the storage (one sync
//! for many writes), the RPC server (other replicas and nodes), the HTTP server (operators) and,
//! once the membership is known, the orders to engines.

mod admission;
mod config;
mod document_pieces;
mod endpoints;
mod error;
pub mod events;
mod forwarder;
mod gauges;
mod handle;
mod http;
mod orders;
mod pauses;
mod quorum;
mod recovery;
mod replacement;
mod role;
mod rollouts;
mod rpc;
mod unreadable;

pub use config::{
    AdmissionPolicy, ControlConfig, FoundingPolicy, OperatorConfig, PromptCacheFeed,
    PromptCacheParser, RolloutConfig, TokenHash, TokenHashError,
};
pub use error::ControlError;
pub use forwarder::{ControlForwarder, ForwarderConfig};
pub use handle::ControlHandle;
pub use masticsill_control_client::{
    AddressBook, ControlClient, ControlUnavailable, ORDER_TIMEOUT_MS,
};
pub use quorum::StateError;
pub use recovery::recover_as_sole_voter;
pub use role::ControlRole;
