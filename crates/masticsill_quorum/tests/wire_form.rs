//! Encoding and decoding of messages.

use std::sync::Arc;

use assert_matches::assert_matches;
use masticsill_quorum::{
    Entry, Envelope, FolderId, Learner, LogIndex, Membership, Message, Payload, VoterId, WireError,
    decode_message, encode_message,
};
use masticsill_types::{NodeId, Term};

fn id(number: u64) -> VoterId {
    VoterId {
        name: NodeId::new(format!("control-{number}")).unwrap(),
        folder: FolderId(number),
    }
}

fn envelope(message: Message) -> Envelope {
    Envelope {
        from: id(1),
        to: id(2),
        message,
    }
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(2),
        payload,
    }
}

fn append(entries: Vec<Entry>) -> Message {
    Message::Append {
        term: Term(2),
        previous_index: LogIndex(4),
        previous_term: Term(1),
        commit: LogIndex(3),
        entries,
    }
}

fn membership() -> Membership {
    let mut membership = Membership::from_voters([id(1), id(2)]);
    membership.learners.push(Learner {
        id: id(3),
        replaces: Some(id(2)),
    });
    membership.leaving.push(id(1));
    membership
}

#[test]
fn every_message_round_trips() {
    let (term, index, last_term) = (Term(7), LogIndex(9), Term(6));
    let is_granted = true;
    let messages = [
        append(vec![
            entry(5, Payload::Noop),
            entry(6, Payload::Command(Arc::from([1, 2]))),
            entry(7, Payload::Membership(membership())),
        ]),
        Message::AppendAccepted {
            term,
            match_index: index,
        },
        Message::AppendRejected {
            term,
            previous_index: index,
            hint: LogIndex(3),
        },
        Message::Heartbeat {
            term,
            round: 5,
            commit: index,
        },
        Message::HeartbeatAcknowledged { term, round: 5 },
        Message::PreVote {
            term,
            last_index: index,
            last_term,
        },
        Message::PreVoteReply { term, is_granted },
        Message::SnapshotChunk {
            term,
            index,
            index_term: last_term,
            membership: membership(),
            offset_bytes: 10,
            total_bytes: 20,
            data: Arc::from([3, 4]),
        },
        Message::SnapshotProgress {
            term,
            index,
            next_offset_bytes: 12,
        },
        Message::TimeoutNow { term },
        Message::Vote {
            term,
            last_index: index,
            last_term,
            is_transfer: true,
        },
        Message::VoteReply { term, is_granted },
    ];
    for message in messages {
        let sent = envelope(message);
        let bytes = encode_message(sent.clone());
        assert_eq!(decode_message(&bytes).unwrap(), sent);
        for size in 0..bytes.len() {
            assert!(
                decode_message(&bytes[..size]).is_err(),
                "{sent:?} cut at {size}"
            );
        }
    }
}

#[test]
fn invalid_memberships_and_entry_gaps_are_refused() {
    let mut twice = membership();
    twice.voters.push(id(3));
    let repeated = append(vec![entry(5, Payload::Membership(twice))]);
    let bytes = encode_message(envelope(repeated));
    assert_matches!(decode_message(&bytes), Err(WireError::Membership));
    for indexes in [vec![6], vec![5, 7], vec![5, 5]] {
        let entries = indexes.iter().map(|index| entry(*index, Payload::Noop));
        let bytes = encode_message(envelope(append(entries.collect())));
        assert_matches!(decode_message(&bytes), Err(WireError::EntryGap));
    }
}
