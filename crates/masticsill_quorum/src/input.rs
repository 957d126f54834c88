//! Inputs of a replica.

use std::sync::Arc;

use crate::{CallerToken, Envelope, LogIndex, MembershipChange, SyncPoint, VoterId};

/// A command that a caller proposes for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The caller's number for this proposal.
    pub token: CallerToken,
    /// The command, opaque to this crate.
    pub command: Arc<[u8]>,
}

/// An input to [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A caller requests a membership change; answered like a proposal.
    ChangeMembership {
        /// The caller's number for this change.
        token: CallerToken,
        /// The change.
        change: MembershipChange,
    },
    /// A message arrived.
    Message(Envelope),
    /// Callers propose commands, to be appended in this order and covered by one sync.
    Propose {
        /// The commands.
        proposals: Vec<Proposal>,
    },
    /// A caller requests a linearizable read: of the state at this time or later.
    ReadIndex {
        /// The caller's number for this read.
        token: CallerToken,
    },
    /// The caller has serialized its state as of the entry at `index`.
    SnapshotTaken {
        /// Index of the last entry that the state contains, already returned by
        /// [`Output::Apply`](crate::Output::Apply).
        index: LogIndex,
        /// The serialized state.
        data: Arc<[u8]>,
    },
    /// Every requested write up to a point is synced.
    SyncDone {
        /// The last synced point.
        up_to: SyncPoint,
    },
    /// Drives timers. Expected several times per heartbeat interval.
    Tick,
    /// Transfer leadership away from this replica, before a planned stop.
    TransferLeadership {
        /// The next leader; `None` lets the replica choose.
        target: Option<VoterId>,
    },
}
