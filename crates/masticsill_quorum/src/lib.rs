//! Replicated log: terms, votes, commit, membership, lease and durable storage.
//!
//! [`Replica`] is a pure state machine: [`Replica::step`] takes the current time, messages and
//! completed syncs and returns [`Output`]s. A write takes effect only once it is synced: whatever
//! a message depends on is durable by the time its [`Output::Send`] is returned. [`storage`]
//! manages a replica's data folder.

mod candidate;
mod durability;
mod entry;
pub mod events;
mod follower;
mod founding;
mod id;
mod input;
mod leader;
mod log;
mod member_change;
mod membership;
mod message;
mod output;
mod progress;
mod read;
mod replica;
mod replicate;
mod settings;
mod silent_members;
mod snapshot;
pub mod storage;
mod wire;

pub use entry::{Entry, Payload, Snapshot, StoredState};
pub use founding::{
    FOUNDING_TIMEOUT_MS, FoundingAttempt, FoundingPlan, FoundingReservation, MAX_FOUNDING_VOTERS,
};
pub use id::{CallerToken, FolderId, LogIndex, SyncPoint, VoterId};
pub use input::{Input, Proposal};
pub use membership::{Learner, MAX_VOTERS, Membership, MembershipChange, MembershipError};
pub use message::{Envelope, Message};
pub use output::{Output, RefusalReason, Role, Write};
pub use replica::Replica;
pub use settings::{ReplicaSettings, SettingsError};
pub use wire::{WireError, decode_message, encode_message};
