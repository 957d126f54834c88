//! Entries of the replicated log and snapshots of the state they lead to.

use std::sync::Arc;

use masticsill_types::Term;

use crate::{LogIndex, Membership, VoterId};

/// An entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Its position.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// What an entry says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// A caller's opaque command.
    Command(Arc<[u8]>),
    /// The membership in force from this entry on.
    Membership(Membership),
    /// The entry by which a new leader commits what earlier terms left.
    Noop,
}

impl Payload {
    pub(crate) fn size_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Membership(_) | Self::Noop => 0,
        }
    }
}

/// The caller's state after every entry up to an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The last entry that the state contains.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// The membership in force at that entry.
    pub membership: Membership,
    /// The caller's state, opaque.
    pub data: Arc<[u8]>,
}

impl Snapshot {
    /// The state before the first entry of a new cluster, with its founding members.
    #[must_use]
    pub fn founding(membership: Membership) -> Self {
        Self {
            index: LogIndex::default(),
            term: Term::default(),
            membership,
            data: Arc::from([]),
        }
    }
}

/// What a replica knows when it starts: all that its data folder holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredState {
    /// The replica's identity.
    pub id: VoterId,
    /// The highest term seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub voted_for: Option<VoterId>,
    /// The newest snapshot; none in a new folder.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
