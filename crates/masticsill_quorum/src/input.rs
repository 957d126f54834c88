//! What a replica is told.

use std::sync::Arc;

use crate::{CallerToken, Envelope, LogIndex, MembershipChange, SyncPoint, VoterId};

/// A command that a caller wants in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The caller's number for it.
    pub token: CallerToken,
    /// The command, opaque.
    pub command: Arc<[u8]>,
}

/// What a replica is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A caller asks for a membership change; answered like a proposal.
    ChangeMembership {
        /// The caller's number for it.
        token: CallerToken,
        /// The change.
        change: MembershipChange,
    },
    /// A message arrived.
    Message(Envelope),
    /// Callers want commands in the log, in this order, under one sync.
    Propose {
        /// The commands.
        proposals: Vec<Proposal>,
    },
    /// A caller wants to read the state as it is now or later.
    ReadIndex {
        /// The caller's number for it.
        token: CallerToken,
    },
    /// The caller serialised its state as it was after the entry at `index`.
    SnapshotTaken {
        /// The last entry that the state contains; it was given out as committed.
        index: LogIndex,
        /// The state.
        data: Arc<[u8]>,
    },
    /// Every write up to a point is synced.
    SyncDone {
        /// The point.
        up_to: SyncPoint,
    },
    /// Time has passed. Expected several times in each heartbeat interval.
    Tick,
    /// This replica is to hand leadership over before a planned stop.
    TransferLeadership {
        /// Who is to lead; none lets the replica choose.
        target: Option<VoterId>,
    },
}
