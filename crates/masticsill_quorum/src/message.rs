//! Messages between replicas.

use std::sync::Arc;

use masticsill_types::Term;

use crate::{Entry, LogIndex, Membership, VoterId};

/// A message with both ends. A replica drops what is not meant for its whole identity.
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
    /// The leader sends entries that follow `previous_index`.
    Append {
        /// The leader's term.
        term: Term,
        /// Index of the entry before the first sent.
        previous_index: LogIndex,
        /// That entry's term.
        previous_term: Term,
        /// The leader's commit index.
        commit: LogIndex,
        /// The entries, without gaps; may be empty.
        entries: Vec<Entry>,
    },
    /// A follower holds the leader's log, synced, up to an index.
    AppendAccepted {
        /// The follower's term.
        term: Term,
        /// The last index that matches and is synced.
        match_index: LogIndex,
    },
    /// A follower's log does not hold the entry before the first sent.
    AppendRejected {
        /// The follower's term.
        term: Term,
        /// The index that did not match.
        previous_index: LogIndex,
        /// The last index at which the follower's log may match.
        hint: LogIndex,
    },
    /// The leader shows that it is alive and asks whether it is still followed.
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// Number of the round within the term.
        round: u64,
        /// The commit index as far as the follower's log is known to match.
        commit: LogIndex,
    },
    /// A follower has seen a heartbeat.
    HeartbeatAcknowledged {
        /// The follower's term.
        term: Term,
        /// The round.
        round: u64,
    },
    /// A replica asks whether it would be elected, without disturbing anyone.
    PreVote {
        /// The term in which it would stand.
        term: Term,
        /// Its last index.
        last_index: LogIndex,
        /// Its last entry's term.
        last_term: Term,
    },
    /// The answer to a pre-vote.
    PreVoteReply {
        /// The term asked for when granted, the voter's term otherwise.
        term: Term,
        /// Whether the voter would vote so.
        is_granted: bool,
    },
    /// The leader sends a part of its snapshot.
    SnapshotChunk {
        /// The leader's term.
        term: Term,
        /// The snapshot's last index.
        index: LogIndex,
        /// That entry's term.
        index_term: Term,
        /// The membership at that index.
        membership: Membership,
        /// Where the part begins in the data, in bytes.
        offset_bytes: u64,
        /// Size of the whole data, in bytes.
        total_bytes: u64,
        /// The part.
        data: Arc<[u8]>,
    },
    /// A follower holds a snapshot's data up to an offset.
    SnapshotProgress {
        /// The follower's term.
        term: Term,
        /// The snapshot's last index.
        index: LogIndex,
        /// Where the next part begins, in bytes.
        next_offset_bytes: u64,
    },
    /// The leader asks a voter that holds its whole log to stand at once.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
    /// A candidate asks for a vote.
    Vote {
        /// The candidate's term.
        term: Term,
        /// Its last index.
        last_index: LogIndex,
        /// Its last entry's term.
        last_term: Term,
        /// Whether the leader itself asked the candidate to stand.
        is_transfer: bool,
    },
    /// The answer to a vote, sent once the vote is synced.
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the vote is given.
        is_granted: bool,
    },
}

impl Message {
    /// The sender's term, or the term that a pre-vote asks for.
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
