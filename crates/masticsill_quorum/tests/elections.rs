//! Election and commitment rules that the generated schedules rarely exercise.

mod simulation;

use std::sync::Arc;

use masticsill_quorum::{
    CallerToken, Entry, Envelope, FolderId, Input, LogIndex, Membership, Message, Output, Payload,
    Replica, Role, Snapshot, StoredState, SyncPoint, VoterId,
};
use masticsill_types::{ClockMs, NodeId, Term};
use simulation::{NO_FAULTS, Simulation, settings};

const START: ClockMs = ClockMs(5_000);

fn id(number: u64) -> VoterId {
    VoterId {
        name: NodeId::new(format!("control-{number}")).unwrap(),
        folder: FolderId(number),
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(Arc::from([1])),
    }
}

/// Replica 1 of a three-voter cluster, with one synced entry of term 1.
fn replica_with_old_entry() -> Replica {
    let stored = StoredState {
        id: id(1),
        term: Term(1),
        voted_for: None,
        snapshot: Some(Snapshot::founding(Membership::from_voters(
            [1, 2, 3].map(id),
        ))),
        entries: vec![entry(1, 1)],
    };
    Replica::new(settings(), stored, START, 1).unwrap()
}

/// The same replica as leader of term 2, with its first entry not synced yet, and the time of its
/// election.
fn leader_with_old_entry() -> (Replica, u64) {
    let mut replica = replica_with_old_entry();
    let now = START.0 + settings().election_max_ms;
    start_election(&mut replica, now);
    sync(&mut replica, now, 1);
    receive(&mut replica, now, 2, vote_reply(2, true));
    assert_eq!(replica.role(), Role::Leader);
    (replica, now)
}

/// Makes the replica start an election in term 2; its own vote is not synced yet.
fn start_election(replica: &mut Replica, now: u64) -> Vec<Output> {
    replica.step(ClockMs(now), Input::Tick);
    let (term, is_granted) = (Term(2), true);
    let outputs = receive(replica, now, 2, Message::PreVoteReply { term, is_granted });
    assert_eq!(replica.role(), Role::Candidate);
    outputs
}

fn receive(replica: &mut Replica, now: u64, from: u64, message: Message) -> Vec<Output> {
    let envelope = Envelope {
        from: id(from),
        to: id(1),
        message,
    };
    replica.step(ClockMs(now), Input::Message(envelope))
}

fn sync(replica: &mut Replica, now: u64, up_to: u64) -> Vec<Output> {
    let up_to = SyncPoint(up_to);
    replica.step(ClockMs(now), Input::SyncDone { up_to })
}

fn commits(outputs: &[Output]) -> bool {
    outputs.iter().any(|it| matches!(it, Output::Apply { .. }))
}

fn sent(outputs: &[Output]) -> Vec<&Message> {
    let sends = outputs.iter().filter_map(|output| match output {
        Output::Send(envelope) => Some(&envelope.message),
        _ => None,
    });
    sends.collect()
}

fn vote(term: u64, last_index: u64, last_term: u64) -> Message {
    Message::Vote {
        term: Term(term),
        last_index: LogIndex(last_index),
        last_term: Term(last_term),
        is_transfer: false,
    }
}

fn vote_reply(term: u64, is_granted: bool) -> Message {
    let term = Term(term);
    Message::VoteReply { term, is_granted }
}

fn acknowledged(round: u64) -> Message {
    let term = Term(2);
    Message::HeartbeatAcknowledged { term, round }
}

fn append(term: u64, previous: (u64, u64), entries: Vec<Entry>) -> Message {
    Message::Append {
        term: Term(term),
        previous_index: LogIndex(previous.0),
        previous_term: Term(previous.1),
        commit: LogIndex(0),
        entries,
    }
}

fn accepted(term: u64, match_index: u64) -> Message {
    Message::AppendAccepted {
        term: Term(term),
        match_index: LogIndex(match_index),
    }
}

#[test]
fn entries_of_older_terms_commit_only_with_an_entry_of_the_current_term() {
    let (mut replica, now) = leader_with_old_entry();
    sync(&mut replica, now, 2);
    let alone = receive(&mut replica, now, 2, accepted(2, 1));
    assert!(
        !commits(&alone),
        "an entry of term 1 was committed without one of term 2"
    );
    assert!(commits(&receive(&mut replica, now, 2, accepted(2, 2))));
    assert_eq!(replica.commit_index(), LogIndex(2));
}

#[test]
fn a_leader_counts_its_own_entries_once_synced() {
    let (mut replica, now) = leader_with_old_entry();
    assert!(!commits(&receive(&mut replica, now, 2, accepted(2, 2))));
    assert!(commits(&sync(&mut replica, now, 2)));
}

#[test]
fn a_candidate_asks_for_votes_and_counts_its_own_once_synced() {
    let mut replica = replica_with_old_entry();
    let now = START.0 + settings().election_max_ms;
    assert!(sent(&start_election(&mut replica, now)).is_empty());
    // No reply can arrive before the request was sent. If one did, the candidate's own unsynced
    // vote must still not be counted.
    receive(&mut replica, now, 2, vote_reply(2, true));
    assert_eq!(replica.role(), Role::Candidate);
    let asked = sync(&mut replica, now, 1);
    let votes = sent(&asked)
        .into_iter()
        .filter(|it| matches!(it, Message::Vote { .. }));
    assert_eq!(votes.count(), 2);
    assert_eq!(replica.role(), Role::Leader);
}

#[test]
fn a_candidate_paused_past_the_lease_does_not_become_leader() {
    let mut replica = replica_with_old_entry();
    let now = START.0 + settings().election_max_ms;
    start_election(&mut replica, now);
    sync(&mut replica, now, 1);
    receive(
        &mut replica,
        now + settings().lease_ms + 1,
        2,
        vote_reply(2, true),
    );
    assert_eq!(replica.role(), Role::Follower);
}

#[test]
fn a_read_waits_for_a_heartbeat_round_started_after_it() {
    let (mut replica, now) = leader_with_old_entry();
    sync(&mut replica, now, 2);
    receive(&mut replica, now, 2, accepted(2, 2));
    let token = CallerToken(1);
    let ready = Output::ReadReady {
        token,
        index: LogIndex(2),
    };
    let asked = replica.step(ClockMs(now), Input::ReadIndex { token });
    assert!(!asked.contains(&ready));
    // The first round was started by the election, before the read.
    assert!(!receive(&mut replica, now, 2, acknowledged(1)).contains(&ready));
    assert!(receive(&mut replica, now, 2, acknowledged(2)).contains(&ready));
}

#[test]
fn a_message_to_the_identity_of_a_lost_folder_is_dropped() {
    let mut replica = replica_with_old_entry();
    let mut to = id(1);
    to.folder = FolderId(99);
    let envelope = Envelope {
        from: id(2),
        to,
        message: append(1, (1, 1), vec![entry(2, 1)]),
    };
    let outputs = replica.step(START, Input::Message(envelope));
    assert!(outputs.is_empty());
    assert_eq!(replica.last_index(), LogIndex(1));
}

#[test]
fn a_vote_is_sent_after_sync_and_only_for_an_up_to_date_log() {
    let now = START.0 + settings().election_min_ms;
    for (last_index, last_term, expects_grant) in [(1, 1, true), (2, 1, true), (0, 0, false)] {
        let mut replica = replica_with_old_entry();
        let before = receive(&mut replica, now, 2, vote(2, last_index, last_term));
        assert!(
            sent(&before).is_empty(),
            "the vote was sent before it was synced"
        );
        let after = sync(&mut replica, now, 2);
        let is_granted = expects_grant;
        assert_eq!(
            sent(&after),
            [&Message::VoteReply {
                term: Term(2),
                is_granted
            }]
        );
        // A second candidate of the same term is refused, however up to date its log is.
        let second = receive(&mut replica, now, 3, vote(2, 9, 1));
        let second_reply = [&second, &sync(&mut replica, now, 3)].map(|it| sent(it).len());
        assert_eq!(second_reply.iter().sum::<usize>(), 1);
        assert!(
            !expects_grant
                || matches!(
                    sent(&second)[0],
                    Message::VoteReply {
                        is_granted: false,
                        ..
                    }
                )
        );
    }
}

#[test]
fn a_replica_with_recent_leader_contact_or_just_started_does_not_vote() {
    let min_timeout_ms = settings().election_min_ms;
    let mut replica = replica_with_old_entry();
    let early = START.0 + min_timeout_ms - 1;
    assert!(receive(&mut replica, early, 2, vote(2, 1, 1)).is_empty());
    let heartbeat = Message::Heartbeat {
        term: Term(1),
        round: 1,
        commit: LogIndex(0),
    };
    let heard_at = early + 1_000;
    receive(&mut replica, heard_at, 3, heartbeat);
    assert!(
        receive(
            &mut replica,
            heard_at + min_timeout_ms - 1,
            2,
            vote(2, 1, 1)
        )
        .is_empty()
    );
    assert_eq!(replica.term(), Term(1));
    assert!(!receive(&mut replica, heard_at + min_timeout_ms, 2, vote(2, 1, 1)).is_empty());
    assert_eq!(replica.term(), Term(2));
}

#[test]
fn syncing_a_replaced_write_does_not_make_the_rewritten_entry_durable() {
    let mut replica = replica_with_old_entry();
    let now = START.0;
    receive(
        &mut replica,
        now + 1,
        2,
        append(3, (1, 1), vec![entry(2, 3)]),
    );
    receive(
        &mut replica,
        now + 2,
        3,
        append(4, (1, 1), vec![entry(2, 4)]),
    );
    let again = receive(
        &mut replica,
        now + 3,
        2,
        append(5, (1, 1), vec![entry(2, 3)]),
    );
    // Writes: vote 3, append, vote 4, truncate, append, vote 5, truncate, append.
    let is_last = |it: &Output| {
        matches!(
            it,
            Output::Persist {
                point: SyncPoint(8),
                ..
            }
        )
    };
    assert!(again.iter().any(is_last));
    assert!(sent(&sync(&mut replica, now + 4, 2)).is_empty());
    sync(&mut replica, now + 4, 6);
    let repeated = receive(
        &mut replica,
        now + 5,
        2,
        append(5, (1, 1), vec![entry(2, 3)]),
    );
    assert!(
        sent(&repeated).is_empty(),
        "the entry was acknowledged before its newest write was synced"
    );
    assert!(sent(&sync(&mut replica, now + 6, 8)).contains(&&accepted(5, 2)));
}

#[test]
fn a_replica_returning_from_a_partition_does_not_depose_the_leader() {
    for is_one_way in [false, true] {
        let mut simulation = Simulation::new(11, 3, NO_FAULTS);
        let leader = simulation.wait_for_leader();
        let cut = (leader + 1) % 3;
        for other in [leader, (leader + 2) % 3] {
            simulation.set_cut(other, cut, true);
            simulation.set_cut(cut, other, !is_one_way);
        }
        simulation.run_for(3_000);
        simulation.heal();
        simulation.run_for(1_000);
        let terms = simulation
            .nodes
            .iter()
            .map(|it| it.replica.as_ref().unwrap().term());
        let terms: Vec<Term> = terms.collect();
        assert_eq!(terms, vec![terms[leader]; 3]);
        assert_eq!(simulation.leader(), Some(leader));
    }
}
