//! What a replica asks of its caller.

use std::fmt;

use masticsill_types::Term;

use crate::{
    CallerToken, Entry, Envelope, LogIndex, MembershipError, Snapshot, SyncPoint, VoterId,
};

/// What a replica asks of its caller.
///
/// Outputs are carried out in order, all of one step before the next step's: a write that is
/// overtaken by a later one would break the order that [`SyncPoint`] stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// The replica's role, term or known leader changed.
    RoleChanged {
        /// The role.
        role: Role,
        /// The term.
        term: Term,
        /// The leader, if known.
        leader: Option<VoterId>,
    },
    /// Entries are committed: apply them in order. Each is given out once in a replica's life.
    Apply {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A proposal or membership change of this replica's callers is committed.
    Committed {
        /// The caller's number.
        token: CallerToken,
        /// Where it stands in the log.
        index: LogIndex,
    },
    /// Leadership ended before the fate of a proposal was known: it may yet be committed.
    OutcomeUnknown {
        /// The caller's number.
        token: CallerToken,
    },
    /// Write to the data folder, in order; report `SyncDone` after the sync.
    Persist {
        /// The write's place in the order.
        point: SyncPoint,
        /// The write.
        write: Write,
    },
    /// Every entry committed when the read arrived is committed here and was given out.
    ReadReady {
        /// The caller's number.
        token: CallerToken,
        /// The state to read contains at least this entry.
        index: LogIndex,
    },
    /// A membership change is refused; the log does not contain it.
    RefusedMembership {
        /// The caller's number.
        token: CallerToken,
        /// Why, with the remedy.
        error: MembershipError,
    },
    /// A proposal or membership change is refused; the log does not contain it.
    RefusedPropose {
        /// The caller's number.
        token: CallerToken,
        /// Why.
        reason: RefusalReason,
        /// Who may accept it.
        leader_hint: Option<VoterId>,
    },
    /// A read is refused.
    RefusedRead {
        /// The caller's number.
        token: CallerToken,
        /// Who may serve it.
        leader_hint: Option<VoterId>,
    },
    /// Replace the caller's state by a snapshot that the leader sent.
    RestoreSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Send a message; it may be lost. All that it relies on is synced.
    Send(Envelope),
    /// The log has grown long: serialise the state and report `SnapshotTaken`.
    TakeSnapshot {
        /// The last entry given out as committed.
        index: LogIndex,
    },
}

/// A write to the data folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Append entries to the log.
    Append {
        /// The entries, without gaps.
        entries: Vec<Entry>,
    },
    /// Store a snapshot; the log up to its index is not needed any more.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Drop the entries from an index on.
    TruncateFrom {
        /// The first entry to drop.
        index: LogIndex,
    },
    /// Store the term and the vote.
    Vote {
        /// The term.
        term: Term,
        /// Whom the replica voted for in that term.
        voted_for: Option<VoterId>,
    },
}

/// What a replica is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Stands for election in its term.
    Candidate,
    /// Follows a leader or waits for one.
    Follower,
    /// Leads its term.
    Leader,
    /// Asks whether it would be elected.
    PreCandidate,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Candidate => "candidate",
            Self::Follower => "follower",
            Self::Leader => "leader",
            Self::PreCandidate => "pre_candidate",
        })
    }
}

/// Why a proposal is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// This replica does not lead, or its lease has run out.
    NotLeader,
    /// Too many proposals wait for commitment.
    TooManyPending,
    /// Leadership is being handed over.
    Transferring,
}
