//! Rules of elections and commitment that generated schedules reach rarely.

mod simulation;

use std::sync::Arc;

use masticsill_quorum::{
    CallerToken, Entry, Envelope, FolderId, Input, LogIndex, Membership, Message, Output, Payload,
    Replica, Role, Snapshot, StoredState, SyncPoint, VoterId,
};
use masticsill_types::{ClockMs, NodeId, Term};
use simulation::{CALM, Simulation, settings};

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

/// Replica 1 of three, with one synced entry of term 1.
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

/// The replica as leader of term 2, its first entry not synced yet; the time it was elected at.
fn leader_with_old_entry() -> (Replica, u64) {
    let mut replica = replica_with_old_entry();
    let now = START.0 + settings().election_max_ms;
    stand(&mut replica, now);
    sync(&mut replica, now, 1);
    hear(&mut replica, now, 2, vote_reply(2, true));
    assert_eq!(replica.role(), Role::Leader);
    (replica, now)
}

/// Lets the replica stand in term 2; its own vote is not synced yet.
fn stand(replica: &mut Replica, now: u64) -> Vec<Output> {
    replica.step(ClockMs(now), Input::Tick);
    let (term, is_granted) = (Term(2), true);
    let stood = hear(replica, now, 2, Message::PreVoteReply { term, is_granted });
    assert_eq!(replica.role(), Role::Candidate);
    stood
}

fn hear(replica: &mut Replica, now: u64, from: u64, message: Message) -> Vec<Output> {
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
fn an_older_term_is_committed_only_with_an_entry_of_the_leaders_own() {
    let (mut replica, now) = leader_with_old_entry();
    sync(&mut replica, now, 2);
    let alone = hear(&mut replica, now, 2, accepted(2, 1));
    assert!(!commits(&alone), "an entry of term 1 alone");
    assert!(commits(&hear(&mut replica, now, 2, accepted(2, 2))));
    assert_eq!(replica.commit_index(), LogIndex(2));
}

#[test]
fn a_leader_counts_its_own_entries_once_synced() {
    let (mut replica, now) = leader_with_old_entry();
    assert!(!commits(&hear(&mut replica, now, 2, accepted(2, 2))));
    assert!(commits(&sync(&mut replica, now, 2)));
}

#[test]
fn a_candidate_asks_for_votes_and_counts_its_own_once_synced() {
    let mut replica = replica_with_old_entry();
    let now = START.0 + settings().election_max_ms;
    assert!(sent(&stand(&mut replica, now)).is_empty());
    // An answer can't come before the question; the own vote must not count all the same.
    hear(&mut replica, now, 2, vote_reply(2, true));
    assert_eq!(replica.role(), Role::Candidate);
    let asked = sync(&mut replica, now, 1);
    let votes = sent(&asked)
        .into_iter()
        .filter(|it| matches!(it, Message::Vote { .. }));
    assert_eq!(votes.count(), 2);
    assert_eq!(replica.role(), Role::Leader);
}

#[test]
fn a_candidate_paused_past_the_lease_does_not_lead_on_old_votes() {
    let mut replica = replica_with_old_entry();
    let now = START.0 + settings().election_max_ms;
    stand(&mut replica, now);
    sync(&mut replica, now, 1);
    hear(
        &mut replica,
        now + settings().lease_ms + 1,
        2,
        vote_reply(2, true),
    );
    assert_eq!(replica.role(), Role::Follower);
}

#[test]
fn a_read_waits_for_a_round_that_began_after_it() {
    let (mut replica, now) = leader_with_old_entry();
    sync(&mut replica, now, 2);
    hear(&mut replica, now, 2, accepted(2, 2));
    let token = CallerToken(1);
    let ready = Output::ReadReady {
        token,
        index: LogIndex(2),
    };
    let asked = replica.step(ClockMs(now), Input::ReadIndex { token });
    assert!(!asked.contains(&ready));
    // The first round began with the election.
    assert!(!hear(&mut replica, now, 2, acknowledged(1)).contains(&ready));
    assert!(hear(&mut replica, now, 2, acknowledged(2)).contains(&ready));
}

#[test]
fn what_was_meant_for_a_lost_folder_is_dropped() {
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
fn a_vote_is_sent_once_synced_and_only_for_a_whole_log() {
    let now = START.0 + settings().election_min_ms;
    for (last_index, last_term, is_wanted) in [(1, 1, true), (2, 1, true), (0, 0, false)] {
        let mut replica = replica_with_old_entry();
        let before = hear(&mut replica, now, 2, vote(2, last_index, last_term));
        assert!(sent(&before).is_empty(), "a reply before the sync");
        let after = sync(&mut replica, now, 2);
        let is_granted = is_wanted;
        assert_eq!(
            sent(&after),
            [&Message::VoteReply {
                term: Term(2),
                is_granted
            }]
        );
        // Another candidate of the term is refused, whatever its log.
        let second = hear(&mut replica, now, 3, vote(2, 9, 1));
        let second_reply = [&second, &sync(&mut replica, now, 3)].map(|it| sent(it).len());
        assert_eq!(second_reply.iter().sum::<usize>(), 1);
        assert!(
            !is_wanted
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
fn a_replica_that_hears_a_leader_or_has_just_started_does_not_vote() {
    let patience_ms = settings().election_min_ms;
    let mut replica = replica_with_old_entry();
    let early = START.0 + patience_ms - 1;
    assert!(hear(&mut replica, early, 2, vote(2, 1, 1)).is_empty());
    let heartbeat = Message::Heartbeat {
        term: Term(1),
        round: 1,
        commit: LogIndex(0),
    };
    let heard_at = early + 1_000;
    hear(&mut replica, heard_at, 3, heartbeat);
    assert!(hear(&mut replica, heard_at + patience_ms - 1, 2, vote(2, 1, 1)).is_empty());
    assert_eq!(replica.term(), Term(1));
    assert!(!hear(&mut replica, heard_at + patience_ms, 2, vote(2, 1, 1)).is_empty());
    assert_eq!(replica.term(), Term(2));
}

#[test]
fn a_sync_of_a_replaced_write_proves_nothing_about_the_same_entry() {
    let mut replica = replica_with_old_entry();
    let now = START.0;
    hear(
        &mut replica,
        now + 1,
        2,
        append(3, (1, 1), vec![entry(2, 3)]),
    );
    hear(
        &mut replica,
        now + 2,
        3,
        append(4, (1, 1), vec![entry(2, 4)]),
    );
    let again = hear(
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
    let repeated = hear(
        &mut replica,
        now + 5,
        2,
        append(5, (1, 1), vec![entry(2, 3)]),
    );
    assert!(
        sent(&repeated).is_empty(),
        "acknowledged before the newest write is synced"
    );
    assert!(sent(&sync(&mut replica, now + 6, 8)).contains(&&accepted(5, 2)));
}

#[test]
fn a_replica_that_was_cut_off_does_not_disturb_the_leader() {
    for is_one_way in [false, true] {
        let mut simulation = Simulation::new(11, 3, CALM);
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
