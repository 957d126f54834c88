//! Messages between replicas.

use std::sync::Arc;

use masticsill_types::Term;

use crate::{Entry, LogIndex, Membership, VoterId};

/// A message with its sender and receiver.
///
/// A replica drops a message that is not addressed to its full identity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The sender.
    pub from: VoterId,
    /// The receiver.
    pub to: VoterId,
    /// The message.
    pub message: Message,
}

/// A message between replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Sent by the leader: entries that follow `previous_index`.
    Append {
        /// The leader's term.
        term: Term,
        /// Index of the entry before the first one in `entries`.
        previous_index: LogIndex,
        /// Term of the entry at `previous_index`.
        previous_term: Term,
        /// The leader's commit index.
        commit: LogIndex,
        /// Consecutive entries; may be empty.
        entries: Vec<Entry>,
    },
    /// Sent by a follower: its synced log matches the leader's up to `match_index`.
    AppendAccepted {
        /// The follower's term.
        term: Term,
        /// The last index that matches the leader's log and is synced.
        match_index: LogIndex,
    },
    /// Sent by a follower: its log has no entry at `previous_index` with the term sent.
    AppendRejected {
        /// The follower's term.
        term: Term,
        /// The index that did not match, as sent by the leader.
        previous_index: LogIndex,
        /// The last index at which the follower's log may match the leader's.
        hint: LogIndex,
    },
    /// Sent by the leader: shows that the leader is alive and requests an acknowledgement.
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// Number of the heartbeat round within the term.
        round: u64,
        /// The commit index, capped at the last index known to match the follower's log.
        commit: LogIndex,
    },
    /// Sent by a follower: it received a heartbeat.
    HeartbeatAcknowledged {
        /// The follower's term.
        term: Term,
        /// Number of the acknowledged round; zero in an answer to a message of a lower term.
        round: u64,
    },
    /// Sent by a pre-candidate: asks whether the receiver would vote for it. No term changes.
    PreVote {
        /// The term of the election that the sender would start.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// The answer to a [`Message::PreVote`].
    PreVoteReply {
        /// The term of the pre-vote if granted, the voter's own term otherwise.
        term: Term,
        /// Whether the voter would grant its vote.
        is_granted: bool,
    },
    /// Sent by the leader: a part of its snapshot.
    SnapshotChunk {
        /// The leader's term.
        term: Term,
        /// Index of the last entry that the snapshot contains.
        index: LogIndex,
        /// Term of the entry at `index`.
        index_term: Term,
        /// The membership in effect at `index`.
        membership: Membership,
        /// Offset of this part in the snapshot's data, in bytes.
        offset_bytes: u64,
        /// Total size of the snapshot's data, in bytes.
        total_bytes: u64,
        /// The data of this part.
        data: Arc<[u8]>,
    },
    /// Sent by a follower: it has received a snapshot's data up to an offset.
    SnapshotProgress {
        /// The follower's term.
        term: Term,
        /// Index of the last entry that the snapshot contains.
        index: LogIndex,
        /// Offset of the next part that the follower needs, in bytes.
        next_offset_bytes: u64,
    },
    /// Sent by the leader to transfer leadership: a voter that holds the leader's entire log is to
    /// start an election without waiting for its election timeout.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
    /// Sent by a candidate: requests a vote.
    Vote {
        /// The candidate's term.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the election is a leadership transfer requested by the leader.
        is_transfer: bool,
    },
    /// The answer to a [`Message::Vote`], sent once the vote is synced.
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the vote is granted.
        is_granted: bool,
    },
}

impl Message {
    /// The sender's term; for a pre-vote and a granted reply, the term of the election asked about.
    #[must_use]
    pub fn term(&self) -> Term {
        match self {
            Self::Append { term, .. }
            | Self::AppendAccepted { term, .. }
            | Self::AppendRejected { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatAcknowledged { term, .. }
            | Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::SnapshotChunk { term, .. }
            | Self::SnapshotProgress { term, .. }
            | Self::TimeoutNow { term }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. } => *term,
        }
    }
}
