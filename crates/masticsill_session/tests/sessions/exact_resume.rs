//! Answers stay complete, without gaps or repeated tokens, when engines and agents fail.

use masticsill_types::{AttemptFailure, AttemptState, FinishReason};

use crate::support::{FakeSink, World};

const RUNNING: AttemptState = AttemptState::Running;
const STOPPED: AttemptState = AttemptState::Finished(FinishReason::Stop);

#[test]
fn a_dead_engine_is_continued_elsewhere_from_the_accepted_tokens() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    world.submit(&sink);
    let first = world.taken_start();
    world.accept(&first);
    world.push(&first, 0, &[b"a", b"b"], RUNNING);
    let lost = AttemptState::Failed(AttemptFailure::EngineLost);
    world.push(&first, 2, &[b"c"], lost);

    let second = world.taken_start();
    assert_ne!(second.0, first.0, "the failed agent is not tried again");
    let accepted: Vec<u32> = second.1.accepted.iter().map(|token| token.id).collect();
    assert_eq!(
        accepted,
        [u32::from(b'a'), u32::from(b'b'), u32::from(b'c')]
    );

    world.accept(&second);
    world.push(&first, 3, &[b"X"], RUNNING);
    world.push(&second, 3, &[b"d"], STOPPED);
    assert_eq!(
        sink.text(),
        "abcd",
        "late tokens of the first attempt are dropped"
    );
    assert!(sink.is_finished());
}

#[test]
fn repeated_and_gapped_news_change_nothing() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    world.submit(&sink);
    let started = world.taken_start();
    world.accept(&started);
    world.push(&started, 0, &[b"a", b"b"], RUNNING);
    world.push(&started, 0, &[b"a", b"b"], RUNNING);
    world.push(&started, 1, &[b"b", b"c"], RUNNING);
    world.push(&started, 7, &[b"h"], STOPPED);
    assert_eq!(sink.text(), "abc");
    assert!(
        !sink.is_finished(),
        "an end after missing tokens must not end the answer"
    );
}

#[test]
fn a_lost_agent_gives_up_all_its_streams() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    world.submit(&sink);
    let first = world.taken_start();
    world.accept(&first);
    world.book.agent_lost(world.now, &first.0);
    let second = world.taken_start();
    assert_ne!(second.0, first.0);
}

#[test]
fn a_slow_caller_loses_nothing() {
    let mut world = World::new();
    let sink = FakeSink::new(1);
    world.submit(&sink);
    let started = world.taken_start();
    world.accept(&started);
    for (index, bytes) in [b"a", b"b", b"c"].into_iter().enumerate() {
        let index = u32::try_from(index).expect("a small index");
        world.push(&started, index, &[bytes], RUNNING);
    }
    world.push(&started, 3, &[b"d"], STOPPED);
    assert_eq!(sink.text(), "a");
    sink.make_room(10);
    world.pass(20);
    assert_eq!(sink.text(), "abcd");
    assert!(sink.is_finished());
}

#[test]
fn a_character_split_over_two_tokens_arrives_whole() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    world.submit(&sink);
    let started = world.taken_start();
    world.accept(&started);
    world.push(&started, 0, &[b"\xc3"], RUNNING);
    assert_eq!(sink.text(), "");
    world.push(&started, 1, &[b"\xbc"], STOPPED);
    assert_eq!(sink.text(), "ü");
}

#[test]
fn a_start_whose_answer_is_lost_is_never_sent_again_under_its_lineage() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    world.submit(&sink);
    let first = world.taken_start();
    let lineage = first.1.history[0].lineage;
    let id = first.1.spec.id;
    world
        .book
        .start_reply_lost(world.now, &first.0, id, lineage);
    let second = world.taken_start();
    let again = second.1.history.last().expect("a history").lineage;
    assert_ne!(again, lineage);
    world.push(&first, 0, &[b"X"], RUNNING);
    world.accept(&second);
    world.push(&second, 0, &[b"a"], STOPPED);
    assert_eq!(sink.text(), "a");
}
