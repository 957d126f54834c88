//! The quorum duty: the replicated log, the state it leads to and its storage.

mod duty;
mod founding;
mod machine;
mod members;
mod outputs;
mod published;
mod request;
mod storage;
mod waiting;

pub(crate) use duty::{DutyParts, Outgoing, QuorumDuty};
pub(crate) use machine::Machine;
pub use machine::StateError;
pub(crate) use members::voter;
pub(crate) use published::PublishedState;
pub(crate) use request::{JoiningReplica, QuorumHandle, ReplicaOrder, Request, Status};
pub(crate) use storage::{Job, StorageProgress, StorageQueue, run_storage};
