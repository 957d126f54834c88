//! Identifiers of the replicated log.

use std::fmt;

use masticsill_types::NodeId;
use serde::{Deserialize, Serialize};

/// The random number that a data folder received when it was created.
///
/// A node whose folder was lost gets another number, and with it another identity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FolderId(pub u64);

impl fmt::Display for FolderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The identity of a replica: the node's name and its data folder.
///
/// Votes and acknowledgements count only under the whole identity.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VoterId {
    /// The node's name.
    pub name: NodeId,
    /// Its data folder.
    pub folder: FolderId,
}

impl fmt::Display for VoterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.name, self.folder)
    }
}

/// Position of an entry in the replicated log, from one; zero is before the first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The position that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one, or zero.
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

/// Place of a write in the order in which a replica asks for durable writes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SyncPoint(pub u64);

/// The caller's number for a proposal, a read or a membership change; it stays in this process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallerToken(pub u64);
