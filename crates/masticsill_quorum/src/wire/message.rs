//! Serialized form of messages between replicas.

use std::sync::Arc;

use masticsill_types::Term;
use serde::{Deserialize, Serialize};

use crate::wire::WireError;
use crate::wire::entry::{WireEntry, WireMembership, WireVoterId, convert, try_convert};
use crate::{Entry, Envelope, LogIndex, Message};

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireEnvelope {
    from: WireVoterId,
    to: WireVoterId,
    message: WireMessage,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
enum WireMessage {
    Append {
        term: u64,
        previous_index: u64,
        previous_term: u64,
        commit: u64,
        entries: Vec<WireEntry>,
    },
    AppendAccepted {
        term: u64,
        match_index: u64,
    },
    AppendRejected {
        term: u64,
        previous_index: u64,
        hint: u64,
    },
    Heartbeat {
        term: u64,
        round: u64,
        commit: u64,
    },
    HeartbeatAcknowledged {
        term: u64,
        round: u64,
    },
    PreVote {
        term: u64,
        last_index: u64,
        last_term: u64,
    },
    PreVoteReply {
        term: u64,
        is_granted: bool,
    },
    SnapshotChunk {
        term: u64,
        index: u64,
        index_term: u64,
        membership: WireMembership,
        offset_bytes: u64,
        total_bytes: u64,
        data: Arc<[u8]>,
    },
    SnapshotProgress {
        term: u64,
        index: u64,
        next_offset_bytes: u64,
    },
    TimeoutNow {
        term: u64,
    },
    Vote {
        term: u64,
        last_index: u64,
        last_term: u64,
        is_transfer: bool,
    },
    VoteReply {
        term: u64,
        is_granted: bool,
    },
}

impl From<Envelope> for WireEnvelope {
    fn from(envelope: Envelope) -> Self {
        Self {
            from: envelope.from.into(),
            to: envelope.to.into(),
            message: envelope.message.into(),
        }
    }
}

impl TryFrom<WireEnvelope> for Envelope {
    type Error = WireError;

    fn try_from(wire: WireEnvelope) -> Result<Self, Self::Error> {
        Ok(Self {
            from: wire.from.try_into()?,
            to: wire.to.try_into()?,
            message: wire.message.try_into()?,
        })
    }
}

impl From<Message> for WireMessage {
    fn from(message: Message) -> Self {
        match message {
            Message::Append {
                term,
                previous_index,
                previous_term,
                commit,
                entries,
            } => Self::Append {
                term: term.0,
                previous_index: previous_index.0,
                previous_term: previous_term.0,
                commit: commit.0,
                entries: convert(entries),
            },
            Message::AppendAccepted { term, match_index } => Self::AppendAccepted {
                term: term.0,
                match_index: match_index.0,
            },
            Message::AppendRejected {
                term,
                previous_index,
                hint,
            } => Self::AppendRejected {
                term: term.0,
                previous_index: previous_index.0,
                hint: hint.0,
            },
            Message::Heartbeat {
                term,
                round,
                commit,
            } => Self::Heartbeat {
                term: term.0,
                round,
                commit: commit.0,
            },
            Message::HeartbeatAcknowledged { term, round } => Self::HeartbeatAcknowledged {
                term: term.0,
                round,
            },
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => Self::PreVote {
                term: term.0,
                last_index: last_index.0,
                last_term: last_term.0,
            },
            Message::PreVoteReply { term, is_granted } => Self::PreVoteReply {
                term: term.0,
                is_granted,
            },
            Message::SnapshotChunk {
                term,
                index,
                index_term,
                membership,
                offset_bytes,
                total_bytes,
                data,
            } => Self::SnapshotChunk {
                term: term.0,
                index: index.0,
                index_term: index_term.0,
                membership: membership.into(),
                offset_bytes,
                total_bytes,
                data,
            },
            Message::SnapshotProgress {
                term,
                index,
                next_offset_bytes,
            } => Self::SnapshotProgress {
                term: term.0,
                index: index.0,
                next_offset_bytes,
            },
            Message::TimeoutNow { term } => Self::TimeoutNow { term: term.0 },
            Message::Vote {
                term,
                last_index,
                last_term,
                is_transfer,
            } => Self::Vote {
                term: term.0,
                last_index: last_index.0,
                last_term: last_term.0,
                is_transfer,
            },
            Message::VoteReply { term, is_granted } => Self::VoteReply {
                term: term.0,
                is_granted,
            },
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = WireError;

    fn try_from(wire: WireMessage) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireMessage::Append {
                term,
                previous_index,
                previous_term,
                commit,
                entries,
            } => Self::Append {
                term: Term(term),
                previous_index: LogIndex(previous_index),
                previous_term: Term(previous_term),
                commit: LogIndex(commit),
                entries: contiguous(previous_index, entries)?,
            },
            WireMessage::AppendAccepted { term, match_index } => Self::AppendAccepted {
                term: Term(term),
                match_index: LogIndex(match_index),
            },
            WireMessage::AppendRejected {
                term,
                previous_index,
                hint,
            } => Self::AppendRejected {
                term: Term(term),
                previous_index: LogIndex(previous_index),
                hint: LogIndex(hint),
            },
            WireMessage::Heartbeat {
                term,
                round,
                commit,
            } => Self::Heartbeat {
                term: Term(term),
                round,
                commit: LogIndex(commit),
            },
            WireMessage::HeartbeatAcknowledged { term, round } => Self::HeartbeatAcknowledged {
                term: Term(term),
                round,
            },
            WireMessage::PreVote {
                term,
                last_index,
                last_term,
            } => Self::PreVote {
                term: Term(term),
                last_index: LogIndex(last_index),
                last_term: Term(last_term),
            },
            WireMessage::PreVoteReply { term, is_granted } => Self::PreVoteReply {
                term: Term(term),
                is_granted,
            },
            WireMessage::SnapshotChunk {
                term,
                index,
                index_term,
                membership,
                offset_bytes,
                total_bytes,
                data,
            } => Self::SnapshotChunk {
                term: Term(term),
                index: LogIndex(index),
                index_term: Term(index_term),
                membership: membership.try_into()?,
                offset_bytes,
                total_bytes,
                data,
            },
            WireMessage::SnapshotProgress {
                term,
                index,
                next_offset_bytes,
            } => Self::SnapshotProgress {
                term: Term(term),
                index: LogIndex(index),
                next_offset_bytes,
            },
            WireMessage::TimeoutNow { term } => Self::TimeoutNow { term: Term(term) },
            WireMessage::Vote {
                term,
                last_index,
                last_term,
                is_transfer,
            } => Self::Vote {
                term: Term(term),
                last_index: LogIndex(last_index),
                last_term: Term(last_term),
                is_transfer,
            },
            WireMessage::VoteReply { term, is_granted } => Self::VoteReply {
                term: Term(term),
                is_granted,
            },
        })
    }
}

/// Converts entries, rejecting them if their indexes do not follow `previous_index` without gaps.
fn contiguous(previous_index: u64, wire: Vec<WireEntry>) -> Result<Vec<Entry>, WireError> {
    let entries: Vec<Entry> = try_convert(wire)?;
    let mut expected = LogIndex(previous_index);
    for entry in &entries {
        expected = expected.next();
        if entry.index != expected {
            return Err(WireError::EntryGap);
        }
    }
    Ok(entries)
}
