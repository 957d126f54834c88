//! Outputs of a replica.

use std::fmt;

use masticsill_types::Term;

use crate::{
    CallerToken, Entry, Envelope, LogIndex, MembershipError, Snapshot, SyncPoint, VoterId,
};

/// An action that a replica requests of its caller.
///
/// The caller must perform outputs in order, and all outputs of one step before those of the next:
/// a write that is overtaken by a later one would break the order that [`SyncPoint`] numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// The replica's role, term or known leader changed.
    RoleChanged {
        /// The current role.
        role: Role,
        /// The current term.
        term: Term,
        /// The leader of the term, if known.
        leader: Option<VoterId>,
    },
    /// Apply these committed entries in order. Each is returned at most once per [`Replica`] value.
    ///
    /// [`Replica`]: crate::Replica
    Apply {
        /// The committed entries, without gaps.
        entries: Vec<Entry>,
    },
    /// A proposal or membership change made through this replica is committed.
    Committed {
        /// The caller's number for the request.
        token: CallerToken,
        /// Index of the committed entry.
        index: LogIndex,
    },
    /// Leadership ended before the outcome of a proposal or membership change was known. The entry
    /// may still be committed by a later leader.
    OutcomeUnknown {
        /// The caller's number for the request.
        token: CallerToken,
    },
    /// Write to the data folder, in order, and report [`Input::SyncDone`] after the sync.
    ///
    /// [`Input::SyncDone`]: crate::Input::SyncDone
    Persist {
        /// Sequence number of the write.
        point: SyncPoint,
        /// The write.
        write: Write,
    },
    /// A read may be served: every entry that was committed when the read arrived has been returned
    /// by [`Output::Apply`].
    ReadReady {
        /// The caller's number for the request.
        token: CallerToken,
        /// The state that is read must contain at least this entry.
        index: LogIndex,
    },
    /// A membership change is refused; it was not appended to the log.
    RefusedMembership {
        /// The caller's number for the request.
        token: CallerToken,
        /// The reason and the remedy.
        error: MembershipError,
    },
    /// A proposal or membership change is refused; it was not appended to the log.
    RefusedPropose {
        /// The caller's number for the request.
        token: CallerToken,
        /// The reason.
        reason: RefusalReason,
        /// The replica that may accept the request, if known.
        leader_hint: Option<VoterId>,
    },
    /// A read is refused.
    RefusedRead {
        /// The caller's number for the request.
        token: CallerToken,
        /// The replica that may serve the read, if known.
        leader_hint: Option<VoterId>,
    },
    /// Replace the caller's state with a snapshot received from the leader.
    RestoreSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Send a message. Delivery is not required. Every write that the message depends on is synced.
    Send(Envelope),
    /// Enough entries were committed since the last snapshot: serialize the state and report
    /// [`Input::SnapshotTaken`].
    ///
    /// [`Input::SnapshotTaken`]: crate::Input::SnapshotTaken
    TakeSnapshot {
        /// Index of the last entry returned by [`Output::Apply`].
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
    /// Store a snapshot; the log up to the snapshot's index is no longer needed.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Remove the entries from an index on.
    TruncateFrom {
        /// Index of the first entry to remove.
        index: LogIndex,
    },
    /// Store the term and the vote.
    Vote {
        /// The current term; it never decreases.
        term: Term,
        /// The replica that receives the vote in `term`, if any.
        voted_for: Option<VoterId>,
    },
}

/// A replica's role in its term.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Has started an election in its term.
    Candidate,
    /// Follows a leader or waits for one.
    Follower,
    /// Leads the cluster in its term.
    Leader,
    /// Asks the other voters whether it would be elected, before starting an election.
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

/// Why a proposal or membership change is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// This replica is not the leader, or its lease has expired.
    NotLeader,
    /// Too many proposals are waiting to be committed.
    TooManyPending,
    /// A leadership transfer is in progress.
    Transferring,
}
