//! Entries of the replicated log, snapshots and the state recovered from a data folder.

use std::sync::Arc;

use masticsill_types::Term;

use crate::{LogIndex, Membership, VoterId, Write};

/// An entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The entry's position in the log.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The entry's content.
    pub payload: Payload,
}

/// The content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// A caller's opaque command.
    Command(Arc<[u8]>),
    /// The membership in effect from this entry on, committed or not.
    Membership(Membership),
    /// The entry that a new leader appends to commit the entries of earlier terms.
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

/// The caller's state after applying every entry up to and including an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that the state contains.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub term: Term,
    /// The membership in effect at `index`.
    pub membership: Membership,
    /// The caller's serialized state, opaque to this crate.
    pub data: Arc<[u8]>,
}

impl Snapshot {
    /// The empty snapshot before the first entry of a new cluster, holding the founding members.
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

/// The state that a replica starts from: everything that its data folder holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredState {
    /// The replica's identity.
    pub id: VoterId,
    /// The highest term seen.
    pub term: Term,
    /// The replica that received this replica's vote in `term`, if any.
    pub voted_for: Option<VoterId>,
    /// The newest snapshot; `None` in a new folder.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// Applies a write, as the data folder does.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Append { entries } => self.entries.extend(entries.iter().cloned()),
            Write::Snapshot { snapshot } => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = Some(snapshot.clone());
            }
            Write::TruncateFrom { index } => self.entries.retain(|entry| entry.index < *index),
            Write::Vote { term, voted_for } => {
                self.term = *term;
                self.voted_for.clone_from(voted_for);
            }
        }
    }
}
