//! Answers stay complete, without gaps or repeated tokens, when engines and agents fail.

use masticsill_types::{AttemptFailure, AttemptState, FinishReason};

use crate::support::{FakeSink, Fixture};

const RUNNING: AttemptState = AttemptState::Running;
const STOPPED: AttemptState = AttemptState::Finished(FinishReason::Stop);

#[test]
fn generation_of_a_lost_engine_resumes_elsewhere_after_the_accepted_tokens() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    fixture.submit(&sink);
    let first = fixture.take_start();
    fixture.accept(&first);
    fixture.push_progress(&first, 0, &[b"a", b"b"], RUNNING);
    let lost = AttemptState::Failed(AttemptFailure::EngineLost);
    fixture.push_progress(&first, 2, &[b"c"], lost);

    let second = fixture.take_start();
    assert_ne!(second.0, first.0, "the failed agent is not tried again");
    let accepted: Vec<u32> = second.1.accepted.iter().map(|token| token.id).collect();
    assert_eq!(
        accepted,
        [u32::from(b'a'), u32::from(b'b'), u32::from(b'c')]
    );

    fixture.accept(&second);
    fixture.push_progress(&first, 3, &[b"X"], RUNNING);
    fixture.push_progress(&second, 3, &[b"d"], STOPPED);
    assert_eq!(
        sink.text(),
        "abcd",
        "late tokens of the first attempt are dropped"
    );
    assert!(sink.is_finished());
}

#[test]
fn repeated_tokens_and_an_end_after_a_gap_are_ignored() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    fixture.submit(&sink);
    let started = fixture.take_start();
    fixture.accept(&started);
    fixture.push_progress(&started, 0, &[b"a", b"b"], RUNNING);
    fixture.push_progress(&started, 0, &[b"a", b"b"], RUNNING);
    fixture.push_progress(&started, 1, &[b"b", b"c"], RUNNING);
    fixture.push_progress(&started, 7, &[b"h"], STOPPED);
    assert_eq!(sink.text(), "abc");
    assert!(
        !sink.is_finished(),
        "an end after missing tokens must not end the answer"
    );
}

#[test]
fn attempt_of_a_lost_agent_moves_to_another_agent() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    fixture.submit(&sink);
    let first = fixture.take_start();
    fixture.accept(&first);
    fixture.table.agent_lost(fixture.now, &first.0);
    let second = fixture.take_start();
    assert_ne!(second.0, first.0);
}

#[test]
fn slow_caller_gets_the_complete_answer() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(1);
    fixture.submit(&sink);
    let started = fixture.take_start();
    fixture.accept(&started);
    for (index, bytes) in [b"a", b"b", b"c"].into_iter().enumerate() {
        let index = u32::try_from(index).expect("a small index");
        fixture.push_progress(&started, index, &[bytes], RUNNING);
    }
    fixture.push_progress(&started, 3, &[b"d"], STOPPED);
    assert_eq!(sink.text(), "a");
    sink.add_room(10);
    fixture.advance(20);
    assert_eq!(sink.text(), "abcd");
    assert!(sink.is_finished());
}

#[test]
fn a_character_split_over_two_tokens_arrives_whole() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    fixture.submit(&sink);
    let started = fixture.take_start();
    fixture.accept(&started);
    fixture.push_progress(&started, 0, &[b"\xc3"], RUNNING);
    assert_eq!(sink.text(), "");
    fixture.push_progress(&started, 1, &[b"\xbc"], STOPPED);
    assert_eq!(sink.text(), "ü");
}

#[test]
fn start_whose_reply_is_lost_is_never_sent_again_under_its_lineage() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    fixture.submit(&sink);
    let first = fixture.take_start();
    let lineage = first.1.history[0].lineage;
    let id = first.1.spec.id;
    fixture
        .table
        .start_reply_lost(fixture.now, &first.0, id, lineage);
    let second = fixture.take_start();
    let second_lineage = second.1.history.last().expect("a history").lineage;
    assert_ne!(second_lineage, lineage);
    fixture.push_progress(&first, 0, &[b"X"], RUNNING);
    fixture.accept(&second);
    fixture.push_progress(&second, 0, &[b"a"], STOPPED);
    assert_eq!(sink.text(), "a");
}
