//! The quorum duty: the replicated log, the state machine that applies its entries, and the
//! storage.

mod duty;
mod founding;
mod members;
mod outputs;
mod pending;
mod published;
mod request;
mod state_machine;
mod storage;

pub(crate) use duty::{DutyParts, Outgoing, QuorumDuty};
pub(crate) use members::voter;
pub(crate) use published::PublishedState;
pub(crate) use request::{
    JoiningReplica, MembershipRequest, QuorumHandle, Request, Standing, Status,
};
pub use state_machine::StateError;
pub(crate) use state_machine::StateMachine;
pub(crate) use storage::{Job, StorageProgress, StorageQueue, run_storage};
