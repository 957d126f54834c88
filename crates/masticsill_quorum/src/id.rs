//! Identifiers of the replicated log.

use std::fmt;

use masticsill_types::NodeId;
use serde::{Deserialize, Serialize};

/// The random number assigned to a data folder when it is created.
///
/// A node whose folder was lost gets a new number and therefore a new identity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FolderId(pub u64);

impl fmt::Display for FolderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The identity of a replica: the node's name and its data folder.
///
/// Votes and acknowledgements are attributed to the full identity, never to the name alone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VoterId {
    /// The node's name.
    pub name: NodeId,
    /// The identifier of the node's data folder.
    pub folder: FolderId,
}

impl fmt::Display for VoterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.name, self.folder)
    }
}

/// Position of an entry in the replicated log. The first entry has index 1; index 0 is the
/// position before it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one; zero for zero.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Sequence number of a durable write, in the order in which a replica requests them.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SyncPoint(pub u64);

/// The caller's number for a proposal, a read or a membership change.
///
/// Tokens are local to the process: they are neither replicated nor sent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallerToken(pub u64);
