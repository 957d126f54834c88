//! The planned stop of an agent.

mod support;

use assert_matches::assert_matches;
use masticsill_generation::Record;
use masticsill_types::{AttemptFailure, AttemptState, RefusalKind, TokenIndex};
use masticsill_wire::agent::StartReply;

use support::{TestAgent, TestEntry, complete_answer, engine, spec, wait_for};

#[test]
fn leaving_agent_finishes_running_attempts_and_refuses_new_ones() {
    let engine = engine(|_| {});
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(1, 700), 5);
    entry.start(&record);
    entry.pull_until(&mut record, |record| record.next_index() >= TokenIndex(5));
    agent.handle.leave();
    wait_for("a pull reports that the agent is leaving", || {
        entry.pull(&record).is_leaving
    });
    wait_for("the agent is announced as leaving", || {
        agent.announced().is_some_and(|profile| profile.is_leaving)
    });
    let StartReply::Refused(refusal) = entry.start(&Record::new(spec(2, 10), 5)) else {
        panic!("a leaving agent accepted a new start");
    };
    assert_eq!(refusal.kind, RefusalKind::ShuttingDown);
    assert!(refusal.retry_after_ms.is_some());
    // The answer takes longer than the agent waits for owners that do not fetch an end.
    entry.pull_until(&mut record, |record| {
        let is_drained = agent.handle.is_drained();
        assert!(
            !record.is_running() || !is_drained,
            "the agent reported drained while a stream was running"
        );
        !record.is_running()
    });
    assert_matches!(record.state(), AttemptState::Finished(_));
    assert_eq!(record.tokens(), complete_answer(record.spec()));
    wait_for("the agent is drained", || agent.handle.is_drained());
    agent.stop();
}

#[test]
fn attempts_running_at_the_end_of_the_drain_time_are_failed() {
    let engine = engine(|_| {});
    let agent = TestAgent::start(engine.address(), |limits| limits.drain_ms = 200);
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(3, 100_000), 5);
    entry.start(&record);
    entry.pull_until(&mut record, |record| record.next_index() >= TokenIndex(5));
    agent.handle.leave();
    let end = entry.pull_to_end(&mut record);
    assert_eq!(end, AttemptState::Failed(AttemptFailure::Leaving));
    wait_for("the agent is drained", || agent.handle.is_drained());
    wait_for("the run is cancelled at the engine", || {
        engine.stats().cancelled == 1
    });
    agent.stop();
}
